package scaling

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// aimStep is by how much the aim is raised beyond what the demand needs: each change of the number of
	// endpoints moves shared prompt parts.
	aimStep = 1.15
	// raiseHold is how long more endpoints than those of the start are wanted after they were last needed.
	raiseHold = 10 * time.Second
	// shrinkAfter is how long the demand must have been low before fewer endpoints are wanted, and
	// shrinkShare the share of the wanted ones that it must not have reached.
	shrinkAfter, shrinkShare = 30 * time.Second, 0.5
)

// order is an order of one service.
type order struct {
	subjectKey
	count int
}

// plan is the state of the orders of one service.
type plan struct {
	began  time.Time
	demand demand
	// start is the number of endpoints before the first order.
	start int
	// kept is set if an earlier holder has kept start.
	kept bool
	// wanted and survivors are the aim; see Summary.
	wanted, survivors int
	// raisedAt is when wanted was last needed, and lowSince since when the demand has been low.
	raisedAt, lowSince time.Time
	subjects           map[subjectKey]*subject
	// warmAt is when each listed endpoint has read the parts that moved to it.
	warmAt     map[string]time.Time
	releasedAt time.Time
}

func newPlan(now time.Time, start int) *plan {
	return &plan{began: now, start: start, kept: start > 0, subjects: make(map[subjectKey]*subject), warmAt: make(map[string]time.Time)}
}

func (p *plan) subject(key subjectKey) *subject {
	if p.subjects[key] == nil {
		p.subjects[key] = &subject{reclaimable: key.reclaimable}
	}
	return p.subjects[key]
}

// next returns the orders that are due.
func (p *plan) next(now time.Time, service Service) []order {
	p.demand.observe(now, service.Endpoints)
	p.count(now, service)
	p.setAim(now, service)
	sites := sitesOf(service)
	for i := range sites {
		s := &sites[i]
		s.most.ordinary = p.subject(subjectKey{s.name, false}).most(now, s.most.ordinary)
		s.most.reclaimable = p.subject(subjectKey{s.name, true}).most(now, s.most.reclaimable)
	}
	// A loss during a burst is made up for by reclaimable endpoints only: ordinary ones would cost more than they
	// serve.
	targets := allocate(service.Scaling, sites, p.wanted, p.usualSurvivors())
	addReclaimable(service.Scaling, sites, targets, p.survivors)
	var orders []order
	for i, s := range sites {
		orders = append(orders, p.additions(now, s.name, targets[i], service.Scaling.Max)...)
	}
	if len(orders) > 0 {
		return orders // Releases wait for a plan without additions.
	}
	if release, due := p.release(now, sites, targets); due {
		return []order{release}
	}
	return nil
}

// count counts the listed endpoints by data centre and kind.
func (p *plan) count(now time.Time, service Service) {
	for _, s := range p.subjects {
		s.usable, s.warm = 0, 0
	}
	listed := make(map[string]bool, len(service.Endpoints))
	for _, e := range service.Endpoints {
		listed[e.ID] = true
		if _, known := p.warmAt[e.ID]; !known {
			p.warmAt[e.ID] = now.Add(max(0, e.WarmUp) + warmTime)
		}
		s := p.subject(subjectKey{e.DataCentre, e.Reclaimable})
		if e.Draining {
			continue
		}
		s.usable++
		if !now.Before(p.warmAt[e.ID]) {
			s.warm++
		}
	}
	for id := range p.warmAt {
		if !listed[id] {
			delete(p.warmAt, id)
		}
	}
	for _, s := range p.subjects {
		s.observe(now, service.Scaling.Boot)
	}
}

