package balance

import (
	"math"
	"time"
)

// Result is the outcome of an attempt, as far as it concerns the endpoint's health.
type Result int

const (
	// Succeeded means that the endpoint responded without an error of its own.
	Succeeded Result = iota
	// Neutral says nothing about the endpoint: the caller disconnected, or the request ran out
	// of time before the endpoint could be blamed.
	Neutral
	// Failed means that the endpoint responded with an error of its own.
	Failed
	// Full means that the endpoint rejected the request because it has no capacity left.
	Full
	// Broken means that the connection broke after the request was sent, or that no response
	// came.
	Broken
	// Unreachable means that no connection could be made.
	Unreachable
	// Misrouted means that another endpoint now answers at the address.
	Misrouted
	// NotSent means that the endpoint was withdrawn between the choice and the send.
	NotSent
	// BackedOff means that the endpoint refused the request and asked for no others for a while.
	BackedOff
)

// resultNames holds the metric label of each Result.
var resultNames = [...]string{"good", "neutral", "failed", "full", "broken", "unreachable", "stranger", "not_sent", "backed_off"}

// String returns the metric label of the result.
func (r Result) String() string { return resultNames[r] }

const (
	// minEjection and maxEjection bound how long an endpoint is ejected after a break, which
	// is a result of Broken or Unreachable. The time doubles with each break in a row.
	minEjection = 400 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxClearedBreaks is the number of breaks in a row up to which a successful crash probe
	// ends the ejection.
	maxClearedBreaks = 2
	// fullEjection is how long an endpoint gets no requests after a result of Full.
	fullEjection = 150 * time.Millisecond
	// misroutedEjection is longer than the time for which the endpoint list still names an
	// endpoint that was replaced.
	misroutedEjection = 5 * time.Second
	// failureHalfLife is the half-life of the failure rate and of the slowness of an endpoint
	// that gets no requests.
	failureHalfLife = 3 * time.Second
	// failureWeight is the weight of a new result in the moving average of failures.
	failureWeight = 0.2
	// latencyWeight is the weight of a new response in the moving average of the unit latency.
	latencyWeight = 0.2
	// maxSlowness caps the slowness of an endpoint.
	maxSlowness = 8.0
	// minSlowness is the ratio to the pool's median latency below which an endpoint does not
	// count as slow.
	minSlowness = 1.4
	// requestBaseWork is the work of starting any request, in prompt tokens.
	requestBaseWork = 1500
)

// health tracks the results and latencies that this daemon has observed at an endpoint.
type health struct {
	consecutiveBreaks int
	ejectedUntil      time.Time
	// probing is set while a single request probes the endpoint after its ejection.
	probing bool
	// failures is a moving average of failed results as of failuresAt, 0 to 1.
	failures   float64
	failuresAt time.Time
	// unitLatency is a moving average of the time to the first event per unit of work (one
	// prompt token) at the usual pace, in ns; zero if unknown.
	unitLatency  float64
	lastResponse time.Time
}

// requestSent marks the first request after an ejection as the probe.
func (h *health) requestSent(now time.Time) {
	if h.consecutiveBreaks > 0 && !now.Before(h.ejectedUntil) {
		h.probing = true
	}
}

// observeLatency updates the unit latency with the time to the first event, which was taken at the
// given pace. Dividing by the pace corrects a false one: what an endpoint gains by a low figure it loses
// by a high unit latency.
func (h *health) observeLatency(now time.Time, elapsed time.Duration, promptTokens int, pace float64) {
	latency := float64(elapsed) / float64(promptTokens+requestBaseWork) / pace
	if h.unitLatency == 0 {
		h.unitLatency = latency
	} else {
		h.unitLatency += latencyWeight * (latency - h.unitLatency)
	}
	h.lastResponse = now
}

// observeResult updates the failure rate and the ejection with the result of an attempt.
func (h *health) observeResult(now time.Time, result Result) {
	h.probing = false
	switch result {
	case Succeeded:
		h.consecutiveBreaks = 0
		h.observeFailure(now, 0)
	case Failed:
		h.consecutiveBreaks = 0
		h.observeFailure(now, 1)
	case Broken, Unreachable:
		h.observeFailure(now, 1)
		if now.Before(h.ejectedUntil) {
			return // Requests that were in progress when the endpoint broke say nothing new.
		}
		ejection := min(maxEjection, minEjection<<min(h.consecutiveBreaks, 4))
		h.consecutiveBreaks++
		h.ejectedUntil = now.Add(ejection)
	case Full:
		h.ejectFor(now, fullEjection)
	case Misrouted:
		h.ejectFor(now, misroutedEjection)
	case Neutral, NotSent, BackedOff:
	}
}

// crashProbeSucceeded ends the ejection and resets the count of breaks, unless there were more
// than maxClearedBreaks in a row.
func (h *health) crashProbeSucceeded(now time.Time) {
	if h.consecutiveBreaks <= maxClearedBreaks {
		h.consecutiveBreaks, h.ejectedUntil = 0, now
	}
}

func (h *health) ejectFor(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
}

// observeFailure updates the moving average of failures; failed is 1 or 0.
func (h *health) observeFailure(now time.Time, failed float64) {
	h.failures = h.failureRate(now) + failureWeight*(failed-h.failureRate(now))
	h.failuresAt = now
}

// failureRate returns the moving average of failures, decayed to now.
func (h *health) failureRate(now time.Time) float64 {
	if h.failures == 0 {
		return 0
	}
	return h.failures * math.Exp2(-float64(now.Sub(h.failuresAt))/float64(failureHalfLife))
}

// slowness returns the endpoint's unit latency relative to the pool's median, between 1 and
// maxSlowness. It decays towards 1 with the time since the last response, so that an endpoint
// that was avoided gets requests again.
func (h *health) slowness(now time.Time, median float64) float64 {
	if median <= 0 || h.unitLatency <= 0 {
		return 1
	}
	ratio := h.unitLatency / median
	if ratio < minSlowness {
		return 1
	}
	decay := math.Exp2(-float64(now.Sub(h.lastResponse)) / float64(failureHalfLife))
	return min(maxSlowness, 1+(ratio-1)*decay)
}

// available reports whether the endpoint may get requests: it is neither ejected nor being
// probed.
func (h *health) available(now time.Time) bool {
	return !now.Before(h.ejectedUntil) && !h.probing
}
