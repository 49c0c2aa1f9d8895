package scheduling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

const (
	// maxPlannedShare bounds the planned service to a share of the target, so that a
	// bad measurement can not refuse a whole class for good.
	maxPlannedShare = 0.75
)

// refusal says why an ask is not admitted.
type refusal struct {
	reason  string
	failure *failure.Failure
}

// admit decides whether it may wait; nil admits it.
func (p *Pool) admit(now time.Time, it *item) *refusal {
	if now.Sub(p.capacityAt) >= capacityAge || p.capacity.Endpoints == 0 {
		p.readCapacity(now)
	}
	if p.capacity.Endpoints == 0 {
		return &refusal{ReasonNoEndpoint, p.noEndpoint()}
	}
	if p.quarantined(now, it.ask) {
		return &refusal{ReasonQuarantined, quarantined()}
	}
	if now.After(it.latest) {
		return &refusal{ReasonExpired, p.overloaded(now, it, "the latency target has passed")}
	}
	if p.saturated() && p.tooLate(now, it) {
		return &refusal{ReasonLateOnArrival, p.overloaded(now, it, "the expected wait exceeds the latency target")}
	}
	if !p.makeRoom(now, it) {
		return &refusal{ReasonQueueFull, p.overloaded(now, it, "the queue is full")}
	}
	return nil
}

// tooLate reports whether the expected wait takes more of the time left than allowed.
func (p *Pool) tooLate(now time.Time, it *item) bool {
	wait, known := p.expectedWait(now, it)
	return known && wait > p.cfg.AdmissionShare*it.latest.Sub(now).Seconds()
}

func (p *Pool) readCapacity(now time.Time) {
	p.capacity = p.placer.Capacity(now)
	p.capacityAt = now
}

// classOf returns the class of ask, with the settings that came with it.
func (p *Pool) classOf(ask routing.PermitRequest) *class {
	c, ok := p.classes[ask.Class]
	if ok && c.tier == ask.Tier {
		c.describe(ask)
		return c
	}
	if !ok {
		c = newClass(ask.Class)
		p.classes[ask.Class] = c
		p.ordered = append(p.ordered, c)
	}
	c.describe(ask)
	slices.SortFunc(p.ordered, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.name, b.name))
	})
	return c
}

func (p *Pool) newItem(now time.Time, ask routing.PermitRequest, c *class) *item {
	p.seq++
	slack := p.slack(ask, c)
	if ask.Attempt <= 1 {
		c.slack = max(0, slack.Seconds())
	}
	due := now.Add(slack)
	return &item{
		ask:       ask,
		class:     c,
		flow:      c.flowOf(ask),
		submitted: now,
		due:       due,
		latest:    p.latest(now, ask, due),
		cost:      float64(p.expectedTokens(ask)),
		seq:       p.seq,
		position:  -1,
		expiry:    -1,
	}
}

// expectedTokens is the planned length of the answer.
func (p *Pool) expectedTokens(ask routing.PermitRequest) int {
	tokens := p.estimates.Quantile(ask.Profile, ask.Workspace, p.cfg.SizeQuantile)
	if ask.MaxOutputTokens > 0 {
		tokens = min(tokens, ask.MaxOutputTokens)
	}
	return max(1, tokens)
}

// latest is when ask expires. A further attempt has its wait bounded anew: its
// target may have passed, and its caller still wants the whole answer.
func (p *Pool) latest(now time.Time, ask routing.PermitRequest, due time.Time) time.Time {
	if ask.Attempt > 1 {
		return now.Add(max(ask.MaxWait, p.cfg.MaxWait))
	}
	return due
}

// slack is how long ask may wait from now and still meet its target.
func (p *Pool) slack(ask routing.PermitRequest, c *class) time.Duration {
	bound := ask.MaxWait
	if bound <= 0 {
		bound = p.cfg.MaxWait
	}
	if target, planned := p.planned(ask, c); target > 0 {
		planned = min(planned, target*maxPlannedShare)
		bound = min(bound, seconds(target-planned))
	}
	return bound - ask.Waited
}

