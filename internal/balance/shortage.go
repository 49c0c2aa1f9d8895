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
)

// Shortage returns why Pick has just found no endpoint, and for AllInBackoff the time until the
// first of them takes requests again.
func (p *Pool) Shortage(now time.Time) (reason Shortage, quiet time.Duration) {
	p.mu.Lock()
	defer p.unlock()
	switch {
	case len(p.endpoints) == 0:
		return NoneListed, 0
	case len(p.order) == 0:
		return AllLeaving, 0
	}
	p.endBackoffs(now)
	for i, e := range p.order {
		if !e.backedOff() {
			return AllTried, 0
		}
		if left := e.backoff.until.Sub(now); i == 0 || left < quiet {
			quiet = left
		}
	}
	return AllInBackoff, quiet
}
