package balance

import (
	"slices"
	"time"
)

// permits reports whether the request may go to the endpoint at all, whatever its health.
func (r Request) permits(e *endpoint) bool {
	return !r.Exclude[e.ID] && (r.Version == nil || e.Version == *r.Version) && e.outlasts(r.Deadline)
}

// outlasts reports whether the endpoint stays until a request has ended, the latest at deadline.
func (e *endpoint) outlasts(deadline time.Time) bool {
	return e.leavesAt.IsZero() || !deadline.IsZero() && !deadline.After(e.leavesAt)
}

// noteLeavesIn records how long the listed endpoint stays. The time left is that of its registration,
// which may be older than the list: a repeated one does not move the end.
func (e *endpoint) noteLeavesIn(now time.Time, left time.Duration) {
	switch at := now.Add(left); {
	case left == 0:
		e.leavesAt = time.Time{}
	case e.leavesAt.IsZero() || at.Before(e.leavesAt):
		e.leavesAt = at
	}
}

// filter returns the endpoints that may get the request. If health rules out all of them, it
// returns the one whose ejection ends first, so that a wrong suspicion of the whole pool does
// not reject every request. Endpoints that leave, are in backoff or are brittle without known room are never returned.
func (p *Pool) filter(now time.Time, request Request) []*endpoint {
	available := p.candidates[:0]
	var nextAvailable *endpoint
	var returning []*endpoint
	for _, e := range p.order {
		if e.backedOff() || !request.permits(e) || !p.hasPermit(now, e, request.Priority) || !p.takesBrittle(now, e) {
			continue
		}
		if e.health.available(now) {
			if p.admitsReturn(now, e) {
				available = append(available, e)
			} else {
				returning = append(returning, e)
			}
			continue
		}
		if nextAvailable == nil || e.health.ejectedUntil.Before(nextAvailable.health.ejectedUntil) {
			nextAvailable = e
		}
	}
	if len(available) == 0 {
		available = append(available, returning...)
	}
	if len(available) == 0 && nextAvailable != nil {
		available = append(available, nextAvailable)
	}
	available = request.withoutAvoided(available)
	p.candidates = available
	return available
}

// withoutAvoided removes the endpoints of versions to avoid, unless there are no others.
func (r Request) withoutAvoided(available []*endpoint) []*endpoint {
	avoided := func(e *endpoint) bool { return slices.Contains(r.Avoid, e.Version) }
	if len(r.Avoid) == 0 || !slices.ContainsFunc(available, func(e *endpoint) bool { return !avoided(e) }) {
		return available
	}
	return slices.DeleteFunc(available, avoided)
}
