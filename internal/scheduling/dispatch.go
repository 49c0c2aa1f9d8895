package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

const (
	// parkedFirst and parkedTurns bound the parked items that are tried in one call:
	// the first in order, and some of the others in turn.
	parkedFirst = 4
	parkedTurns = 4
	// parksPerCall bounds the items that are parked in one call.
	parksPerCall = 8
)

// dispatch grants to waiting items in order, until no slot is free. In caution only
// a tick grants, so that asks which come again after a takeover are put in order first.
func (p *Pool) dispatch(now time.Time) {
	if len(p.waiting) == 0 || p.blocked || now.Before(p.cautiousUntil) {
		return
	}
	p.grantInOrder(now)
}

// grantInOrder grants to waiting items in order, in caution too.
func (p *Pool) grantInOrder(now time.Time) {
	p.held = false
	p.dispatchParked(now, false)
	if full := p.dispatchReady(now); full {
		p.dispatchParked(now, true)
	}
}

// dispatchReady grants to the queue in order, and reports whether it was stopped
// because no endpoint could take an ask that is not constrained.
func (p *Pool) dispatchReady(now time.Time) (full bool) {
	parks := 0
	for !p.blocked && parks < parksPerCall {
		it := p.next()
		if it == nil || !p.cautionAllows(now, it) {
			p.freed = 0
			return false
		}
		if now.After(it.latest) {
			p.expire(now, it)
			continue
		}
		if !p.headroomAllows(now, it) {
			p.held, p.freed = true, 0
			return false
		}
		if p.place(now, it) {
			continue
		}
		if p.refuseQuarantined(now, it) {
			continue
		}
		if !p.constrained(now, it.ask) {
			p.blocked, p.freed = true, 0
			return true
		}
		p.park(it)
		parks++
	}
	return false
}

// next picks the item to run: a class whose floor is due, else by tier and time left.
func (p *Pool) next() *item {
	var first, due *class
	for _, c := range p.ordered {
		if c.ready == 0 {
			continue
		}
		if first == nil || (c.tier == first.tier && c.head().before(first.head())) {
			first = c
		}
		if c.credit >= 1 && (due == nil || c.credit > due.credit) {
			due = c
		}
	}
	if due != nil {
		return due.head()
	}
	if first != nil {
		return first.head()
	}
	return nil
}

// place grants it if an endpoint can take it.
func (p *Pool) place(now time.Time, it *item) bool {
	placement, ok := p.placer.Place(now, it.ask)
	if !ok {
		return false
	}
	p.creditFloors(now, it.class)
	if it.position >= 0 {
		it.class.charge(it)
	}
	p.leave(it)
	p.grant(now, it, placement)
	p.useFreed()
	return true
}

// useFreed counts a grant against the slots that came free.
func (p *Pool) useFreed() {
	if p.freed == 0 {
		return
	}
	p.freed--
	p.blocked = p.freed == 0
}

// creditFloors gives each class in demand its share of one dispatch, and takes
// the dispatch from the class that got it.
func (p *Pool) creditFloors(now time.Time, served *class) {
	scale := p.floorScale(now)
	for _, c := range p.ordered {
		if c.inDemand(now, p.cfg.DrainWindow) {
			c.credit = min(c.credit+c.floor*scale, maxCredit)
		} else {
			c.credit = 0
		}
	}
	served.credit = max(served.credit-1, 0)
}

// floorScale keeps the floors of the classes in demand from summing to more than the whole.
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
		AttemptID:    it.ask.ID,
		Endpoint:     placement.Endpoint,
		Priority:     priority(it.ask),
		QueueWait:    wait,
		Alternatives: placement.Alternatives,
		Reason:       placement.Reason,
		HedgeAfter:   placement.HedgeAfter,
	}
	inCaution := p.cautionShare(now) < 1
	if inCaution {
		p.cautious++
	}
	p.running[it.ask.ID] = &run{ask: it.ask, grant: grant, class: it.class, cautious: inCaution}
	it.class.running++
	it.class.granted++
	it.class.dispatches.add(now, p.cfg.DrainWindow)
	p.record(Decision{
		At: now, Kind: Granted, Request: it.ask, Grant: grant, Reason: placement.Reason,
		QueueWait: wait, Alternatives: placement.Alternatives, Parked: it.parked,
	})
}

