package placement

import (
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// decision holds the inputs of one placement decision.
type decision struct {
	now     time.Time
	request *routing.PermitRequest
	// enforceAvoid is false if every eligible endpoint is one to avoid.
	enforceAvoid bool
	// copyEndpoints holds the endpoints that run copies of the request, if no copy has
	// completed yet; empty means no restriction.
	copyEndpoints []*endpoint
	// crashedOn names the endpoints that crashed a moment ago under a suspect's digest,
	// whichever broker had placed it.
	crashedOn []string
}

// filter excludes endpoints that must not run a request.
type filter interface {
	keep(d *decision, e *endpoint) bool
}

// leavingFilter excludes endpoints that are leaving according to the configuration, the
// platform's list or their own load report.
type leavingFilter struct{}

func (leavingFilter) keep(_ *decision, e *endpoint) bool { return !e.leaving }

// healthFilter excludes ejected endpoints, and half-open ones unless the request can be
// their probe.
type healthFilter struct{}

// nonRepeatableProbeAfter is how long a half-open endpoint waits for a repeatable
// request before a non-repeatable one may serve as its probe.
const nonRepeatableProbeAfter = 5 * time.Second

func (healthFilter) keep(d *decision, e *endpoint) bool {
	switch e.state {
	case health.Healthy:
		return true
	case health.HalfOpen:
		return e.health.MayProbe(d.now) && (d.request.Repeatable || e.health.HalfOpenFor(d.now) >= nonRepeatableProbeAfter)
	default:
		return false
	}
}

// limitFilter excludes endpoints at their concurrency limit.
type limitFilter struct{}

func (limitFilter) keep(d *decision, e *endpoint) bool { return e.running.len < e.limit }

// suspectFilter excludes endpoints that run a suspect request in isolation or are
// reserved for one.
type suspectFilter struct{}

func (suspectFilter) keep(d *decision, e *endpoint) bool { return !e.heldForSuspect(d.now) }

// avoidFilter excludes endpoints that earlier attempts tried, unless no other is eligible.
type avoidFilter struct{}

func (avoidFilter) keep(d *decision, e *endpoint) bool {
	return !d.enforceAvoid || !slices.Contains(d.request.Avoid, e.config.Name)
}

// copiesFilter confines the copies of a request that has never completed to
// maxCopyEndpoints endpoints, so that a request that crashes endpoints affects only those.
type copiesFilter struct{}

// maxCopyEndpoints is the number of endpoints that may run copies of a request at once
// before one copy has completed. It equals the number of crashes that block a digest.
const maxCopyEndpoints = 2

func (copiesFilter) keep(d *decision, e *endpoint) bool {
	return len(d.copyEndpoints) < maxCopyEndpoints || slices.Contains(d.copyEndpoints, e)
}

// filters lists the filters in order of evaluation, cheap and selective ones first.
var filters = []filter{leavingFilter{}, suspectFilter{}, limitFilter{}, healthFilter{}, avoidFilter{}, copiesFilter{}}

func keep(d *decision, e *endpoint) bool {
	for _, f := range filters {
		if !f.keep(d, e) {
			return false
		}
	}
	return true
}
