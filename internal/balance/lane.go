package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Load pattern: bursts of long prompts. An engine reads prompts in chunks between the
// tokens of its running requests, so each chunk of a long prompt delays every stream
// beside it. Some endpoints are therefore kept for short prompts, whose streams have
// the tightest targets; long prompts go there only when the others are far behind.

const (
	// shortPrompt is the most prompt tokens of a request for the express lane: one chunk
	// of an engine.
	shortPrompt = 4096
	// expressLeast and expressMost are the smallest and the largest part of a pool in the
	// express lane.
	expressLeast = 0.08
	expressMost  = 0.25
	// expressFrom is the smallest pool that has a lane, and expressPair the smallest whose
	// lane has at least two endpoints.
	expressFrom = 4
	expressPair = 8
	// expressFill is the part of the lane's slots that short prompts are meant to take.
	expressFill = 0.7
	// expressReview is the time between two looks at the lane's size, and expressWeight the
	// share of a look in the typical number of short prompts: each change moves the homes
	// of some parts.
	expressReview = time.Second
	expressWeight = 0.3
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

// lane is the number of short prompts in progress at all endpoints, as far as this
// daemon can tell, and when it last looked.
type lane struct {
	short      float64
	reviewedAt time.Time
	size       int
}

// reviewLane sizes the express lane by the slots that short prompts take.
func (p *Pool) reviewLane(now time.Time) {
	if !p.prompts || now.Sub(p.lane.reviewedAt) < expressReview {
		return
	}
	p.lane.reviewedAt = now
	own, ownShort, total, slots := 0, 0, 0, 0
	for _, e := range p.order {
		own += e.running
		ownShort += e.short
		total += e.running + e.elsewhere.Running
		slots += e.Slots
	}
	if own > 0 || total == 0 { // Otherwise nothing tells the kinds of the requests there.
		seen := float64(total) * float64(ownShort) / float64(max(1, own))
		p.lane.short += expressWeight * (seen - p.lane.short)
	}
	if size := laneSize(len(p.order), slots, p.lane.short); size != p.lane.size {
		p.lane.size = size
		p.assignExpress()
	}
}

// laneSize is the number of endpoints in the lane of a pool of n.
func laneSize(n, slots int, short float64) int {
	if n < expressFrom || slots == 0 {
		return 0
	}
	perEndpoint := float64(slots) / float64(n)
	size := int(math.Ceil(short / (expressFill * perEndpoint)))
	least := int(math.Ceil(expressLeast * float64(n)))
	if n >= expressPair {
		least = max(2, least)
	}
	return max(least, min(size, int(math.Round(expressMost*float64(n)))))
}

// assignExpress marks the endpoints of the express lane, the first ones in an order that
// all daemons share. A daemon that finds another size differs by the last few only.
func (p *Pool) assignExpress() {
	ranked := slices.Clone(p.order)
	slices.SortFunc(ranked, func(a, b *endpoint) int {
		return cmp.Compare(rendezvous(expressRank, a.hash), rendezvous(expressRank, b.hash))
	})
	for i, e := range ranked {
		e.express = p.prompts && i < p.lane.size
	}
}

// laneCost is the cost of an endpoint in the other lane.
func (p *Pool) laneCost(e *endpoint, long bool) float64 {
	switch {
	case !p.prompts || p.lane.size == 0:
		return 0
	case long && e.express:
		return expressPenalty
	case !long && !e.express:
		return shortPenalty
	}
	return 0
}
