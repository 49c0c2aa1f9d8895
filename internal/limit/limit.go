// Package limit adapts the number of requests that an endpoint may run at once, by additive
// increase and multiplicative decrease.
//
// The limit increases while requests use most of it and responses are fast enough. It
// decreases if the gap between tokens or the time to the first token exceeds what the
// request's profile, the endpoint's best gap or the pool's median allow, or if the engine's
// load reports show queueing. A sample of congestion counts only if its request was sent after
// the last decrease, so that late samples of one congestion do not decrease the limit twice.
package limit

import (
	"math"
	"time"
)

// Config sets the parameters of a Limiter. Zero fields take the defaults.
type Config struct {
	// MinLimit is the smallest limit.
	MinLimit int
	// DecreaseFactor multiplies the limit on congestion; it is between 0 and 1.
	DecreaseFactor float64
	// IncreaseStep is how much the limit grows over as many good samples as the limit.
	IncreaseStep float64
	// MinUtilization is the share of the limit that must be in use for a good sample to
	// increase it.
	MinUtilization float64
	// WindowSize is the number of samples evaluated together.
	WindowSize int
	// QueueingReports is the number of load reports in a row that must show queueing.
	QueueingReports int
	// GapTolerance is the allowed ratio of the gap between tokens to the endpoint's best gap.
	GapTolerance float64
	// FirstTokenTolerance is the allowed ratio of the time to the first token to the pool's
	// median.
	FirstTokenTolerance float64
	// SlowStart is the time in which the limit of a new endpoint rises to its full value.
	SlowStart time.Duration
	// StartShare is the share of the limit at the beginning of a slow start.
	StartShare float64
}

// Defaults of Config.
const (
	DefaultMinLimit            = 1
	DefaultDecreaseFactor      = 0.9
	DefaultIncreaseStep        = 4.0
	DefaultMinUtilization      = 0.8
	DefaultWindowSize          = 10
	DefaultQueueingReports     = 3
	DefaultGapTolerance        = 4.0
	DefaultFirstTokenTolerance = 4.0
	DefaultSlowStart           = 10 * time.Second
	DefaultStartShare          = 0.1
)

