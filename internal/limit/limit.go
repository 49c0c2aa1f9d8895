// Package limit adapts the number of requests that an endpoint may run at once.
//
// The limit grows by steps while it binds and answers come in time, and shrinks
// by a factor when the gap between tokens or the time to the first token exceeds
// what the request's profile, the endpoint's best or the pool's median allow. A
// sample counts only if its request was sent after the last decrease, so that
// late evidence of one congestion does not shrink the limit twice.
package limit

import (
	"math"
	"time"
)

// Config sets the rules of a Limiter. Zero fields take the defaults.
type Config struct {
	// Min is the least limit.
	Min int
	// Decrease is the factor applied on congestion, between 0 and 1.
	Decrease float64
	// Increase is what one limit's worth of good answers adds.
	Increase float64
	// BusyShare is the share of the limit in use from which good answers raise it.
	BusyShare float64
	// Window is the number of samples that are judged together.
	Window int
	// QueueingReports is the number of load reports in a row that must show queueing.
	QueueingReports int
	// GapTolerance is the allowed gap between tokens over the endpoint's best.
	GapTolerance float64
	// FirstTokenTolerance is the allowed time to the first token over the pool's median.
	FirstTokenTolerance float64
	// SlowStart is the time in which a new endpoint comes to its full limit.
	SlowStart time.Duration
	// StartShare is the share of the limit that a new endpoint starts with.
	StartShare float64
}

// Defaults of Config.
const (
	DefaultMin                 = 1
	DefaultDecrease            = 0.9
	DefaultIncrease            = 4.0
	DefaultBusyShare           = 0.8
	DefaultWindow              = 10
	DefaultQueueingReports     = 3
	DefaultGapTolerance        = 4.0
	DefaultFirstTokenTolerance = 4.0
	DefaultSlowStart           = 10 * time.Second
	DefaultStartShare          = 0.1
)

func (c Config) withDefaults() Config {
	setDefault(&c.Min, DefaultMin)
	setDefault(&c.Decrease, DefaultDecrease)
	setDefault(&c.Increase, DefaultIncrease)
	setDefault(&c.BusyShare, DefaultBusyShare)
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.QueueingReports, DefaultQueueingReports)
	setDefault(&c.GapTolerance, DefaultGapTolerance)
	setDefault(&c.FirstTokenTolerance, DefaultFirstTokenTolerance)
	setDefault(&c.SlowStart, DefaultSlowStart)
	setDefault(&c.StartShare, DefaultStartShare)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Sample is the evidence of one request that completed.
type Sample struct {
	// Sent is when the request was placed.
	Sent time.Time
	// InFlight is what ran on the endpoint when the request was placed.
	InFlight int
	// FirstToken and Gap are zero if unknown.
	FirstToken time.Duration
	Gap        time.Duration
	// FirstTokenRatio is the time to the first token over the pool's median; zero if unknown.
	FirstTokenRatio float64
	// FirstTokenTarget and GapTarget are the profile's targets; zero if it states none.
	FirstTokenTarget time.Duration
	GapTarget        time.Duration
}

// window counts the samples since the last decision to shrink or not.
type window struct {
	samples   int
	congested int
}

const (
	// bestDrift raises the best gap with each sample, so that a stale best fades.
	bestDrift = 1.0005
	// targetShare is the share of a latency target that one endpoint may use up.
	targetShare = 0.9
	// targetFloorShare is the share of the maximum below which a missed target alone does
	// not shrink the limit: an engine too slow for a target stays useful for other work.
	targetFloorShare = 0.25
	// slowRatio is the first-token ratio from which a missed target counts: a long prompt
	// on an idle engine is not congestion.
	slowRatio = 1.5
	// queueingShare is the waiting work over the running work from which a report shows queueing.
	queueingShare = 0.25
)

// Limiter holds the limit of one endpoint. It is not safe for concurrent use.
type Limiter struct {
	cfg          Config
	max          float64
	limit        float64
	lastDecrease time.Time
	// started is when the slow start began; zero if it is over.
	started time.Time
	bestGap float64
	recent  window
	// queueing counts the reports in a row that showed work waiting inside the engine.
	queueing int
}

// New returns a limiter at the full limit.
func New(cfg Config, maxConcurrent int) *Limiter {
	full := float64(max(maxConcurrent, 1))
	return &Limiter{cfg: cfg.withDefaults(), max: full, limit: full}
}

