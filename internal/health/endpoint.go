package health

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/routing"
)

// Sample is the outcome of one request, as input to the health evaluation.
type Sample struct {
	Result routing.Result
	// Daemon is the entry daemon that observed the outcome.
	Daemon string
	// Sent is when the request was placed.
	Sent time.Time
	// OnlyRequest is true if no other request ran on the endpoint.
	OnlyRequest bool
	// Probe is true if the request was the probe of a half-open endpoint.
	Probe bool
	// FirstToken is the time to the first token, Gap the time between tokens and Elapsed
	// the total time; each is zero if unknown.
	FirstToken     time.Duration
	Gap            time.Duration
	Elapsed        time.Duration
	UncachedTokens int
}

const (
	// minSampleWeight is the weight of a new sample in a moving average, once there are
	// enough samples; the first few weigh more.
	minSampleWeight = 0.2
	// maxRatio caps each sample, so that a single outlier cannot cause an ejection.
	maxRatio = 10.0
	// backOffResetFactor is how long an endpoint must stay healthy before its next
	// back-off starts from the initial value, as a multiple of its last back-off.
	backOffResetFactor = 10
	// minProgressTokens is the minimum number of output tokens for the progress of a
	// request to count as a sample of the gap between tokens.
	minProgressTokens = 8
)

// movingAverage is an exponentially weighted mean of ratios to the pool's median.
type movingAverage struct {
	value   float64
	samples int
}

func (a *movingAverage) add(ratio float64) {
	if ratio <= 0 {
		return
	}
	ratio = min(ratio, maxRatio)
	a.samples++
	weight := max(minSampleWeight, 1/float64(a.samples))
	a.value += weight * (ratio - a.value)
}

// Endpoint tracks the health of one endpoint. It is not safe for concurrent use.
type Endpoint struct {
	pool  *Pool
	state State
	cause Cause
	// since is when the endpoint was last ejected or became healthy again.
	since   time.Time
	backOff time.Duration
	// probeSent is when the current probe was sent; zero if no probe is running.
	probeSent time.Time

	failures          int
	lastFailureDaemon string
	severalDaemons    bool

	firstToken movingAverage
	gap        movingAverage
	// overdueChecks counts the consecutive ObserveRunning calls with an excessive median age.
	overdueChecks int
	// stalledRequests counts the requests cancelled while their first token was overdue,
	// since the last completed one.
	stalledRequests int
}

// State returns the health state at time now. An ejected endpoint is half open once its
// back-off has passed, or at once if the pool has no healthy endpoint.
func (e *Endpoint) State(now time.Time) State {
	if e.state == Ejected && (now.Sub(e.since) >= e.backOff || e.pool.allEjected()) {
		return HalfOpen
	}
	return e.state
}

// Cause returns the cause of the last ejection.
func (e *Endpoint) Cause() Cause { return e.cause }

// HalfOpenFor returns the time since the back-off ended, or zero if the endpoint is not
// half open.
func (e *Endpoint) HalfOpenFor(now time.Time) time.Duration {
	if e.State(now) != HalfOpen {
		return 0
	}
	return now.Sub(e.since.Add(e.backOff))
}

// MayProbe reports whether the endpoint is half open and no probe is running. A probe
// without a result counts as lost after the longer of ProbeTimeout and the back-off.
func (e *Endpoint) MayProbe(now time.Time) bool {
	if e.State(now) != HalfOpen {
		return false
	}
	return e.probeSent.IsZero() || now.Sub(e.probeSent) >= max(e.pool.cfg.ProbeTimeout, e.backOff)
}

// StartProbe records that the probe was sent.
func (e *Endpoint) StartProbe(now time.Time) { e.probeSent = now }

// Slowdown returns the ratio of the endpoint's latency to the pool's median: 1 is
// typical, 2 is twice as slow. It is 1 while unknown.
func (e *Endpoint) Slowdown() float64 {
	slowdown := 0.0
	if e.gap.samples > 0 {
		slowdown = e.gap.value
	}
	if e.firstToken.samples > 0 {
		slowdown = max(slowdown, e.firstToken.value)
	}
	if slowdown == 0 {
		return 1
	}
	return slowdown
}

// Observe records the outcome of a request.
func (e *Endpoint) Observe(now time.Time, s Sample) {
	switch s.Result {
	case routing.ResultCompleted:
		e.observeSuccess(now, s)
	case routing.ResultRejected:
		e.resetFailures()
		e.endProbe(now, s.Probe, true)
	case routing.ResultCancelled:
		e.observeCancellation(now, s)
	case routing.ResultCrashed, routing.ResultNotStarted, routing.ResultTimedOut:
		e.observeFailure(now, s)
	}
}

// ObserveProgress records the progress of a running request. It detects a straggler, or
// its recovery, before any of its responses is complete.
func (e *Endpoint) ObserveProgress(now time.Time, probe bool, elapsed time.Duration, outputTokens int) {
	if outputTokens < minProgressTokens {
		return
	}
	gapRatio := e.pool.baseline.GapRatio(elapsed / time.Duration(outputTokens))
	if e.state == Healthy {
		e.gap.add(gapRatio)
		e.checkSpeed(now)
		return
	}
	e.endProbe(now, probe, gapRatio < e.pool.cfg.SlowFactor)
}

