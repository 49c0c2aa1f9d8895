package placement

import (
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// decision is the work on one ask.
type decision struct {
	now time.Time
	ask *routing.PermitRequest
	// strictAvoid is false if no other endpoint is left than those to avoid.
	strictAvoid bool
	// only holds the endpoints on which copies of an unproven request run; empty means any.
	only []*endpoint
}

// filter drops the endpoints that may not take an ask.
type filter interface {
	keep(d *decision, e *endpoint) bool
}

// leavingFilter drops endpoints that go away, by the list or by their own word.
type leavingFilter struct{}

func (leavingFilter) keep(_ *decision, e *endpoint) bool { return !e.leaving }

// healthFilter drops ejected endpoints, and half-open ones but for their probe.
type healthFilter struct{}

// keyedProbeAfter is how long a half-open endpoint waits for a repeatable probe
// before work that may not be repeated may be the probe.
const keyedProbeAfter = 5 * time.Second

func (healthFilter) keep(d *decision, e *endpoint) bool {
	switch e.state {
	case health.Healthy:
		return true
	case health.HalfOpen:
		return e.health.MayProbe(d.now) && (d.ask.Repeatable || e.health.HalfOpenFor(d.now) >= keyedProbeAfter)
	default:
		return false
	}
}

// fullFilter drops endpoints at their limit.
type fullFilter struct{}

func (fullFilter) keep(d *decision, e *endpoint) bool { return e.running.len < e.limit }

// closedFilter drops endpoints on which a suspect runs alone, or that are kept free for one.
type closedFilter struct{}

func (closedFilter) keep(d *decision, e *endpoint) bool { return !e.closed(d.now) }

// avoidFilter drops endpoints that the request has tried, unless nothing else is left.
type avoidFilter struct{}

func (avoidFilter) keep(d *decision, e *endpoint) bool {
	return !d.strictAvoid || !slices.Contains(d.ask.Avoid, e.config.Name)
}

// copiesFilter keeps the copies of a request that has never completed on few
// endpoints, so that a request that crashes endpoints takes few with it.
type copiesFilter struct{}

// maxCopyEndpoints is the number of endpoints that may run copies of an unproven
// request at once. It equals the crashes that block a digest.
const maxCopyEndpoints = 2

func (copiesFilter) keep(d *decision, e *endpoint) bool {
	return len(d.only) < maxCopyEndpoints || slices.Contains(d.only, e)
}

// filters are tried in order; the cheap and decisive ones come first.
var filters = []filter{leavingFilter{}, closedFilter{}, fullFilter{}, healthFilter{}, avoidFilter{}, copiesFilter{}}

func keep(d *decision, e *endpoint) bool {
	for _, f := range filters {
		if !f.keep(d, e) {
			return false
		}
	}
	return true
}