// planned returns the target that binds the wait and the service planned within it, in seconds.
func (p *Pool) planned(ask routing.PermitRequest, c *class) (target, service float64) {
	if ask.Target.FirstTokenMS > 0 {
		return milliseconds(ask.Target.FirstTokenMS), p.plannedFirstToken(c)
	}
	if ask.Target.CompleteMS <= 0 {
		return 0, 0
	}
	target = milliseconds(ask.Target.CompleteMS)
	if !c.gap.seen {
		return target, c.service.planned()
	}
	return target, p.plannedFirstToken(c) + float64(p.expectedTokens(ask))*c.gap.planned()
}

// plannedFirstToken prefers the class's own measurement to the pool's median.
func (p *Pool) plannedFirstToken(c *class) float64 {
	if c.firstToken.seen {
		return c.firstToken.planned()
	}
	return p.capacity.FirstToken.Seconds()
}

func milliseconds(ms int) float64 { return float64(ms) / 1000 }

// drainRate is the rate at which slots come free under saturation, per second.
func (p *Pool) drainRate() float64 {
	prior := 0.0
	if p.service.seen {
		prior = float64(p.capacity.Slots) / p.service.mean
	}
	return p.drained.perSecond(prior)
}

// expectedWait predicts the time in the queue, in seconds, if the rate is known.
func (p *Pool) expectedWait(now time.Time, it *item) (float64, bool) {
	rate := p.drainRate()
	if rate <= 0 {
		return 0, false
	}
	rank := p.rank(it)
	byOrder := (rank + p.aheadOf(it)) / max(p.orderRate(now, it.class, rate), math.SmallestNonzeroFloat64)
	return min(byOrder, p.waitByFloor(now, it.class, rank, rate)), true
}

// rank is the place that a new item would have within its class, from 1.
func (p *Pool) rank(it *item) float64 {
	c, f := it.class, it.flow
	weights := c.activeWeight
	if f.position < 0 {
		weights += f.weight
	}
	fair := float64(len(f.items)+1) * weights / f.weight
	return min(fair, float64(c.waiting+1))
}

// aheadOf counts the waiting items of higher tiers, and those of other classes of
// the same tier that have less time left.
func (p *Pool) aheadOf(it *item) float64 {
	ahead := 0.0
	for _, c := range p.ordered {
		switch {
		case c == it.class || c.waiting == 0:
		case c.tier < it.class.tier:
			ahead += float64(c.waiting)
		case c.tier == it.class.tier:
			ahead += float64(c.waiting) * shareBefore(c, it.due)
		}
	}
	return ahead
}

// shareBefore estimates the share of a class's items that must start before due.
func shareBefore(c *class, due time.Time) float64 {
	head := c.head()
	if head == nil || !due.Before(c.newest) {
		return 1
	}
	if due.Before(head.due) {
		return 0
	}
	span := c.newest.Sub(head.due).Seconds()
	if span <= 0 {
		return 1
	}
	return due.Sub(head.due).Seconds() / span
}

// orderRate is what remains of the drain rate for the class's tier after the floors
// of lower tiers and the arrivals of higher ones.
func (p *Pool) orderRate(now time.Time, c *class, rate float64) float64 {
	scale := p.floorScale(now)
	left := rate
	for _, other := range p.ordered {
		if other.tier > c.tier && other.inDemand(now, p.cfg.DrainWindow) {
			left -= other.floor * scale * rate
		}
		if other.tier < c.tier {
			left -= other.admitted.perSecond(now, p.cfg.DrainWindow)
		}
	}
	return max(left, 0)
}

// waitByFloor is the wait if the class got its floor only.
func (p *Pool) waitByFloor(now time.Time, c *class, rank, rate float64) float64 {
	if rank <= math.Floor(c.credit) {
		return rank / rate
	}
	share := c.floor * p.floorScale(now)
	if share <= 0 {
		return math.Inf(1)
	}
	return (rank - c.credit) / (share * rate)
}