// ObserveRunning records the median age of the running requests. It detects endpoints
// that send no responses at all. The caller should call it about once a second.
func (e *Endpoint) ObserveRunning(now time.Time, medianAge time.Duration) {
	median := e.pool.baseline.Elapsed()
	if e.state != Healthy || median == 0 || medianAge.Seconds() < e.pool.cfg.SlowFactor*median.Seconds() {
		e.overdueChecks = 0
		return
	}
	e.overdueChecks++
	if e.overdueChecks >= e.pool.cfg.MinSamples {
		e.eject(now, CauseSlow)
	}
}

// observeCancellation records a cancelled request. If its first token was overdue, the
// request counts as stalled: when hedges win against a straggler, its cancelled attempts
// may be the only samples of it.
func (e *Endpoint) observeCancellation(now time.Time, s Sample) {
	if s.Probe {
		e.probeSent = time.Time{}
	}
	waitRatio := e.pool.baseline.FirstTokenRatio(s.Elapsed, s.UncachedTokens)
	if e.state == Healthy && s.FirstToken == 0 && waitRatio >= e.pool.cfg.SlowFactor {
		e.firstToken.add(waitRatio)
		e.stalledRequests++
	}
	if e.stalledRequests >= e.pool.cfg.MinSamples {
		e.eject(now, CauseSlow)
	}
}

func (e *Endpoint) resetFailures() {
	e.failures, e.lastFailureDaemon, e.severalDaemons = 0, "", false
}

func (e *Endpoint) observeSuccess(now time.Time, s Sample) {
	e.resetFailures()
	e.stalledRequests = 0
	baseline := e.pool.baseline
	firstTokenRatio := baseline.FirstTokenRatio(s.FirstToken, s.UncachedTokens)
	gapRatio := baseline.GapRatio(s.Gap)
	if e.state == Healthy {
		baseline.add(s)
		e.firstToken.add(firstTokenRatio)
		e.gap.add(gapRatio)
		e.checkSpeed(now)
		return
	}
	e.endProbe(now, s.Probe, max(firstTokenRatio, gapRatio) < e.pool.cfg.SlowFactor)
}

// endProbe makes the endpoint healthy if its probe passed, or else ejects it again for
// longer. It does nothing for requests other than the probe.
func (e *Endpoint) endProbe(now time.Time, probe, passed bool) {
	if !probe || e.state == Healthy {
		return
	}
	e.probeSent = time.Time{}
	if !passed {
		e.extendBackOff(now)
		return
	}
	e.setState(Healthy, e.cause)
	e.since = now
	e.firstToken, e.gap, e.overdueChecks, e.stalledRequests = movingAverage{}, movingAverage{}, 0, 0
}

// checkSpeed ejects the endpoint if it is a straggler by the gap between its tokens. The
// time to the first token decides only if there are no gap samples, because it also
// varies with the prompts that the engine reads at the same time.
func (e *Endpoint) checkSpeed(now time.Time) {
	slow := func(a movingAverage) bool {
		return a.samples >= e.pool.cfg.MinSamples && a.value >= e.pool.cfg.SlowFactor
	}
	if slow(e.gap) || (e.gap.samples == 0 && slow(e.firstToken)) {
		e.eject(now, CauseSlow)
	}
}

func (e *Endpoint) observeFailure(now time.Time, s Sample) {
	if s.Probe && e.state == Ejected {
		e.probeSent = time.Time{}
		e.extendBackOff(now)
		return
	}
	if e.state == Ejected || s.Sent.Before(e.since) {
		return // The request was sent before the last change of state.
	}
	if e.failures > 0 && s.Daemon != e.lastFailureDaemon {
		e.severalDaemons = true
	}
	e.failures++
	e.lastFailureDaemon = s.Daemon
	threshold := e.pool.cfg.SingleDaemonFailureThreshold
	if e.severalDaemons {
		threshold = e.pool.cfg.FailureThreshold
	}
	onlyRequestCrashed := s.OnlyRequest && s.Result == routing.ResultCrashed
	if e.failures >= threshold || onlyRequestCrashed {
		e.eject(now, CauseFailing)
	}
}

// eject ejects a healthy endpoint, unless the pool's share of ejected endpoints is used up.
func (e *Endpoint) eject(now time.Time, cause Cause) {
	if e.state != Healthy || !e.pool.mayEject(cause) {
		return
	}
	nextBackOff := e.pool.cfg.FailingBackOff
	if cause == CauseSlow {
		nextBackOff = e.pool.cfg.SlowBackOff
	}
	if e.backOff > 0 && now.Sub(e.since) < backOffResetFactor*e.backOff {
		nextBackOff = max(nextBackOff, 2*e.backOff)
	}
	e.backOff = min(nextBackOff, e.pool.cfg.MaxBackOff)
	e.since = now
	e.probeSent = time.Time{}
	e.resetFailures()
	e.setState(Ejected, cause)
}

// extendBackOff ejects a half-open endpoint once more, for twice as long as before.
func (e *Endpoint) extendBackOff(now time.Time) {
	e.since = now
	e.backOff = min(2*e.backOff, e.pool.cfg.MaxBackOff)
}

// setState changes the state and updates the pool's counts of ejected endpoints.
func (e *Endpoint) setState(state State, cause Cause) {
	if e.state == Ejected {
		e.pool.ejected[e.cause]--
	}
	if state == Ejected {
		e.pool.ejected[cause]++
	}
	e.state, e.cause = state, cause
}