func (c Config) withDefaults() Config {
	setDefault(&c.MinLimit, DefaultMinLimit)
	setDefault(&c.DecreaseFactor, DefaultDecreaseFactor)
	setDefault(&c.IncreaseStep, DefaultIncreaseStep)
	setDefault(&c.MinUtilization, DefaultMinUtilization)
	setDefault(&c.WindowSize, DefaultWindowSize)
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

// Sample holds the latencies of one completed request.
type Sample struct {
	// Sent is when the request was placed.
	Sent time.Time
	// InFlight is the number of requests at the endpoint when this one was placed.
	InFlight int
	// FirstToken is the time to the first token, and Gap the time between tokens; zero if
	// unknown.
	FirstToken time.Duration
	Gap        time.Duration
	// FirstTokenRatio is FirstToken relative to the pool's median; zero if unknown.
	FirstTokenRatio float64
	// FirstTokenTarget and GapTarget are the profile's targets; zero if it has none.
	FirstTokenTarget time.Duration
	GapTarget        time.Duration
}

// sampleWindow counts the samples since the last evaluation or decrease.
type sampleWindow struct {
	samples   int
	congested int
}

const (
	// bestGapDrift raises the best gap with each sample, so that an outdated best gap fades.
	bestGapDrift = 1.0005
	// targetShare is the share of a latency target that the time at one endpoint may take.
	targetShare = 0.9
	// minTargetLimitShare is the share of the maximum limit down to which a missed target
	// alone decreases the limit. Below it, an engine too slow for a target stays useful for
	// other requests.
	minTargetLimitShare = 0.25
	// minLateRatio is the FirstTokenRatio from which a missed target counts: a long prompt on
	// an idle engine is no congestion.
	minLateRatio = 1.5
	// queueingShare is the ratio of waiting to running requests above which a load report
	// shows queueing.
	queueingShare = 0.25
)

// Limiter holds the limit of one endpoint. It is not safe for concurrent use.
type Limiter struct {
	cfg          Config
	maxLimit     float64
	limit        float64
	lastDecrease time.Time
	// slowStartAt is when the slow start began; zero if there is none in progress.
	slowStartAt time.Time
	bestGap     float64
	window      sampleWindow
	// queueingReports counts the load reports in a row that showed requests waiting inside the
	// engine.
	queueingReports int
}

// New returns a limiter that starts at its maximum limit, maxConcurrent.
func New(cfg Config, maxConcurrent int) *Limiter {
	full := float64(max(maxConcurrent, 1))
	return &Limiter{cfg: cfg.withDefaults(), maxLimit: full, limit: full}
}

// BeginSlowStart begins a slow start: the limit rises to its full value over Config.SlowStart.
func (l *Limiter) BeginSlowStart(now time.Time) { l.slowStartAt = now }

// SetMax changes the maximum limit.
func (l *Limiter) SetMax(maxConcurrent int) {
	full := float64(max(maxConcurrent, 1))
	if l.limit >= l.maxLimit || l.limit > full {
		l.limit = full
	}
	l.maxLimit = full
}

// Limit returns the number of requests that may run at now. It is at least Config.MinLimit, or
// the maximum if that is smaller.
func (l *Limiter) Limit(now time.Time) int {
	limit := l.limit
	if !l.slowStartAt.IsZero() {
		limit *= l.slowStartFactor(now)
	}
	return max(int(math.Floor(limit)), min(l.cfg.MinLimit, int(l.maxLimit)))
}

// InSlowStart reports whether a slow start is in progress.
func (l *Limiter) InSlowStart(now time.Time) bool {
	return !l.slowStartAt.IsZero() && now.Sub(l.slowStartAt) < l.cfg.SlowStart
}

func (l *Limiter) slowStartFactor(now time.Time) float64 {
	progress := now.Sub(l.slowStartAt).Seconds() / l.cfg.SlowStart.Seconds()
	if progress >= 1 {
		l.slowStartAt = time.Time{}
		return 1
	}
	return l.cfg.StartShare + (1-l.cfg.StartShare)*max(progress, 0)
}

// Observe updates the limit with one sample. Congestion decreases it only if most samples of a
// window show it: prompt and response lengths vary, so that single samples are slow on an
// engine with spare capacity too.
func (l *Limiter) Observe(now time.Time, s Sample) {
	fresh := s.Sent.After(l.lastDecrease)
	congested := l.indicatesCongestion(s)
	l.updateBestGap(s.Gap.Seconds())
	switch {
	case congested && fresh:
		l.window.samples++
		l.window.congested++
	case !congested:
		l.window.samples++
		l.increase(s)
	}
	l.evaluateWindow(now, s)
}

// ObserveReport updates the limit with an engine's load report made at reportedAt. Requests
// that wait inside the engine in several reports in a row decrease the limit; a single report
// also shows requests that arrived between two steps of the engine.
func (l *Limiter) ObserveReport(now, reportedAt time.Time, running, waiting int) {
	if float64(waiting) <= queueingShare*float64(running) {
		l.queueingReports = 0
		return
	}
	if !reportedAt.After(l.lastDecrease) {
		return
	}
	l.queueingReports++
	if l.queueingReports >= l.cfg.QueueingReports {
		l.queueingReports = 0
		l.decrease(now, running)
	}
}

// increase raises the limit if enough of it was in use.
func (l *Limiter) increase(s Sample) {
	if float64(s.InFlight) >= l.cfg.MinUtilization*l.limit {
		l.limit = min(l.limit+l.cfg.IncreaseStep/l.limit, l.maxLimit)
	}
}

// evaluateWindow decreases the limit if most samples of a full window showed congestion.
func (l *Limiter) evaluateWindow(now time.Time, s Sample) {
	if l.window.samples < l.cfg.WindowSize {
		return
	}
	if 2*l.window.congested > l.window.samples {
		l.decrease(now, s.InFlight)
	}
	l.window = sampleWindow{}
}

// decrease starts from the number of requests in flight if that was below the limit, so that a
// limit far above the load takes effect too.
func (l *Limiter) decrease(now time.Time, inFlight int) {
	from := l.limit
	if inFlight > 0 {
		from = min(from, float64(inFlight)/l.cfg.MinUtilization)
	}
	l.limit = max(from*l.cfg.DecreaseFactor, float64(l.cfg.MinLimit))
	l.lastDecrease = now
	l.window = sampleWindow{}
}

func (l *Limiter) indicatesCongestion(s Sample) bool {
	if s.FirstTokenRatio > l.cfg.FirstTokenTolerance {
		return true
	}
	if l.limit > minTargetLimitShare*l.maxLimit && l.missesTarget(s) {
		return true
	}
	return l.bestGap > 0 && s.Gap.Seconds() > l.cfg.GapTolerance*l.bestGap
}

func (l *Limiter) missesTarget(s Sample) bool {
	late := s.FirstTokenRatio > minLateRatio && exceedsShare(s.FirstToken, s.FirstTokenTarget)
	return late || exceedsShare(s.Gap, s.GapTarget)
}

func exceedsShare(value, target time.Duration) bool {
	return target > 0 && value.Seconds() > targetShare*target.Seconds()
}

func (l *Limiter) updateBestGap(gap float64) {
	if gap <= 0 {
		return
	}
	if l.bestGap == 0 || gap < l.bestGap {
		l.bestGap = gap
		return
	}
	l.bestGap = min(l.bestGap*bestGapDrift, gap)
}
