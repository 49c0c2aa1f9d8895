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
	// comebackSpread is the part of a wait over which returns are spread.
	comebackSpread = 0.3
)

// comeback is when a refused caller should return: trouble that has lasted for a time
// is expected to last about as long again.
func comeback(lasted, left time.Duration, point float64) time.Duration {
	wait := max(comebackFirst, lasted)
	wait = time.Duration(float64(wait) * (1 + comebackSpread*point))
	return min(wait, time.Duration(comebackShare*float64(left)))
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
	if o.last.IsZero() || now.Sub(o.last) > outageEnds {
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
	return comeback(lasted, max(left, 0), rand.Float64())
}
