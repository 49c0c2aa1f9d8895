package balance

import "time"

// Load pattern: endpoints share their VMs with neighbours, which slow them 2.5 times for half a second. An
// endpoint says in its responses how long work takes there at this moment, relative to usual. The figure
// scales the expected time to the first event in each choice, for as long as such a time lasts.

const (
	// paceMaxAge is how long a pace counts. A neighbour slows an endpoint for about that long, so of the
	// slow times in which a response was sent, the share that still lasts falls evenly to zero within it.
	paceMaxAge = 500 * time.Millisecond
	// minPace and maxPace bound a pace that counts. The lower bound limits what an endpoint gains by a
	// false figure until its observed latency has corrected that; the upper one is that of the observed
	// slowness.
	minPace = 0.5
	maxPace = maxSlowness
)

// pace is how long work takes at an endpoint relative to usual, as a response said that was sent at
// sentAt. The zero value is an unknown pace.
type pace struct {
	// excess is the time over the usual one, relative to that.
	excess float64
	sentAt time.Time
}

func newPace(sentAt time.Time, factor float64) pace {
	return pace{excess: min(max(factor, minPace), maxPace) - 1, sentAt: sentAt}
}

// known reports whether the pace still counts.
func (p pace) known(now time.Time) bool { return !p.sentAt.IsZero() && now.Sub(p.sentAt) < paceMaxAge }

// expected returns the expected pace now: the one that was said, or as usual (1) the more, the older it
// is.
func (p pace) expected(now time.Time) float64 {
	if p.excess == 0 {
		return 1
	}
	age := max(0, now.Sub(p.sentAt))
	if age >= paceMaxAge {
		return 1
	}
	return 1 + p.excess*(1-float64(age)/float64(paceMaxAge))
}

// extraWork returns what the pace adds to the work before the first event, or takes from it, in prompt
// tokens. work is read at the usual pace, without the weights of tokens that are read again: with them, the
// difference in pace outweighed queues that took longer than it lasts. tokenTime is the time to prefill a
// token in ns, or 0 if unknown.
func (p pace) extraWork(now time.Time, work, tokenTime float64) float64 {
	if p.excess == 0 {
		return 0
	}
	left := float64(min(paceMaxAge, paceMaxAge-now.Sub(p.sentAt)))
	if left <= 0 {
		return 0
	}
	extra := p.excess * work
	if p.excess > 0 && tokenTime > 0 {
		// A slow time that still lasts ends after half of what is left, on average, and what is still to be
		// done is done at the usual pace.
		extra = min(extra, left/2*p.excess/(1+p.excess)/tokenTime)
	}
	return extra * (left / float64(paceMaxAge))
}

// during returns the mean pace from a choice, whose expected pace was atChoice or 0 if unknown, until now.
func (p pace) during(now time.Time, atChoice float64) float64 {
	if atChoice == 0 || !p.known(now) {
		return p.expected(now)
	}
	return (atChoice + p.expected(now)) / 2
}

// NotePace records that a response that was sent at sentAt says how long work takes at the endpoint,
// relative to usual (1). Of several the latest counts.
func (c *Choice) NotePace(sentAt time.Time, factor float64) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if e := c.endpoint; factor > 0 && !sentAt.Before(e.pace.sentAt) {
		e.pace = newPace(sentAt, factor)
	}
}