// setAim sets the numbers of endpoints to aim at: as many as at the start, unless the demand needs more, or
// has been low for long.
func (p *plan) setAim(now time.Time, service Service) {
	if now.Sub(p.began) < settleTime {
		if !p.kept {
			p.start = max(p.start, startCount(service.Endpoints))
		}
		p.wanted = max(p.wanted, p.start)
	}
	// Room for a burst beyond that of the start is not ordered: what is ordered in a burst comes too late.
	if need := p.demand.burst(); need > float64(p.survivors) {
		p.survivors = min(p.start, int(math.Ceil(aimStep*need)))
	}
	occupied := p.demand.usual()
	if usesReclaimable(service.Scaling) {
		occupied = max(occupied, p.demand.sustained()) // At the full price, a burst alone is no reason.
	}
	raised := int(math.Ceil(aimStep * occupied))
	if occupied > float64(p.wanted) {
		p.wanted = raised
	}
	if raised >= p.wanted {
		p.raisedAt = now
	} else if p.wanted > p.start && now.Sub(p.raisedAt) > raiseHold {
		p.wanted = max(p.start, raised)
	}
	p.wanted = max(p.wanted, p.survivors)
	need := max(p.demand.comfortable(), p.demand.sustained())
	if p.lowSince.IsZero() || need > shrinkShare*float64(p.wanted) {
		p.lowSince = now
	}
	if now.Sub(p.lowSince) > shrinkAfter {
		p.survivors = min(p.start, int(math.Ceil(aimStep*p.demand.burst())))
		p.wanted = max(1, p.survivors, int(shrinkShare*float64(p.wanted)))
		p.lowSince = now
	}
}

// usualSurvivors returns how many endpoints the demand without a burst needs after a loss.
func (p *plan) usualSurvivors() int { return min(p.survivors, int(math.Ceil(p.demand.usual()))) }

// startCount returns how many endpoints were there before the first order, as far as the list tells. While
// reclaimable ones replace ordinary ones, both are listed.
func startCount(endpoints []Endpoint) int {
	ordinary, reclaimable := 0, 0
	for _, e := range endpoints {
		switch {
		case e.Reclaimable:
			reclaimable++ // Also if it is being taken away.
		case !e.Draining:
			ordinary++
		}
	}
	kept := int(math.Ceil(minOrdinaryShare * float64(reclaimable)))
	return max(ordinary, reclaimable+min(ordinary, kept))
}

// additions returns the orders for more endpoints in a data centre.
func (p *plan) additions(now time.Time, dataCentre string, target allocation, limit int) (orders []order) {
	for _, reclaimable := range []bool{true, false} {
		key, other := subjectKey{dataCentre, reclaimable}, subjectKey{dataCentre, !reclaimable}
		s := p.subject(key)
		count := min(lo.Ternary(reclaimable, target.reclaimable, target.ordinary), limit-p.subject(other).held())
		switch {
		case !s.hasOrder && s.usable > 0 && now.Sub(p.began) < settleTime:
			// The list may lack some, and an order would then release them.
		case count > s.expected():
			s.releasableSince = time.Time{}
			orders = append(orders, order{key, count})
		case s.resends(now):
			orders = append(orders, order{key, s.ordered})
		}
	}
	return orders
}

// release returns the next order for fewer endpoints, if one is due. Ordinary endpoints are released as soon as
// warm reclaimable ones take their place, in the most expensive data centre first, and one data centre at a time.
func (p *plan) release(now time.Time, sites []site, targets []allocation) (order, bool) {
	room := p.releasable(targets)
	for i, s := range slices.Backward(sites) {
		for _, reclaimable := range []bool{false, true} {
			key := subjectKey{s.name, reclaimable}
			subject := p.subject(key)
			target := lo.Ternary(reclaimable, targets[i].reclaimable, targets[i].ordinary)
			surplus := subject.expected() - target
			if surplus <= 0 {
				subject.releasableSince = time.Time{}
				continue
			}
			if subject.releasableSince.IsZero() {
				subject.releasableSince = now
			}
			held := reclaimable && now.Sub(subject.releasableSince) < releaseHold
			if held || now.Before(subject.refusedUntil) || now.Sub(p.began) < settleTime || now.Sub(p.releasedAt) < releaseInterval {
				continue
			}
			if count := min(surplus, room); count > 0 && (2*count >= surplus || now.Sub(p.releasedAt) > partialInterval) {
				p.releasedAt = now
				return order{key, subject.expected() - count}, true
			}
		}
	}
	return order{}, false
}

// releasable returns how many warm endpoints there are beyond the targets, and beyond what the usual demand needs
// after the loss of the reclaimable ones of any one data centre.
func (p *plan) releasable(targets []allocation) int {
	target := 0
	for _, t := range targets {
		target += t.ordinary + t.reclaimable
	}
	warm, loss := 0, 0
	for key, s := range p.subjects {
		staying := min(s.warm, s.expected()) // The others have been released already.
		warm += staying
		if key.reclaimable {
			loss = max(loss, staying)
		}
	}
	return min(warm-min(p.wanted, target), warm-loss-p.usualSurvivors())
}
