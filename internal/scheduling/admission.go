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
	// maxServiceShare caps the estimated service time at a share of the target, so that
	// a bad measurement can not cause every request of a class to be refused for good.
	maxServiceShare = 0.75
)

// refusal is the reason and the failure with which a request is not admitted.
type refusal struct {
	reason  string
	failure *failure.Failure
}

// admit decides whether an item may enter the queue; nil admits it.
func (p *Pool) admit(now time.Time, it *item) *refusal {
	if now.Sub(p.capacityReadAt) >= capacityMaxAge || p.capacity.Endpoints == 0 {
		p.refreshCapacity(now)
	}
	if p.capacity.Endpoints == 0 {
		return &refusal{ReasonNoEndpoint, p.noEndpointFailure()}
	}
	if p.quarantined(now, it.request) {
		return &refusal{ReasonQuarantined, quarantinedFailure()}
	}
	if now.After(it.expiresAt) {
		return &refusal{ReasonExpired, p.overloadedFailure(now, it, "the latency target has passed")}
	}
	if p.saturated() && p.wouldMissTarget(now, it) {
		return &refusal{ReasonLateOnArrival, p.overloadedFailure(now, it, "the expected wait exceeds the latency target")}
	}
	if !p.makeRoom(now, it) {
		return &refusal{ReasonQueueFull, p.overloadedFailure(now, it, "the queue is full")}
	}
	return nil
}

// wouldMissTarget reports whether the expected wait exceeds AdmissionShare of the
// time until the item expires.
func (p *Pool) wouldMissTarget(now time.Time, it *item) bool {
	wait, known := p.expectedWait(now, it)
	return known && wait > p.cfg.AdmissionShare*it.expiresAt.Sub(now).Seconds()
}

func (p *Pool) refreshCapacity(now time.Time) {
	p.capacity = p.placer.Capacity(now)
	p.capacityReadAt = now
}

// classFor returns the class of a request, updated with the settings that the request
// carries. A new class, or one whose tier has changed, is sorted into p.ordered.
func (p *Pool) classFor(request routing.PermitRequest) *class {
	c, ok := p.classes[request.Class]
	if ok && c.tier == request.Tier {
		c.updateSettings(request)
		return c
	}
	if !ok {
		c = newClass(request.Class)
		p.classes[request.Class] = c
		p.ordered = append(p.ordered, c)
	}
	c.updateSettings(request)
	slices.SortFunc(p.ordered, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.name, b.name))
	})
	return c
}

func (p *Pool) newItem(now time.Time, request routing.PermitRequest, c *class) *item {
	p.seq++
	slack := p.slack(request, c)
	if request.Attempt <= 1 {
		c.lastSlack = max(0, slack.Seconds())
	}
	latestStart := now.Add(slack)
	return &item{
		request:     request,
		class:       c,
		flow:        c.flowFor(request),
		submitted:   now,
		latestStart: latestStart,
		expiresAt:   p.expiryOf(now, request, latestStart),
		cost:        float64(p.expectedTokens(request)),
		seq:         p.seq,
		heapIndex:   -1,
		expiryIndex: -1,
	}
}

// expectedTokens estimates the length of the response in tokens, at least 1.
func (p *Pool) expectedTokens(request routing.PermitRequest) int {
	tokens := p.estimates.Quantile(request.Profile, request.Workspace, p.cfg.SizeQuantile)
	if request.MaxOutputTokens > 0 {
		tokens = min(tokens, request.MaxOutputTokens)
	}
	return max(1, tokens)
}

// expiryOf returns when a request expires in the queue. A repeated attempt gets a new
// bound on its wait: its target may have passed already, but its caller still wants
// the complete response.
func (p *Pool) expiryOf(now time.Time, request routing.PermitRequest, latestStart time.Time) time.Time {
	if request.Attempt > 1 {
		return now.Add(max(request.MaxWait, p.cfg.MaxWait))
	}
	return latestStart
}

// slack returns how long a request can wait from now and still meet its target.
func (p *Pool) slack(request routing.PermitRequest, c *class) time.Duration {
	bound := request.MaxWait
	if bound <= 0 {
		bound = p.cfg.MaxWait
	}
	if target, estimate := p.serviceEstimate(request, c); target > 0 {
		estimate = min(estimate, target*maxServiceShare)
		bound = min(bound, seconds(target-estimate))
	}
	return bound - request.Waited
}

