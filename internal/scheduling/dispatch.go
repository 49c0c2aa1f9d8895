package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

const (
	// parkedHeadTries and parkedRotationTries bound the parked items tried in one call:
	// the first in order, and some of the others in rotation.
	parkedHeadTries     = 4
	parkedRotationTries = 4
	// maxParksPerCall bounds the items that are parked in one call.
	maxParksPerCall = 8
)

// dispatch grants waiting items in order until no slot is free. In conservative mode
// only Tick grants, so that requests resubmitted after a broker takeover are ordered first.
func (p *Pool) dispatch(now time.Time) {
	if len(p.waiting) == 0 || p.full || now.Before(p.conservativeUntil) {
		return
	}
	p.grantInOrder(now)
}

// grantInOrder grants waiting items in order, also in conservative mode.
func (p *Pool) grantInOrder(now time.Time) {
	p.heldForHeadroom = false
	p.dispatchParked(now, false)
	if full := p.dispatchReady(now); full {
		p.dispatchParked(now, true)
	}
}

// dispatchReady grants ready items in order, and reports whether it stopped because
// no endpoint could take an unconstrained request.
func (p *Pool) dispatchReady(now time.Time) (full bool) {
	parks := 0
	for !p.full && parks < maxParksPerCall {
		it := p.next()
		if it == nil || !p.conservativeAllows(now, it) {
			p.freedWhileFull = 0
			return false
		}
		if now.After(it.expiresAt) {
			p.expire(now, it)
			continue
		}
		if !p.headroomAllows(now, it) {
			p.heldForHeadroom, p.freedWhileFull = true, 0
			return false
		}
		if p.place(now, it) {
			continue
		}
		if p.refuseQuarantined(now, it) {
			continue
		}
		if !p.constrained(now, it.request) {
			p.full, p.freedWhileFull = true, 0
			return true
		}
		p.park(it)
		parks++
	}
	return false
}

// next returns the item to run: the head of the class with the most floor credit, if
// that is at least one dispatch, or else the first head by tier and latest start.
func (p *Pool) next() *item {
	var first, owed *class
	for _, c := range p.ordered {
		if c.ready == 0 {
			continue
		}
		if first == nil || (c.tier == first.tier && c.head().before(first.head())) {
			first = c
		}
		if c.credit >= 1 && (owed == nil || c.credit > owed.credit) {
			owed = c
		}
	}
	if owed != nil {
		return owed.head()
	}
	if first != nil {
		return first.head()
	}
	return nil
}

// place grants an item if an endpoint can take it, and reports whether one could.
func (p *Pool) place(now time.Time, it *item) bool {
	placement, ok := p.placer.Place(now, it.request)
	if !ok {
		return false
	}
	p.creditFloors(now, it.class)
	if it.heapIndex >= 0 {
		it.class.charge(it)
	}
	p.dequeue(it)
	p.grant(now, it, placement)
	p.consumeFreed()
	return true
}

// consumeFreed counts a grant against the slots released since the pool was full.
func (p *Pool) consumeFreed() {
	if p.freedWhileFull == 0 {
		return
	}
	p.freedWhileFull--
	p.full = p.freedWhileFull == 0
}

// creditFloors credits each class in demand with its floor's share of one dispatch,
// and deducts the dispatch from the served class.
func (p *Pool) creditFloors(now time.Time, served *class) {
	scale := p.floorScale(now)
	for _, c := range p.ordered {
		if c.inDemand(now, p.cfg.DrainWindow) {
			c.credit = min(c.credit+c.floor*scale, maxFloorCredit)
		} else {
			c.credit = 0
		}
	}
	served.credit = max(served.credit-1, 0)
}

// floorScale is the factor that keeps the sum of the floors in demand at or below 1.
func (p *Pool) floorScale(now time.Time) float64 {
	total := 0.0
	for _, c := range p.ordered {
		if c.inDemand(now, p.cfg.DrainWindow) {
			total += c.floor
		}
	}
	return 1 / max(1, total)
}

func (p *Pool) grant(now time.Time, it *item, placement routing.Placement) {
	wait := now.Sub(it.submitted)
	grant := routing.Grant{
		AttemptID:    it.request.ID,
		Endpoint:     placement.Endpoint,
		Priority:     priority(it.request),
		QueueWait:    wait,
		Alternatives: placement.Alternatives,
		Reason:       placement.Reason,
		HedgeAfter:   placement.HedgeAfter,
	}
	conservative := p.conservativeShare(now) < 1
	if conservative {
		p.conservativeGrants++
	}
	p.running[it.request.ID] = &runningGrant{request: it.request, grant: grant, class: it.class, conservative: conservative}
	it.class.running++
	it.class.granted++
	it.class.dispatches.add(now, p.cfg.DrainWindow)
	p.record(Decision{
		At: now, Kind: Granted, Request: it.request, Grant: grant, Reason: placement.Reason,
		QueueWait: wait, Alternatives: placement.Alternatives, Parked: it.wasParked,
	})
}

