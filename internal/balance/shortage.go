package balance

import "time"

// Shortage is why Pick found no endpoint.
type Shortage int

const (
	// AllTried means that the request has tried every endpoint that takes requests.
	AllTried Shortage = iota
	// NoneListed means that the service has no endpoint that is listed as usable.
	NoneListed
	// AllLeaving means that every listed endpoint leaves.
	AllLeaving
	// AllInBackoff means that every listed endpoint that doesn't leave is in backoff.
	AllInBackoff
	// AllLimited means that every such endpoint is in backoff or names a limit that is used up.
	AllLimited
)

// Shortage returns why Pick has just found no endpoint for a request of this priority, and for
// AllInBackoff and AllLimited the time until the first of them takes one.
func (p *Pool) Shortage(now time.Time, priority int) (reason Shortage, quiet time.Duration) {
	p.mu.Lock()
	defer p.unlock()
	switch {
	case len(p.endpoints) == 0:
		return NoneListed, 0
	case len(p.order) == 0:
		return AllLeaving, 0
	}
	p.endBackoffs(now)
	reason = AllInBackoff
	for i, e := range p.order {
		var left time.Duration
		switch {
		case e.backedOff():
			left = e.backoff.until.Sub(now)
		case !p.hasPermit(now, e, priority):
			reason, left = AllLimited, p.limits.of(e.Endpoint).wait(priority)
		default:
			return AllTried, 0
		}
		if i == 0 || left < quiet {
			quiet = left
		}
	}
	return reason, quiet
}
