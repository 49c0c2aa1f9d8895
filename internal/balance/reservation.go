package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Load pattern: bursts of prompts beside streams that tolerate only short pauses. An engine
// prefills prompts in chunks between the decoding steps of its running requests, so each chunk
// delays every stream on the same engine, and a backlog of several prompts pauses them all. A
// share of the endpoints is therefore reserved for interactive requests: short prompts whose
// streams have the tightest limit on pauses. Others, even short ones, use reserved endpoints
// only when the rest have a much longer backlog.

const (
	// maxInteractivePrompt is the largest prompt of an interactive request, in tokens: an engine
	// prefills it in about one chunk.
	maxInteractivePrompt = 4096
	// minReservedShare and maxReservedShare bound the reserved share of a pool's endpoints.
	minReservedShare = 0.08
	maxReservedShare = 0.25
	// minPoolSize is the smallest pool with reserved endpoints; from minPairPoolSize on, at
	// least two are reserved.
	minPoolSize     = 4
	minPairPoolSize = 8
	// targetUtilization is the share of the reserved endpoints' slots that interactive requests
	// should occupy.
	targetUtilization = 0.7
	// resizeInterval is the time between adjustments of the number of reserved endpoints, and
	// interactiveWeight the weight of a new count in the moving average of running interactive
	// requests. Both limit how often the number changes, as each change moves some prompt parts
	// to other affinity endpoints.
	resizeInterval    = time.Second
	interactiveWeight = 0.3
	// bulkOnReservedPenalty is the cost of a request that is not interactive at a reserved
	// endpoint, in prompt tokens.
	bulkOnReservedPenalty = 60000
	// interactiveOnGeneralPenalty is the cost of an interactive request at an endpoint that is
	// not reserved, in prompt tokens. It applies at an idle endpoint too: a stream next to long
	// prompts stalls later even if its first token was not delayed.
	interactiveOnGeneralPenalty = 15000
	// reservationSeed takes the place of a prompt part's hash when endpoints are ranked for
	// reservation, so that all daemons reserve the same ones.
	reservationSeed = 1
)

// interactive reports whether the request belongs on a reserved endpoint.
func (r Request) interactive() bool {
	return r.PromptTokens <= maxInteractivePrompt && !r.TolerantOfPauses
}

// reservation is how many endpoints are reserved for interactive requests. running is a moving
// average of the interactive requests in progress from all daemons, estimated by this daemon.
type reservation struct {
	running   float64
	resizedAt time.Time
	size      int
}

// resizeReservation adapts the number of reserved endpoints to the slots that interactive
// requests occupy.
func (p *Pool) resizeReservation(now time.Time) {
	if !p.hasPrompts || now.Sub(p.reservation.resizedAt) < resizeInterval {
		return
	}
	p.reservation.resizedAt = now
	own, ownInteractive, total, slots := 0, 0, 0, 0
	for _, e := range p.order {
		own += e.running
		ownInteractive += e.runningInteractive
		total += e.running + e.remote.Running
		slots += e.Slots
	}
	if own > 0 || total == 0 { // Otherwise only other daemons have requests there, whose kinds are unknown.
		estimated := float64(total) * float64(ownInteractive) / float64(max(1, own))
		p.reservation.running += interactiveWeight * (estimated - p.reservation.running)
	}
	if size := reservedCount(len(p.order), slots, p.reservation.running); size != p.reservation.size {
		p.reservation.size = size
		p.assignReserved()
	}
}

// reservedCount returns the number of endpoints to reserve in a pool of n with that many slots
// in all.
func reservedCount(n, slots int, running float64) int {
	if n < minPoolSize || slots == 0 {
		return 0
	}
	perEndpoint := float64(slots) / float64(n)
	size := int(math.Ceil(running / (targetUtilization * perEndpoint)))
	minSize := int(math.Ceil(minReservedShare * float64(n)))
	if n >= minPairPoolSize {
		minSize = max(2, minSize)
	}
	return max(minSize, min(size, int(math.Round(maxReservedShare*float64(n)))))
}

// resetReservation recomputes the reservation for a changed set of endpoints.
func (p *Pool) resetReservation() {
	p.reservation.size = reservedCount(len(p.order), p.slots(), p.reservation.running)
	p.assignReserved()
}

// assignReserved marks the reserved endpoints, which are the first ones in a ranking that all
// daemons share. Daemons that disagree on the number thus differ only in the last few.
func (p *Pool) assignReserved() {
	ranked := slices.Clone(p.order)
	slices.SortFunc(ranked, func(a, b *endpoint) int {
		return cmp.Compare(rendezvous(reservationSeed, a.hash), rendezvous(reservationSeed, b.hash))
	})
	for i, e := range ranked {
		e.reserved = p.hasPrompts && i < p.reservation.size
	}
}

// reservationPenalty returns the extra cost of an interactive request at a general endpoint,
// or of another one at a reserved endpoint.
func (p *Pool) reservationPenalty(e *endpoint, interactive bool) float64 {
	switch {
	case !p.hasPrompts || p.reservation.size == 0:
		return 0
	case !interactive && e.reserved:
		return bulkOnReservedPenalty
	case interactive && !e.reserved:
		return interactiveOnGeneralPenalty
	}
	return 0
}
