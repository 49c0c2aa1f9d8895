package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// maxFacts bounds the facts of one message, introductions apart.
	maxFacts = 16
	// spreadFactor times the logarithm of the membership is how often a new fact is sent.
	spreadFactor = 3
)

// introduce takes in everything that a member knows. It is news to this daemon
// alone, and is not passed on.
func (t *table) introduce(now time.Time, facts []MemberUpdate) {
	for _, f := range facts {
		before := t.peers[f.Member.ID]
		t.merge(now, f, false)
		if p := t.peers[f.Member.ID]; p != nil && p != before {
			p.sendsLeft = 0
		}
	}
}

// news returns the facts that have been passed on least, and counts them as sent.
func (t *table) news() []MemberUpdate {
	var fresh []*peer
	for _, p := range t.peers {
		if p.sendsLeft > 0 {
			fresh = append(fresh, p)
		}
	}
	slices.SortFunc(fresh, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.fact.Member.ID, b.fact.Member.ID))
	})
	fresh = fresh[:min(len(fresh), maxFacts)]
	out := make([]MemberUpdate, len(fresh))
	for i, p := range fresh {
		p.sendsLeft--
		out[i] = p.fact
	}
	return out
}

// suspicion returns the suspicion of a member, if there is one. The member is told,
// so that it can contradict.
func (t *table) suspicion(id string) []MemberUpdate {
	if p, ok := t.peers[id]; ok && p.fact.Member.State == Suspected {
		return []MemberUpdate{p.fact}
	}
	return nil
}

// all returns every fact.
func (t *table) all() []MemberUpdate {
	out := make([]MemberUpdate, 0, len(t.peers))
	for _, p := range t.peers {
		out = append(out, p.fact)
	}
	return out
}

func (t *table) sends() int { return spreadFactor * bits.Len(uint(len(t.peers)+1)) }
