package forward

import (
	"math/rand/v2"
	"time"
)

// Load pattern: everything is refused for a while, because the configuration is not
// there yet or every endpoint is full. Callers come back once or twice; a return that
// is too early is lost, and returns at one moment are a burst of their own.

const (
	// comebackFirst is the earliest return: a first list from the platform takes less.
	comebackFirst = 300 * time.Millisecond
	// comebackShare is the longest wait as a part of the time that the caller has left;
	// beyond it callers don't follow the advice.
	comebackShare = 0.3
	// settledTrouble is the time after which trouble is taken to last for seconds: a first
	// list from the platform has then failed once, and callers that return only once do
	// best to return late.
	settledTrouble = 400 * time.Millisecond
	// comebackSpread is the part of a wait over which returns are spread.
	comebackSpread = 0.3
)

// comeback is when a caller that was refused for want of room should return: a backlog
// of so long takes about so long to drain.
func comeback(backlog, left time.Duration, point float64) time.Duration {
	wait := max(comebackFirst, backlog)
	wait = time.Duration(float64(wait) * (1 + comebackSpread*point))
	return min(wait, longestComeback(left))
}

// comebackFromOutage is when a caller should return that was refused because nothing can
// be served: soon at a start, as late as callers follow once the trouble has settled.
func comebackFromOutage(lasted, left time.Duration, point float64) time.Duration {
	if lasted < settledTrouble {
		return comeback(0, left, point)
	}
	longest := longestComeback(left)
	return longest - time.Duration(comebackSpread*point*float64(longest))
}

func longestComeback(left time.Duration) time.Duration {
	return time.Duration(comebackShare * float64(left))
}

// outage notes since when requests are refused for the same cause. It is used under
// the forwarder's lock.
type outage struct {
	since, last time.Time
}

// outageEnds is the time without a refusal after which the next one begins anew.
const outageEnds = 2 * time.Second

// note counts a refusal and returns how long the trouble has lasted.
func (o *outage) note(now time.Time) time.Duration {
	if o.last.IsZero() {
		if o.since.IsZero() {
			o.since = now
		}
	} else if now.Sub(o.last) > outageEnds {
		o.since = now
	}
	o.last = now
	return now.Sub(o.since)
}

// comeBackAfter is the Retry-After of a refusal of this request.
func (j *job) comeBackAfter(o *outage) time.Duration {
	now := time.Now()
	j.f.mu.Lock()
	lasted := o.note(now)
	j.f.mu.Unlock()
	left := j.limit.Sub(now)
	if j.limit.IsZero() {
		left = j.deadline() - now.Sub(j.request.Arrived)
	}
	return comebackFromOutage(lasted, max(left, 0), rand.Float64())
}
