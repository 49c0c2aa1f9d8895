package balance

import "time"

// permits reports whether the request may go to the endpoint at all, whatever its health.
func (r Request) permits(e *endpoint) bool { return !r.Exclude[e.ID] }

// filter returns the endpoints that may get the request. If health rules out all of them, it
// returns the one whose ejection ends first, so that a wrong suspicion of the whole pool does
// not reject every request. Leaving endpoints are never returned.
func (p *Pool) filter(now time.Time, request Request) []*endpoint {
	available := p.candidates[:0]
	var nextAvailable *endpoint
	for _, e := range p.order {
		if !request.permits(e) {
			continue
		}
		if e.health.available(now) {
			available = append(available, e)
			continue
		}
		if nextAvailable == nil || e.health.ejectedUntil.Before(nextAvailable.health.ejectedUntil) {
			nextAvailable = e
		}
	}
	if len(available) == 0 && nextAvailable != nil {
		available = append(available, nextAvailable)
	}
	p.candidates = available
	return available
}
