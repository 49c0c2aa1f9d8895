package balance

import (
	"math"
	"time"
)

// Load pattern: a burst that reaches many daemons at once. The loads that they compare lack
// what the others have sent since the last exchange, so an endpoint that looks a little less
// loaded would get the requests of all daemons that compare it. Two loads therefore count as
// different only as far as they differ by more than what all daemons have sent meanwhile, which
// each daemon estimates from its own requests. Only the number of requests is estimated: a
// difference in prompt tokens outweighs it.

// loadAge is the age of other daemons' loads in a large fleet: they pass through relays.
const loadAge = 400 * time.Millisecond

// recentRequests counts the requests that this daemon has sent to each group of endpoints, see
// groupOf, within about loadAge. The counts decay exponentially.
type recentRequests struct {
	counts  [2]float64
	decayed time.Time
}

func (r *recentRequests) add(now time.Time, e *endpoint) {
	r.decay(now)
	r.counts[groupOf(e)]++
}

func (r *recentRequests) decay(now time.Time) {
	if age := now.Sub(r.decayed); age > 0 {
		factor := math.Exp(-age.Seconds() / loadAge.Seconds())
		r.counts[0], r.counts[1], r.decayed = r.counts[0]*factor, r.counts[1]*factor, now
	}
}

// unreportedWork returns, by group, the work of the requests that all daemons have sent to the
// average endpoint and that its load lacks, in prompt tokens. It is zero in a small fleet.
func (p *Pool) unreportedWork(now time.Time) (work [2]float64) {
	if p.daemons < minSampleDaemons {
		return work
	}
	p.recent.decay(now)
	var endpoints [2]int
	for _, e := range p.order {
		endpoints[groupOf(e)]++
	}
	for group, n := range endpoints {
		work[group] = runningRequestWork * p.recent.counts[group] * float64(p.daemons) / float64(max(1, n))
	}
	return work
}
