package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Load pattern: bursts of long prompts. An engine prefills prompts in chunks between the
// decoding steps of its running requests, so each chunk of a long prompt delays every stream
// on the same engine. A share of the endpoints is therefore reserved for short prompts, whose
// streams have the tightest latency targets. Long prompts use reserved endpoints only when the
// others have a much longer backlog.

const (
	// maxShortPrompt is the largest prompt that counts as short, in tokens: one prefill chunk of
	// an engine.
	maxShortPrompt = 4096
	// minReservedShare and maxReservedShare bound the reserved share of a pool's endpoints.
	minReservedShare = 0.08
	maxReservedShare = 0.25
	// minPoolSize is the smallest pool with reserved endpoints; from minPairPoolSize on, at
	// least two are reserved.
	minPoolSize     = 4
	minPairPoolSize = 8
	// targetUtilization is the share of the reserved endpoints' slots that short prompts
	// should occupy.
	targetUtilization = 0.7
	// resizeInterval is the time between adjustments of the number of reserved endpoints, and
	// shortWeight the weight of a new count in the moving average of running short prompts.
	// Both limit how often the number changes, as each change moves some prompt parts to other
	// affinity endpoints.
	resizeInterval = time.Second
	shortWeight    = 0.3
	// longOnReservedPenalty is the cost of a long prompt at a reserved endpoint, in prompt
	// tokens.
	longOnReservedPenalty = 60000
	// shortOnGeneralPenalty is the cost of a short prompt at an endpoint that is not reserved,
	// in prompt tokens. It applies at an idle endpoint too: a stream next to long prompts
	// stalls later even if its first token was not delayed.
	shortOnGeneralPenalty = 15000
	// reservationSeed takes the place of a prompt part's hash when endpoints are ranked for
	// reservation, so that all daemons reserve the same ones.
	reservationSeed = 1
)

// reservation is how many endpoints are reserved for short prompts. runningShort is a moving
// average of the short prompts in progress from all daemons, estimated by this daemon.
type reservation struct {
	runningShort float64
	resizedAt    time.Time
	size         int
}

// resizeReservation adapts the number of reserved endpoints to the slots that short prompts
// occupy.
func (p *Pool) resizeReservation(now time.Time) {
	if !p.hasPrompts || now.Sub(p.reservation.resizedAt) < resizeInterval {
		return
	}
	p.reservation.resizedAt = now
	own, ownShort, total, slots := 0, 0, 0, 0
	for _, e := range p.order {
		own += e.running
		ownShort += e.runningShort
		total += e.running + e.remote.Running
		slots += e.Slots
	}
	if own > 0 || total == 0 { // Otherwise only other daemons have requests there, whose prompt sizes are unknown.
		estimated := float64(total) * float64(ownShort) / float64(max(1, own))
		p.reservation.runningShort += shortWeight * (estimated - p.reservation.runningShort)
	}
	if size := reservedCount(len(p.order), slots, p.reservation.runningShort); size != p.reservation.size {
		p.reservation.size = size
		p.assignReserved()
	}
}

// reservedCount returns the number of endpoints to reserve in a pool of n with that many slots
// in all.
func reservedCount(n, slots int, runningShort float64) int {
	if n < minPoolSize || slots == 0 {
		return 0
	}
	perEndpoint := float64(slots) / float64(n)
	size := int(math.Ceil(runningShort / (targetUtilization * perEndpoint)))
	minSize := int(math.Ceil(minReservedShare * float64(n)))
	if n >= minPairPoolSize {
		minSize = max(2, minSize)
	}
	return max(minSize, min(size, int(math.Round(maxReservedShare*float64(n)))))
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

// reservationPenalty returns the extra cost of a short prompt at a general endpoint, or of a
// long one at a reserved endpoint.
func (p *Pool) reservationPenalty(e *endpoint, longPrompt bool) float64 {
	switch {
	case !p.hasPrompts || p.reservation.size == 0:
		return 0
	case longPrompt && e.reserved:
		return longOnReservedPenalty
	case !longPrompt && !e.reserved:
		return shortOnGeneralPenalty
	}
	return 0
}
