package balance

import (
	"slices"
	"time"
)

const (
	// runningWork is what one running request costs the next one, in prompt tokens.
	runningWork = 250
	// slotWork is what each request beyond an endpoint's slots costs the next one: it waits
	// until one ends, which takes about as long as reading so many tokens.
	slotWork = 8000
	// failurePenalty is the cost of a certain failure, in prompt tokens.
	failurePenalty = 60000
	// coldFactor is how much slower a cold endpoint is taken to be.
	coldFactor = 1.6
	// farWork is the cost of another data centre, in prompt tokens.
	farWork = 40
	// tieWork spreads equal choices.
	tieWork = 60
	// plainWork is the work of a request without a declared prompt.
	plainWork = 1500
	// rereadWeight is what a token read again costs, in tokens already waiting at an
	// endpoint: under load each one delays every request of the pool, not only its own.
	rereadWeight = 12.0
	// typicalFor is how long a median of the endpoints' speeds is used; each of them moves
	// over several answers.
	typicalFor = 20 * time.Millisecond
	// fetchWeight is what a token fetched from another endpoint costs, in tokens waiting:
	// the copy takes a few milliseconds, and its bytes are priced.
	fetchWeight = 9.0
)

// scored is an endpoint with its cost.
type scored struct {
	e       *endpoint
	cost    float64
	reading int
	reason  string
	// holder is another endpoint from which shared parts of the prompt can be fetched.
	holder *endpoint
}

// score returns the cheapest candidate. The cost is the work that must be done before
// the first event, in prompt tokens, slowed by the endpoint's own speed.
func (p *Pool) score(now time.Time, ask Request, parts []hashedPart, candidates []*endpoint) scored {
	typical := p.typicalSpeed(now)
	part, sharedTokens := homePart(parts)
	home := p.home(part, sharedTokens)
	p.held = p.held[:0]
	for _, e := range candidates {
		p.held = append(p.held, e.cache.held(now, parts))
	}
	holder, holds := p.holder(now, candidates, home, sharedTokens)
	long := ask.PromptTokens > shortPrompt
	drawn := newSample(candidates, p.daemons)
	var best scored
	for i, e := range candidates {
		if !drawn.draw(e, p.random.Float64) && e != home && p.held[i] == 0 {
			continue
		}
		s := scored{e: e, reading: ask.PromptTokens, reason: "load"}
		if held := p.held[i]; held > 0 {
			s.reading, s.reason = max(0, ask.PromptTokens-held), "cached"
		} else if e == home {
			s.reading, s.reason = ask.PromptTokens-int(homeShare*float64(sharedTokens)), "home"
		}
		if fetched := s.reading - (ask.PromptTokens - holds); holder != nil && holder != e && fetched >= homeTokens {
			s.holder = holder
			s.reading -= fetched
			s.cost = fetchWeight * float64(fetched)
			if s.reason == "load" {
				s.reason = "fetch"
			}
		}
		s.cost += p.cost(now, e, s.reading, typical)
		s.cost += p.laneCost(e, long)
		if best.e == nil || s.cost < best.cost {
			best = s
		}
	}
	if best.holder == nil && holder != best.e && best.reason == "home" {
		best.holder = holder // The home may have lost its memory; what it holds is not copied.
	}
	return best
}

// holder returns the endpoint that holds most of the shared parts of a prompt, by this
// daemon's own requests or else by the rule of homes, and the tokens that it holds.
func (p *Pool) holder(now time.Time, candidates []*endpoint, home *endpoint, sharedTokens int) (*endpoint, int) {
	if sharedTokens < homeTokens {
		return nil, 0
	}
	var best *endpoint
	most := 0
	for i, e := range candidates {
		if held := min(sharedTokens, p.held[i]); held > most && e.evidence.open(now) {
			best, most = e, held
		}
	}
	if best != nil {
		return best, most
	}
	if home != nil && home.evidence.open(now) {
		return home, int(homeShare * float64(sharedTokens))
	}
	return nil, 0
}

func (p *Pool) cost(now time.Time, e *endpoint, reading int, typical float64) float64 {
	unit := float64(runningWork)
	if reading == 0 {
		unit = plainWork
	}
	work := rereadWeight*float64(reading) + float64(e.reading+e.elsewhere.PendingTokens) + unit*float64(e.running+e.elsewhere.Running+1)
	work += slotWork * float64(max(0, e.running+e.elsewhere.Running+1-e.Slots))
	work *= e.evidence.slowness(now, typical)
	if now.Before(e.coldUntil) {
		work *= coldFactor
	}
	work += failurePenalty * e.evidence.failureRate(now)
	if e.DataCentre != p.dataCentre {
		work += farWork
	}
	return work + tieWork*p.random.Float64()
}

// home returns the endpoint, outside the express lane, that all daemons prefer for a part while the list agrees.
func (p *Pool) home(part uint64, sharedTokens int) *endpoint {
	if sharedTokens == 0 {
		return nil
	}
	var best *endpoint
	var rank uint64
	for _, e := range p.order {
		if e.express {
			continue
		}
		if r := rendezvous(part, e.hash); best == nil || r > rank {
			best, rank = e, r
		}
	}
	return best
}

// typicalSpeed is the median latency of a unit of work among the endpoints that have one.
func (p *Pool) typicalSpeed(now time.Time) float64 {
	if now.Sub(p.typicalAt) < typicalFor {
		return p.typical
	}
	speeds := make([]float64, 0, len(p.order))
	for _, e := range p.order {
		if e.evidence.perWork > 0 {
			speeds = append(speeds, e.evidence.perWork)
		}
	}
	p.typical, p.typicalAt = 0, now
	if len(speeds) > 0 {
		slices.Sort(speeds)
		p.typical = speeds[(len(speeds)-1)/2]
	}
	return p.typical
}
