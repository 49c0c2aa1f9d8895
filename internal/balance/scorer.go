package balance

import (
	"slices"
	"time"
)

const (
	// runningWork is what one running request costs the next one, in prompt tokens.
	runningWork = 250
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
)

// scored is an endpoint with its cost.
type scored struct {
	e       *endpoint
	cost    float64
	reading int
	reason  string
}

// score returns the cheapest candidate. The cost is the work that must be done before
// the first event, in prompt tokens, slowed by the endpoint's own speed.
func (p *Pool) score(now time.Time, ask Ask, candidates []*endpoint) scored {
	typical := typicalSpeed(candidates)
	home, homeTokens := homePart(ask.Parts)
	homeEndpoint := p.home(home)
	long := ask.PromptTokens > shortPrompt
	var best scored
	for _, e := range candidates {
		s := scored{e: e, reading: ask.PromptTokens, reason: "load"}
		if held := e.cache.held(now, ask.Parts); held > 0 {
			s.reading, s.reason = max(0, ask.PromptTokens-held), "cached"
		} else if e == homeEndpoint {
			s.reading, s.reason = ask.PromptTokens-int(homeShare*float64(homeTokens)), "home"
		}
		s.cost = p.cost(now, e, s.reading, typical)
		if long && e.express {
			s.cost += expressPenalty
		}
		if best.e == nil || s.cost < best.cost {
			best = s
		}
	}
	return best
}

func (p *Pool) cost(now time.Time, e *endpoint, reading int, typical float64) float64 {
	unit := float64(runningWork)
	if reading == 0 {
		unit = plainWork
	}
	work := rereadWeight*float64(reading) + float64(e.reading+e.elsewhere.Reading) + unit*float64(e.running+e.elsewhere.Running+1)
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
func (p *Pool) home(part string) *endpoint {
	if part == "" {
		return nil
	}
	var best *endpoint
	var rank uint64
	for _, e := range p.order {
		if e.express {
			continue
		}
		if r := rendezvous(part, e.ID); best == nil || r > rank {
			best, rank = e, r
		}
	}
	return best
}

// typicalSpeed is the median latency of a unit of work among the candidates that have one.
func typicalSpeed(candidates []*endpoint) float64 {
	speeds := make([]float64, 0, len(candidates))
	for _, e := range candidates {
		if e.evidence.perWork > 0 {
			speeds = append(speeds, e.evidence.perWork)
		}
	}
	if len(speeds) == 0 {
		return 0
	}
	slices.Sort(speeds)
	return speeds[(len(speeds)-1)/2]
}