// StartSlowly begins a slow start: the limit rises to its full value over time.
func (l *Limiter) BeginSlowStart(now time.Time) { l.started = now }

// SetMax changes the greatest limit.
func (l *Limiter) SetMax(maxConcurrent int) {
	full := float64(max(maxConcurrent, 1))
	if l.limit >= l.max || l.limit > full {
		l.limit = full
	}
	l.max = full
}

// Limit returns the number of requests that may run at now, at least Config.Min.
func (l *Limiter) Limit(now time.Time) int {
	limit := l.limit
	if !l.started.IsZero() {
		limit *= l.startFactor(now)
	}
	return max(int(math.Floor(limit)), min(l.cfg.Min, int(l.max)))
}

// Starting reports whether the slow start is still going on.
func (l *Limiter) Starting(now time.Time) bool {
	return !l.started.IsZero() && now.Sub(l.started) < l.cfg.SlowStart
}

func (l *Limiter) startFactor(now time.Time) float64 {
	share := now.Sub(l.started).Seconds() / l.cfg.SlowStart.Seconds()
	if share >= 1 {
		l.started = time.Time{}
		return 1
	}
	return l.cfg.StartShare + (1-l.cfg.StartShare)*max(share, 0)
}

// Observe takes in one sample. Slow answers shrink the limit when they are the
// majority of a window: with a mix of prompts and answers, single ones are slow
// on an engine that has room.
func (l *Limiter) Observe(now time.Time, s Sample) {
	fresh := s.Sent.After(l.lastDecrease)
	slow := l.slow(s)
	l.learnBest(s.Gap.Seconds())
	switch {
	case slow && fresh:
		l.recent.samples++
		l.recent.congested++
	case !slow:
		l.recent.samples++
		l.raise(s)
	}
	l.closeWindow(now, s)
}

// ObserveReport takes in an engine's load report that was made at that time. Work
// that waits inside the engine in several reports in a row shrinks the limit; a
// single report also shows what arrived between two steps of the engine.
func (l *Limiter) ObserveReport(now, made time.Time, running, waiting int) {
	if float64(waiting) <= queueingShare*float64(running) {
		l.queueing = 0
		return
	}
	if !made.After(l.lastDecrease) {
		return
	}
	l.queueing++
	if l.queueing >= l.cfg.QueueingReports {
		l.queueing = 0
		l.decrease(now, running)
	}
}

// raise grows the limit if it binds.
func (l *Limiter) raise(s Sample) {
	if float64(s.InFlight) >= l.cfg.BusyShare*l.limit {
		l.limit = min(l.limit+l.cfg.Increase/l.limit, l.max)
	}
}

// closeWindow shrinks the limit if most samples of a full window were slow.
func (l *Limiter) closeWindow(now time.Time, s Sample) {
	if l.recent.samples < l.cfg.Window {
		return
	}
	if 2*l.recent.congested > l.recent.samples {
		l.decrease(now, s.InFlight)
	}
	l.recent = window{}
}

// decrease shrinks from what was in flight if the limit did not bind, so that a
// limit far above the load reacts too.
func (l *Limiter) decrease(now time.Time, inFlight int) {
	from := l.limit
	if inFlight > 0 {
		from = min(from, float64(inFlight)/l.cfg.BusyShare)
	}
	l.limit = max(from*l.cfg.Decrease, float64(l.cfg.Min))
	l.lastDecrease = now
	l.recent = window{}
}

func (l *Limiter) slow(s Sample) bool {
	if s.FirstTokenRatio > l.cfg.FirstTokenTolerance {
		return true
	}
	if l.limit > targetFloorShare*l.max && l.missesTarget(s) {
		return true
	}
	return l.bestGap > 0 && s.Gap.Seconds() > l.cfg.GapTolerance*l.bestGap
}

func (l *Limiter) missesTarget(s Sample) bool {
	late := s.FirstTokenRatio > slowRatio && exceeds(s.FirstToken, s.FirstTokenTarget)
	return late || exceeds(s.Gap, s.GapTarget)
}

func exceeds(value, target time.Duration) bool {
	return target > 0 && value.Seconds() > targetShare*target.Seconds()
}

func (l *Limiter) learnBest(gap float64) {
	if gap <= 0 {
		return
	}
	if l.bestGap == 0 || gap < l.bestGap {
		l.bestGap = gap
		return
	}
	l.bestGap = min(l.bestGap*bestDrift, gap)
}