// priority is the scheduling priority sent to the engine; lower runs first.
func priority(request routing.PermitRequest) int { return int(request.Tier) }

// constrained reports whether a request may be unplaceable although slots are free.
func (p *Pool) constrained(now time.Time, request routing.PermitRequest) bool {
	if p.constrainer != nil {
		return p.constrainer.Constrained(now, request)
	}
	return request.Suspect || len(request.Avoid) > 0
}

// refuseQuarantined refuses a waiting item whose digest has been quarantined.
func (p *Pool) refuseQuarantined(now time.Time, it *item) bool {
	if !p.quarantined(now, it.request) {
		return false
	}
	p.dequeue(it)
	p.refuse(now, it, ReasonQuarantined, quarantinedFailure())
	return true
}

func (p *Pool) quarantined(now time.Time, request routing.PermitRequest) bool {
	return p.quarantine != nil && p.quarantine.Refuses(now, request.Digest)
}

func quarantinedFailure() *failure.Failure {
	return failure.New(failure.Quarantined, "the request crashed endpoints and is refused")
}

// park moves a constrained item that the free endpoints can not take out of the queue
// to the parked items, so that it does not block the items behind it.
func (p *Pool) park(it *item) {
	it.wasParked = true
	it.class.remove(it)
	at, _ := slices.BinarySearchFunc(p.parked, it, compareParked)
	p.parked = slices.Insert(p.parked, at, it)
}

func (p *Pool) unpark(it *item) {
	p.parked = slices.DeleteFunc(p.parked, func(other *item) bool { return other == it })
}

// compareParked orders parked items by tier, then by expiry, then by arrival.
func compareParked(a, b *item) int {
	return cmp.Or(
		cmp.Compare(a.request.Tier, b.request.Tier),
		a.expiresAt.Compare(b.expiresAt),
		cmp.Compare(a.seq, b.seq),
	)
}

// dispatchParked retries some of the parked items. A parked item goes before the
// queue only if no ready item is of a higher tier. Once the pool is full the tier no
// longer matters, since endpoints may be reserved for parked items.
func (p *Pool) dispatchParked(now time.Time, full bool) {
	if len(p.parked) == 0 {
		return
	}
	for _, it := range p.parkedCandidates() {
		if head := p.next(); !full && head != nil && head.request.Tier < it.request.Tier {
			return
		}
		if !p.conservativeAllows(now, it) {
			return
		}
		if now.After(it.expiresAt) {
			p.expire(now, it)
			continue
		}
		if !p.place(now, it) {
			p.refuseQuarantined(now, it)
		}
	}
}

// parkedCandidates returns the parked items to try in this call, in order.
func (p *Pool) parkedCandidates() []*item {
	first := min(parkedHeadTries, len(p.parked))
	candidates := slices.Clone(p.parked[:first])
	others := p.parked[first:]
	for range min(parkedRotationTries, len(others)) {
		p.parkedCursor = (p.parkedCursor + 1) % len(others)
		candidates = append(candidates, others[p.parkedCursor])
	}
	slices.SortFunc(candidates, compareParked)
	return candidates
}

// expireWaiting refuses the items that have expired.
func (p *Pool) expireWaiting(now time.Time) {
	for len(p.expiry) > 0 && now.After(p.expiry[0].expiresAt) {
		p.expire(now, p.expiry[0])
	}
}

func (p *Pool) expire(now time.Time, it *item) {
	p.dequeue(it)
	p.refuse(now, it, ReasonExpired, p.overloadedFailure(now, it, "the request waited for as long as its target allows"))
}

// refuseAll refuses every waiting item because no endpoint accepts work.
func (p *Pool) refuseAll(now time.Time) {
	for _, it := range p.waitingInOrder() {
		p.dequeue(it)
		p.refuse(now, it, ReasonNoEndpoint, p.noEndpointFailure())
	}
}

// waitingInOrder returns the waiting items in order of arrival.
func (p *Pool) waitingInOrder() []*item {
	items := slices.Clone(p.expiry)
	slices.SortFunc(items, func(a, b *item) int { return cmp.Compare(a.seq, b.seq) })
	return items
}

func (p *Pool) refuse(now time.Time, it *item, reason string, f *failure.Failure) {
	it.class.refused++
	if reason != ReasonCancelled && reason != ReasonDaemonGone {
		it.class.lastRefused = now
		it.class.refusals.add(now, p.cfg.DrainWindow)
	}
	p.record(Decision{
		At: now, Kind: Refused, Request: it.request, Failure: f, Reason: reason, QueueWait: now.Sub(it.submitted), Parked: it.wasParked,
	})
}
