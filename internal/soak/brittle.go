package soak

import (
	"fmt"
	"time"

	"github.com/samber/lo"
)

// The users' rule on brittle endpoints: from brittleContact after the endpoints of a service first said
// that they are, they fall over at most maxFalls times and once more for each fallShare of them. A fall
// counts if most of what was rejected came from gateways that no fault disturbed for brittleContact.
const (
	brittleContact      = 3 * time.Second
	maxFalls, fallShare = 2, 10
)

// Fall is an endpoint that fell over since it rejected more requests in a second than it bears.
type Fall struct {
	Endpoint int
	At       time.Time
	// Rejected are the requests that it rejected in that second.
	Rejected []string
}

// RecordFall records that a brittle endpoint fell over.
func (h *History) RecordFall(f Fall) { record(h, &h.falls, f) }

// Falls returns the number of falls, also those that don't count.
func (h *History) Falls() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.falls)
}

// fallenTooOften verifies the rule for each time in which endpoints were brittle.
func (h *History) fallenTooOften(sent map[string]Attempt) (found []string) {
	for _, span := range h.spans {
		if span.Kind != BrittleEndpoints {
			continue
		}
		counted := lo.CountBy(h.falls, func(f Fall) bool {
			return f.At.After(span.Started.Add(brittleContact)) && f.At.Before(span.Ended) && h.countsAsFall(f, sent)
		})
		if allowed := maxFalls + len(h.Versions)/fallShare; counted > allowed {
			found = append(found, fmt.Sprintf("%d of %d brittle endpoints' falls between %s and %s count, %d are allowed",
				counted, len(h.falls), span.Started.Format(timeFormat), span.Ended.Format(timeFormat), allowed))
		}
	}
	return found
}

// countsAsFall reports whether most of what was rejected came from gateways in touch.
func (h *History) countsAsFall(f Fall, sent map[string]Attempt) bool {
	fromInTouch := lo.CountBy(f.Rejected, func(id string) bool {
		a, known := sent[id]
		return known && !h.outOfTouch(a.Gateway, f.At)
	})
	return 2*fromInTouch > len(f.Rejected)
}

// outOfTouch reports whether a fault on the gateway or the platform disturbed it within brittleContact.
func (h *History) outOfTouch(gateway int, at time.Time) bool {
	return h.overlapsFault(at.Add(-brittleContact), at, func(s Span) bool {
		return s.affectsGateway(gateway) || s.Kind.Target() == Platform && !s.Kind.Planned()
	})
}
