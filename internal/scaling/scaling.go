// Package scaling decides how many endpoints of which kind each data centre has. The platform bills every
// endpoint for each second; reclaimable ones cost a fraction of ordinary ones, and all of a data centre may be
// taken away at once. The package does no I/O: time and the listed endpoints with their loads go in, orders
// come out.
package scaling

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/adapter"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

const (
	// settleTime is how long after its first plan for a service a planner releases nothing, and changes no
	// number that it has not ordered: the first list and the first loads of a new holder may be incomplete, and
	// an order for fewer endpoints than there are releases the others.
	settleTime = 3 * time.Second
	// arrivalSlack is how long after its boot time an ordered endpoint may be listed.
	arrivalSlack = 2 * time.Second
	// warmTime is how long after its warm-up an endpoint counts as a replacement: by then it has read the
	// shared prompt parts that have moved to it.
	warmTime = 500 * time.Millisecond
	// releaseInterval is the time between two releases, and so the time in which what a released endpoint
	// had cached is read elsewhere.
	releaseInterval = 500 * time.Millisecond
	// partialInterval is the time between releases of less than half of what is to be released, as few endpoints
	// at a time take many orders.
	partialInterval = 3 * time.Second
	// releaseHold is how long reclaimable endpoints must have been too many before some are released: they
	// cost little, and each release loses a cache.
	releaseHold = 10 * time.Second
	// refusalHold is how long a refused order is not repeated.
	refusalHold = 3 * time.Second
	// minResend and maxResend bound the delay after which an order without an answer is repeated; the
	// delay doubles each time.
	minResend, maxResend = time.Second, 2 * time.Second
	// lossShare is the share of an order that, once lost, is a reclaim; fewer may return by themselves, as
	// crashed endpoints do.
	lossShare = 0.5
)

// Endpoint is a listed endpoint with its load from all gateways.
type Endpoint struct {
	routetable.Endpoint
	Running, PendingTokens int
}

// Service is what is known of a service whose endpoints can be ordered.
type Service struct {
	Scaling   routetable.Scaling
	Endpoints []Endpoint
}

// State is the state of all such services, by name.
type State map[string]Service

// Outcome is what became of an order.
type Outcome int

const (
	// Accepted orders are in force.
	Accepted Outcome = iota
	// Refused orders leave the one before in force: there are no such endpoints at the moment.
	Refused
	// Unanswered orders may be in force.
	Unanswered
	// NotSent orders were not received.
	NotSent
)

// String returns the outcome in words.
func (o Outcome) String() string {
	return [...]string{Accepted: "accepted", Refused: "refused", Unanswered: "unanswered", NotSent: "not sent"}[o]
}

// Planner decides on orders. A new holder of the duty begins with an empty one. It is not safe for concurrent use.
type Planner struct {
	services map[string]*plan
	starts   map[string]int
}

// NewPlanner returns a planner. starts holds the number of endpoints of the start by service, where an earlier
// holder has kept it: once endpoints have been replaced or lost, the list no longer tells.
func NewPlanner(starts map[string]int) *Planner {
	return &Planner{services: make(map[string]*plan), starts: starts}
}

// Starts returns the number of endpoints of the start, by service, that is to be kept for the next holder.
func (p *Planner) Starts(now time.Time) map[string]int {
	starts := make(map[string]int)
	for name, plan := range p.services {
		if now.Sub(plan.began) >= settleTime {
			starts[name] = plan.start
		}
	}
	return starts
}

// Plan returns the orders that are due, at most one for each service, data centre and kind. Each must be
// followed by a call of Note before the next Plan.
func (p *Planner) Plan(now time.Time, state State) []adapter.EndpointOrder {
	var orders []adapter.EndpointOrder
	for _, name := range slices.Sorted(maps.Keys(state)) {
		service := state[name]
		if len(service.Endpoints) == 0 && p.services[name] == nil {
			continue // Its list may not have been read yet.
		}
		if p.services[name] == nil {
			p.services[name] = newPlan(now, p.starts[name])
		}
		for _, o := range p.services[name].next(now, service) {
			orders = append(orders, adapter.EndpointOrder{Service: name, DataCentre: o.dataCentre, Reclaimable: o.reclaimable, Count: o.count})
		}
	}
	for name := range p.services {
		if _, found := state[name]; !found {
			delete(p.services, name)
		}
	}
	return orders
}

// Note records what became of an order.
func (p *Planner) Note(now time.Time, order adapter.EndpointOrder, outcome Outcome) {
	if plan := p.services[order.Service]; plan != nil {
		plan.subject(subjectKey{order.DataCentre, order.Reclaimable}).note(now, order.Count, outcome)
	}
}

// Summary is what a planner aims at for a service, for logs and metrics.
type Summary struct {
	// Wanted is the number of endpoints that are to serve, and Survivors how many of them must be left after
	// the loss of all reclaimable ones of any data centre.
	Wanted, Survivors int
	// Work is the demand as a number of fully occupied endpoints.
	Work float64
}

// Summary returns the aim for a service.
func (p *Planner) Summary(service string) Summary {
	plan := p.services[service]
	if plan == nil {
		return Summary{}
	}
	return Summary{Wanted: plan.wanted, Survivors: plan.survivors, Work: plan.demand.recent}
}
