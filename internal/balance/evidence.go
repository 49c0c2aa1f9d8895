package balance

import (
	"math"
	"time"
)

// Result is how an attempt at an endpoint ended.
type Result int

const (
	// Good means that the endpoint answered as it should.
	Succeeded Result = iota
	// Neutral says nothing of the endpoint: the caller left, or the time ran out early.
	Neutral
	// Failed means that the endpoint answered with an error of its own.
	Failed
	// Full means that the endpoint refused for lack of room.
	Full
	// Broken means that the connection broke after the request was sent, or no answer came.
	Broken
	// Unreachable means that no connection could be made.
	Unreachable
	// Stranger means that another endpoint has the address.
	Misrouted
)

// resultNames are the names of results in metrics.
var resultNames = [...]string{"good", "neutral", "failed", "full", "broken", "unreachable", "stranger"}

// String names the result.
func (r Result) String() string { return resultNames[r] }

const (
	// ejectFirst and ejectMost bound how long an endpoint that broke gets no work; the
	// time doubles with each break in a row.
	ejectFirst = 400 * time.Millisecond
	ejectMost  = 4 * time.Second
	// aliveBreaks is the number of breaks in a row that an accepted connection explains.
	aliveBreaks = 2
	// fullPause is how long an endpoint that refused for lack of room is avoided.
	fullPause = 150 * time.Millisecond
	// strangerPause outlasts the time in which the list names a replaced endpoint.
	strangerPause = 5 * time.Second
	// failureHalfLife is the time in which evidence of failures fades by half.
	failureHalfLife = 3 * time.Second
	// failureWeight is the share of a new result in the failure rate.
	failureWeight = 0.2
	// speedWeight is the share of a new answer in the typical latency.
	speedWeight = 0.2
	// slowMost bounds how much slower than the pool an endpoint is taken to be.
	slowMost = 8.0
	// slowFloor is the ratio up to which differences of speed are not acted on.
	slowFloor = 1.4
	// baseWork is the work of starting any request, in prompt tokens.
	baseWork = 1500
)

// evidence is what this daemon has seen of an endpoint.
type evidence struct {
	breaks       int
	ejectedUntil time.Time
	// trial is set while one request probes an endpoint after its ejection.
	trial bool
	// failures is the rate of failed results, fading with time since seen.
	failures float64
	seen     time.Time
	// perWork is the typical latency of a unit of work, in ns; zero is unknown.
	perWork    float64
	lastAnswer time.Time
}

// sent marks the request that probes an endpoint after its ejection.
func (v *evidence) sent(now time.Time) {
	if v.breaks > 0 && !now.Before(v.ejectedUntil) {
		v.trial = true
	}
}

// answered notes the time to the first event.
func (v *evidence) answered(now time.Time, elapsed time.Duration, reading int) {
	sample := float64(elapsed) / float64(reading+baseWork)
	if v.perWork == 0 {
		v.perWork = sample
	} else {
		v.perWork += speedWeight * (sample - v.perWork)
	}
	v.lastAnswer = now
}

func (v *evidence) ended(now time.Time, result Result) {
	v.trial = false
	switch result {
	case Succeeded:
		v.breaks = 0
		v.fail(now, 0)
	case Failed:
		v.breaks = 0
		v.fail(now, 1)
	case Broken, Unreachable:
		v.fail(now, 1)
		if now.Before(v.ejectedUntil) {
			return // Requests that were there at the break say nothing new.
		}
		pause := min(ejectMost, ejectFirst<<min(v.breaks, 4))
		v.breaks++
		v.ejectedUntil = now.Add(pause)
	case Full:
		v.pause(now, fullPause)
	case Misrouted:
		v.pause(now, strangerPause)
	case Neutral:
	}
}

// alive ends the ejection after a first break; an endpoint that breaks again and again
// stays out for its time.
func (v *evidence) alive(now time.Time) {
	if v.breaks <= aliveBreaks {
		v.breaks, v.ejectedUntil = 0, now
	}
}

func (v *evidence) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(v.ejectedUntil) {
		v.ejectedUntil = until
	}
}

func (v *evidence) fail(now time.Time, result float64) {
	v.failures = v.failureRate(now) + failureWeight*(result-v.failureRate(now))
	v.seen = now
}

// failureRate is the rate of failures as of now.
func (v *evidence) failureRate(now time.Time) float64 {
	if v.failures == 0 {
		return 0
	}
	return v.failures * math.Exp2(-float64(now.Sub(v.seen))/float64(failureHalfLife))
}

// slowness is how many times slower than typical the endpoint answers; it fades, so
// that an endpoint that was avoided is tried again.
func (v *evidence) slowness(now time.Time, typical float64) float64 {
	if typical <= 0 || v.perWork <= 0 {
		return 1
	}
	ratio := v.perWork / typical
	if ratio < slowFloor {
		return 1
	}
	fade := math.Exp2(-float64(now.Sub(v.lastAnswer)) / float64(failureHalfLife))
	return min(slowMost, 1+(ratio-1)*fade)
}

// open reports whether the endpoint may get work.
func (v *evidence) open(now time.Time) bool {
	return !now.Before(v.ejectedUntil) && !v.trial
}
