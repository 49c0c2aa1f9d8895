package balance

import (
	"cmp"
	"slices"
)

// Load pattern: bursts of long prompts. An engine reads prompts in chunks between the
// tokens of its running requests, so each chunk of a long prompt delays every stream
// beside it. Some endpoints are therefore kept for short prompts, whose streams have
// the tightest targets; long prompts go there only when the others are far behind.

const (
	// shortPrompt is the most prompt tokens of a request for the express lane: one chunk
	// of an engine.
	shortPrompt = 4096
	// expressShare is the part of a pool in the express lane.
	expressShare = 0.22
	// expressFrom is the smallest pool that has one.
	expressFrom = 4
	// expressPenalty is the cost at which a long prompt goes to the express lane, in
	// prompt tokens.
	expressPenalty = 60000
	// shortPenalty is the cost at which a short prompt leaves the express lane: a stream
	// beside long prompts pauses even where nothing waits at its start.
	shortPenalty = 15000
	// expressRank stands for a part when endpoints are ranked for the lane; all daemons
	// choose the same ones.
	expressRank = 1
)

// assignExpress marks the endpoints of the express lane.
func assignExpress(endpoints []*endpoint, engine bool) {
	ranked := slices.Clone(endpoints)
	slices.SortFunc(ranked, func(a, b *endpoint) int {
		return cmp.Compare(rendezvous(expressRank, a.hash), rendezvous(expressRank, b.hash))
	})
	lane := 0
	if engine && len(ranked) >= expressFrom {
		lane = max(1, int(expressShare*float64(len(ranked))+0.5))
	}
	for i, e := range ranked {
		e.express = i < lane
	}
}

// laneCost is the cost of an endpoint in the other lane.
func (p *Pool) laneCost(e *endpoint, long bool) float64 {
	switch {
	case !p.prompts || len(p.order) < expressFrom:
		return 0
	case long && e.express:
		return expressPenalty
	case !long && !e.express:
		return shortPenalty
	}
	return 0
}