// serviceEstimate returns the latency target that limits the wait and the estimated
// service time that counts towards it, in seconds. Both are 0 without a target.
func (p *Pool) serviceEstimate(request routing.PermitRequest, c *class) (target, service float64) {
	if request.Target.FirstTokenMS > 0 {
		return milliseconds(request.Target.FirstTokenMS), p.firstTokenEstimate(c)
	}
	if request.Target.CompleteMS <= 0 {
		return 0, 0
	}
	target = milliseconds(request.Target.CompleteMS)
	if !c.tokenGap.observed {
		return target, c.serviceTime.upperEstimate()
	}
	return target, p.firstTokenEstimate(c) + float64(p.expectedTokens(request))*c.tokenGap.upperEstimate()
}

// firstTokenEstimate returns the estimated time to the first token, in seconds: from
// the class's own measurements, or else the pool's median.
func (p *Pool) firstTokenEstimate(c *class) float64 {
	if c.firstToken.observed {
		return c.firstToken.upperEstimate()
	}
	return p.capacity.FirstToken.Seconds()
}

func milliseconds(ms int) float64 { return float64(ms) / 1000 }

// drainRate estimates how many slots per second come free while the pool is saturated.
func (p *Pool) drainRate() float64 {
	prior := 0.0
	if p.serviceTime.observed {
		prior = float64(p.capacity.Slots) / p.serviceTime.mean
	}
	return p.drain.perSecond(prior)
}

// expectedWait predicts an item's time in the queue, in seconds. It reports false
// while the drain rate is unknown.
func (p *Pool) expectedWait(now time.Time, it *item) (float64, bool) {
	rate := p.drainRate()
	if rate <= 0 {
		return 0, false
	}
	rank := p.rank(it)
	tierWait := (rank + p.requestsAhead(it)) / max(p.tierRate(now, it.class, rate), math.SmallestNonzeroFloat64)
	return min(tierWait, p.floorWait(now, it.class, rank, rate)), true
}

// rank returns the position that a new item would get within its class, from 1.
func (p *Pool) rank(it *item) float64 {
	c, f := it.class, it.flow
	totalWeight := c.activeWeight
	if f.heapIndex < 0 {
		totalWeight += f.weight
	}
	fairRank := float64(len(f.items)+1) * totalWeight / f.weight
	return min(fairRank, float64(c.waiting+1))
}

// requestsAhead estimates how many waiting items outside the item's class run before
// it: all of higher tiers, and those of its tier that have to start earlier.
func (p *Pool) requestsAhead(it *item) float64 {
	ahead := 0.0
	for _, c := range p.ordered {
		switch {
		case c == it.class || c.waiting == 0:
		case c.tier < it.class.tier:
			ahead += float64(c.waiting)
		case c.tier == it.class.tier:
			ahead += float64(c.waiting) * shareBefore(c, it.latestStart)
		}
	}
	return ahead
}

// shareBefore estimates the share of a class's items that have to start before
// latestStart, by linear interpolation.
func shareBefore(c *class, latestStart time.Time) float64 {
	head := c.head()
	if head == nil || !latestStart.Before(c.maxLatestStart) {
		return 1
	}
	if latestStart.Before(head.latestStart) {
		return 0
	}
	span := c.maxLatestStart.Sub(head.latestStart).Seconds()
	if span <= 0 {
		return 1
	}
	return latestStart.Sub(head.latestStart).Seconds() / span
}

// tierRate is the part of the drain rate that remains for the class's tier after the
// floors of lower tiers and the arrivals of higher ones.
func (p *Pool) tierRate(now time.Time, c *class, rate float64) float64 {
	scale := p.floorScale(now)
	remaining := rate
	for _, other := range p.ordered {
		if other.tier > c.tier && other.inDemand(now, p.cfg.DrainWindow) {
			remaining -= other.floor * scale * rate
		}
		if other.tier < c.tier {
			remaining -= other.admitted.perSecond(now, p.cfg.DrainWindow)
		}
	}
	return max(remaining, 0)
}

// floorWait is the expected wait, in seconds, if the class got only its floor.
func (p *Pool) floorWait(now time.Time, c *class, rank, rate float64) float64 {
	if rank <= math.Floor(c.credit) {
		return rank / rate
	}
	share := c.floor * p.floorScale(now)
	if share <= 0 {
		return math.Inf(1)
	}
	return (rank - c.credit) / (share * rate)
}
