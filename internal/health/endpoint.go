package health

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/routing"
)

// Sample is the evidence of one request.
type Sample struct {
	Result routing.Result
	// Daemon is the observer.
	Daemon string
	// Sent is when the request was placed.
	Sent time.Time
	// Alone is true if nothing else ran on the endpoint.
	Alone bool
	// Probe is true for the probe of a half-open endpoint.
	Probe bool
	// FirstToken, Gap and Elapsed are zero if unknown.
	FirstToken     time.Duration
	Gap            time.Duration
	Elapsed        time.Duration
	UncachedTokens int
}

const (
	// speedWeight is the weight of a new sample in the moving averages.
	speedWeight = 0.2
	// maxRatio caps one sample, so that an outlier alone ejects nothing.
	maxRatio = 10.0
	// backOffMemory is how many back-offs an endpoint must stay healthy to start again from the first.
	backOffMemory = 10
	// minProgressTokens is the number of tokens from which progress counts as a sample of the gap.
	minProgressTokens = 8
)

// average is a moving average of ratios to the pool's median.
type average struct {
	value   float64
	samples int
}

func (a *average) add(ratio float64) {
	if ratio <= 0 {
		return
	}
	ratio = min(ratio, maxRatio)
	a.samples++
	weight := max(speedWeight, 1/float64(a.samples))
	a.value += weight * (ratio - a.value)
}

// Endpoint is the judgement of one endpoint. It is not safe for concurrent use.
type Endpoint struct {
	pool  *Pool
	state State
	cause Cause
	// since is when the endpoint was ejected or returned.
	since   time.Time
	backOff time.Duration
	// probeSent is when the running probe was sent; zero if there is none.
	probeSent time.Time

	failures      int
	failureDaemon string
	manyDaemons   bool

	firstToken average
	gap        average
	// overdue counts the checks in a row that found the running work overdue.
	overdue int
	// stalled counts the requests in a row that were given up while their first token was overdue.
	stalled int
}

// State returns the judgement at now.
func (e *Endpoint) State(now time.Time) State {
	if e.state == Ejected && (now.Sub(e.since) >= e.backOff || e.pool.allOut()) {
		return HalfOpen
	}
	return e.state
}

// Cause says why an endpoint that is not healthy was ejected.
func (e *Endpoint) Cause() Cause { return e.cause }

// HalfOpenFor is how long the endpoint has waited for a probe.
func (e *Endpoint) HalfOpenFor(now time.Time) time.Duration {
	if e.State(now) != HalfOpen {
		return 0
	}
	return now.Sub(e.since.Add(e.backOff))
}

// MayProbe reports whether a half-open endpoint may be sent its probe now.
func (e *Endpoint) MayProbe(now time.Time) bool {
	if e.State(now) != HalfOpen {
		return false
	}
	return e.probeSent.IsZero() || now.Sub(e.probeSent) >= max(e.pool.cfg.ProbeTimeout, e.backOff)
}

// StartProbe records that the probe was sent.
func (e *Endpoint) StartProbe(now time.Time) { e.probeSent = now }

// Speed is the endpoint's latency over the pool's median: 1 is typical, 2 is
// twice as slow. It is 1 while unknown.
func (e *Endpoint) Speed() float64 {
	speed := 0.0
	if e.gap.samples > 0 {
		speed = e.gap.value
	}
	if e.firstToken.samples > 0 {
		speed = max(speed, e.firstToken.value)
	}
	if speed == 0 {
		return 1
	}
	return speed
}

// Observe takes in the end of a request.
func (e *Endpoint) Observe(now time.Time, s Sample) {
	switch s.Result {
	case routing.ResultCompleted:
		e.succeeded(now, s)
	case routing.ResultRejected:
		e.resetFailures()
		e.endProbe(now, s.Probe, true)
	case routing.ResultCancelled:
		e.cancelled(now, s)
	case routing.ResultCrashed, routing.ResultNotStarted, routing.ResultTimedOut:
		e.failed(now, s)
	}
}

// ObserveProgress takes in the progress of a running request, which shows a
// straggler, or the end of its trouble, before any of its answers is whole.
func (e *Endpoint) ObserveProgress(now time.Time, probe bool, elapsed time.Duration, outputTokens int) {
	if outputTokens < minProgressTokens {
		return
	}
	gapRatio := e.pool.typical.GapRatio(elapsed / time.Duration(outputTokens))
	if e.state == Healthy {
		e.gap.add(gapRatio)
		e.judgeSpeed(now)
		return
	}
	e.endProbe(now, probe, gapRatio < e.pool.cfg.SlowFactor)
}

