package claim

import (
	"slices"

	"github.com/samber/lo"
)

// fence bars the claims that a daemon forwarded and has since decided itself. One that is
// still in transit would otherwise be granted to a request that nobody dispatches or
// releases, and would hold its key for the retention.
type fence struct {
	Incarnation string `json:"i"`
	// Nonce is the highest one that is barred.
	Nonce uint64 `json:"n"`
	// Epoch is the shard's epoch in which the fence was appended.
	Epoch int64 `json:"e"`
}

// bars reports whether the head bars a forwarded claim.
func (h *head) bars(c Claim) bool {
	return lo.SomeBy(h.Fences, func(f fence) bool { return f.Incarnation == c.Incarnation && c.Nonce <= f.Nonce })
}

// withFence returns the fences with that of an incarnation raised to nonce.
func withFence(fences []fence, incarnation string, nonce uint64, epoch int64) []fence {
	i := slices.IndexFunc(fences, func(f fence) bool { return f.Incarnation == incarnation })
	if i >= 0 && fences[i].Nonce >= nonce {
		return fences
	}
	others := lo.Reject(fences, func(f fence, _ int) bool { return f.Incarnation == incarnation })
	return append(others, fence{Incarnation: incarnation, Nonce: nonce, Epoch: epoch})
}

// raiseFence makes the next append bar these forwarded claims. Nonces rise in the order of
// the queue, so claims forwarded later are not barred.
func (s *shard) raiseFence(claims []*pending) {
	for _, p := range claims {
		s.fenceNonce = max(s.fenceNonce, p.request.claim.Nonce)
	}
}

// dropBarred drops the forwarded claims that the head bars. Their origin decides them.
func (s *shard) dropBarred(batch []*pending) []*pending {
	barred, kept := lo.FilterReject(batch, func(p *pending, _ int) bool { return p.forwarded && s.head.bars(p.request.claim) })
	for _, p := range barred {
		p.refuse()
	}
	return kept
}
