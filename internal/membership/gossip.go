package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// maxUpdates bounds the member updates in one message, except for a full sync.
	maxUpdates = 16
	// retransmitFactor times the binary logarithm of the number of members is how often a new
	// update is sent.
	retransmitFactor = 3
)

// mergeFull merges all the member updates that another member holds. They are new to this
// daemon only, so it does not forward them.
func (t *table) mergeFull(now time.Time, updates []MemberUpdate) {
	for _, u := range updates {
		before := t.peers[u.Member.ID]
		t.merge(now, u, false)
		if p := t.peers[u.Member.ID]; p != nil && p != before {
			p.transmitsLeft = 0
		}
	}
}

// pendingUpdates returns the updates with the most transmissions left, at most maxUpdates,
// and counts them as sent.
func (t *table) pendingUpdates() []MemberUpdate {
	var pending []*peer
	for _, p := range t.peers {
		if p.transmitsLeft > 0 {
			pending = append(pending, p)
		}
	}
	slices.SortFunc(pending, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(b.transmitsLeft, a.transmitsLeft), cmp.Compare(a.update.Member.ID, b.update.Member.ID))
	})
	pending = pending[:min(len(pending), maxUpdates)]
	out := make([]MemberUpdate, len(pending))
	for i, p := range pending {
		p.transmitsLeft--
		out[i] = p.update
	}
	return out
}

// suspicionOf returns the update that suspects a member, if there is one. It is sent to
// that member, so that it can refute it.
func (t *table) suspicionOf(id string) []MemberUpdate {
	if p, ok := t.peers[id]; ok && p.update.Member.State == Suspected {
		return []MemberUpdate{p.update}
	}
	return nil
}

// allUpdates returns the latest update of every peer.
func (t *table) allUpdates() []MemberUpdate {
	out := make([]MemberUpdate, 0, len(t.peers))
	for _, p := range t.peers {
		out = append(out, p.update)
	}
	return out
}

func (t *table) transmitLimit() int { return retransmitFactor * bits.Len(uint(len(t.peers)+1)) }
