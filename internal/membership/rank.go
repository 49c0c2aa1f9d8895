package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders the live members by rendezvous hash for a pool. The first is the
// pool's broker, the next ones take over in turn. Every daemon with the same view
// gets the same order, and a member that goes changes no order among the others.
func Rank(pool string, members []Member) []Member {
	ranked := make([]scored, 0, len(members))
	for _, m := range members {
		if m.State == Live {
			ranked = append(ranked, scored{member: m, score: score(pool, m.ID)})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})
	out := make([]Member, len(ranked))
	for i, r := range ranked {
		out[i] = r.member
	}
	return out
}

// First returns the member that Rank puts first.
func TopRanked(pool string, members []Member) (Member, bool) {
	var best scored
	found := false
	for _, m := range members {
		if m.State != Live {
			continue
		}
		s := score(pool, m.ID)
		if !found || s > best.score || (s == best.score && m.ID < best.member.ID) {
			best, found = scored{member: m, score: s}, true
		}
	}
	return best.member, found
}

type scored struct {
	member Member
	score  uint64
}

// score hashes without allocating, since brokers rank often.
func score(pool, id string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(pool) // Never fails.
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(id)
	return h.Sum64()
}