// ObserveRunning takes in the median age of the running requests, for endpoints
// whose answers do not come at all. It is meant to be called every second or so.
func (e *Endpoint) ObserveRunning(now time.Time, medianAge time.Duration) {
	usual := e.pool.typical.Elapsed()
	if e.state != Healthy || usual == 0 || medianAge.Seconds() < e.pool.cfg.SlowFactor*usual.Seconds() {
		e.overdue = 0
		return
	}
	e.overdue++
	if e.overdue >= e.pool.cfg.MinSamples {
		e.eject(now, CauseSlow)
	}
}

// cancelled takes in a request that was given up. If its first token had not come
// for long, the endpoint has stalled: the losers of hedges are the only evidence
// that a straggler may give.
func (e *Endpoint) cancelled(now time.Time, s Sample) {
	if s.Probe {
		e.probeSent = time.Time{}
	}
	waited := e.pool.typical.FirstTokenRatio(s.Elapsed, s.UncachedTokens)
	if e.state == Healthy && s.FirstToken == 0 && waited >= e.pool.cfg.SlowFactor {
		e.firstToken.add(waited)
		e.stalled++
	}
	if e.stalled >= e.pool.cfg.MinSamples {
		e.eject(now, CauseSlow)
	}
}

func (e *Endpoint) resetFailures() {
	e.failures, e.failureDaemon, e.manyDaemons = 0, "", false
}

func (e *Endpoint) succeeded(now time.Time, s Sample) {
	e.resetFailures()
	e.stalled = 0
	typical := e.pool.typical
	firstRatio := typical.FirstTokenRatio(s.FirstToken, s.UncachedTokens)
	gapRatio := typical.GapRatio(s.Gap)
	if e.state == Healthy {
		typical.add(s)
		e.firstToken.add(firstRatio)
		e.gap.add(gapRatio)
		e.judgeSpeed(now)
		return
	}
	e.endProbe(now, s.Probe, max(firstRatio, gapRatio) < e.pool.cfg.SlowFactor)
}

// endProbe returns the endpoint to work, or ejects it for longer.
func (e *Endpoint) endProbe(now time.Time, probe, passed bool) {
	if !probe || e.state == Healthy {
		return
	}
	e.probeSent = time.Time{}
	if !passed {
		e.again(now)
		return
	}
	e.setState(Healthy, e.cause)
	e.since = now
	e.firstToken, e.gap, e.overdue, e.stalled = average{}, average{}, 0, 0
}

// judgeSpeed ejects a straggler by the gap between its tokens, or by its first
// tokens where there are no gaps to judge by: first tokens also vary with the
// prompts that are read at the same time.
func (e *Endpoint) judgeSpeed(now time.Time) {
	slow := func(a average) bool {
		return a.samples >= e.pool.cfg.MinSamples && a.value >= e.pool.cfg.SlowFactor
	}
	if slow(e.gap) || (e.gap.samples == 0 && slow(e.firstToken)) {
		e.eject(now, CauseSlow)
	}
}

func (e *Endpoint) failed(now time.Time, s Sample) {
	if s.Probe && e.state == Ejected {
		e.probeSent = time.Time{}
		e.again(now)
		return
	}
	if e.state == Ejected || s.Sent.Before(e.since) {
		return // Evidence from before the last decision.
	}
	if e.failures > 0 && s.Daemon != e.failureDaemon {
		e.manyDaemons = true
	}
	e.failures++
	e.failureDaemon = s.Daemon
	need := e.pool.cfg.FailuresOneDaemon
	if e.manyDaemons {
		need = e.pool.cfg.FailuresInRow
	}
	crashedAlone := s.Alone && s.Result == routing.ResultCrashed
	if e.failures >= need || crashedAlone {
		e.eject(now, CauseFailing)
	}
}

// eject takes a healthy endpoint out, within the share of the pool that may be out.
func (e *Endpoint) eject(now time.Time, cause Cause) {
	if e.state != Healthy || !e.pool.mayEject(cause) {
		return
	}
	first := e.pool.cfg.FailingBackOff
	if cause == CauseSlow {
		first = e.pool.cfg.SlowBackOff
	}
	if e.backOff > 0 && now.Sub(e.since) < backOffMemory*e.backOff {
		first = max(first, 2*e.backOff)
	}
	e.backOff = min(first, e.pool.cfg.MaxBackOff)
	e.since = now
	e.probeSent = time.Time{}
	e.resetFailures()
	e.setState(Ejected, cause)
}

// again ejects a half-open endpoint for twice as long.
func (e *Endpoint) again(now time.Time) {
	e.since = now
	e.backOff = min(2*e.backOff, e.pool.cfg.MaxBackOff)
}

// setState keeps the pool's counts of ejected endpoints.
func (e *Endpoint) setState(state State, cause Cause) {
	if e.state == Ejected {
		e.pool.ejected[e.cause]--
	}
	if state == Ejected {
		e.pool.ejected[cause]++
	}
	e.state, e.cause = state, cause
}
