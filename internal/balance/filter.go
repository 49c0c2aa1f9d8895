package balance

import "time"

// filter returns the endpoints that may get the request. If evidence rules out all of
// them, those whose ejection ends first are tried: a wrong suspicion of the whole pool
// must not turn everything away.
func (p *Pool) filter(now time.Time, ask Request) []*endpoint {
	open := p.candidates[:0]
	var soonest *endpoint
	for _, e := range p.order {
		if ask.Exclude[e.ID] {
			continue
		}
		if e.evidence.open(now) {
			open = append(open, e)
			continue
		}
		if soonest == nil || e.evidence.ejectedUntil.Before(soonest.evidence.ejectedUntil) {
			soonest = e
		}
	}
	if len(open) == 0 && soonest != nil {
		open = append(open, soonest)
	}
	p.candidates = open
	return open
}