// priority is what the engine is told; lower runs first.
func priority(ask routing.PermitRequest) int { return int(ask.Tier) }

// constrained reports whether ask may be unplaceable although slots are free.
func (p *Pool) constrained(now time.Time, ask routing.PermitRequest) bool {
	if p.constrainer != nil {
		return p.constrainer.Constrained(now, ask)
	}
	return ask.Suspect || len(ask.Avoid) > 0
}

// refuseQuarantined refuses a waiting item whose digest has been blocked.
func (p *Pool) refuseQuarantined(now time.Time, it *item) bool {
	if !p.quarantined(now, it.ask) {
		return false
	}
	p.leave(it)
	p.refuse(now, it, ReasonQuarantined, quarantined())
	return true
}

func (p *Pool) quarantined(now time.Time, ask routing.PermitRequest) bool {
	return p.quarantine != nil && p.quarantine.Refuses(now, ask.Digest)
}

func quarantined() *failure.Failure {
	return failure.New(failure.Quarantined, "the request crashed endpoints and is refused")
}

// park sets aside a constrained item that the free endpoints can not take.
func (p *Pool) park(it *item) {
	it.parked = true
	it.class.remove(it)
	at, _ := slices.BinarySearchFunc(p.parked, it, compareParked)
	p.parked = slices.Insert(p.parked, at, it)
}

func (p *Pool) unpark(it *item) {
	p.parked = slices.DeleteFunc(p.parked, func(other *item) bool { return other == it })
}

// compareParked orders parked items by tier, then by time left.
func compareParked(a, b *item) int {
	return cmp.Or(
		cmp.Compare(a.ask.Tier, b.ask.Tier),
		a.latest.Compare(b.latest),
		cmp.Compare(a.seq, b.seq),
	)
}

// dispatchParked tries the first parked items again. A parked item goes before
// the queue only if no ready item is of a higher tier. Once the pool is full every
// parked item is tried, since endpoints may be kept free for it.
func (p *Pool) dispatchParked(now time.Time, full bool) {
	if len(p.parked) == 0 {
		return
	}
	for _, it := range p.parkedCandidates() {
		if head := p.next(); !full && head != nil && head.ask.Tier < it.ask.Tier {
			return
		}
		if !p.cautionAllows(now, it) {
			return
		}
		if now.After(it.latest) {
			p.expire(now, it)
			continue
		}
		if !p.place(now, it) {
			p.refuseQuarantined(now, it)
		}
	}
}

// parkedCandidates returns the parked items to try now, in order.
func (p *Pool) parkedCandidates() []*item {
	first := min(parkedFirst, len(p.parked))
	tries := slices.Clone(p.parked[:first])
	others := p.parked[first:]
	for range min(parkedTurns, len(others)) {
		p.parkedTurn = (p.parkedTurn + 1) % len(others)
		tries = append(tries, others[p.parkedTurn])
	}
	slices.SortFunc(tries, compareParked)
	return tries
}

// expireWaiting refuses the items whose time is over.
func (p *Pool) expireWaiting(now time.Time) {
	for len(p.expiry) > 0 && now.After(p.expiry[0].latest) {
		p.expire(now, p.expiry[0])
	}
}

func (p *Pool) expire(now time.Time, it *item) {
	p.leave(it)
	p.refuse(now, it, ReasonExpired, p.overloaded(now, it, "the request waited for as long as its target allows"))
}

// refuseAll refuses every waiting item because no endpoint takes work.
func (p *Pool) refuseAll(now time.Time) {
	for _, it := range p.waitingInOrder() {
		p.leave(it)
		p.refuse(now, it, ReasonNoEndpoint, p.noEndpoint())
	}
}

// waitingInOrder lists the waiting items in the order of their arrival.
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
		At: now, Kind: Refused, Request: it.ask, Failure: f, Reason: reason, QueueWait: now.Sub(it.submitted), Parked: it.parked,
	})
}
