package parts

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// crash is a crash in the ledger.
type crash struct {
	endpoint EndpointKey
	at       time.Time
	chains   []Chain
}

// contains reports whether a request with part was waiting for its response at the crash.
func (c *crash) contains(part Key) bool {
	return slices.ContainsFunc(c.chains, func(chain Chain) bool { return slices.Contains(chain, part) })
}

// suspect is a part that may be the cause of crashes.
type suspect struct {
	part Key
	// crashes is the number of crashes that the part explains.
	crashes int
	// depth is the greatest number of parts before this one in a prompt.
	depth int
}

// blame returns the parts that explain the crashes, given in order of time, with the number of
// crashes of each. begunAt returns when a response to a request with a part last began; the part
// explains only later crashes. established reports whether it has served lately, and threshold returns the number of
// crashes that it must explain.
//
// A part never comes alone: the parts before it in a prompt are in its crashes as well. So the
// deepest parts are asked first, and a part further up is blamed only for crashes that they don't
// explain. Of parts as deep, one that has never served is asked before one that has.
func blame(crashes []*crash, begunAt func(Key) time.Time, established func(Key) bool, threshold func(Key) int, spacing time.Duration) []suspect {
	var blamed []suspect
	open := slices.Clone(crashes)
	for {
		culprit, found := deepestCulprit(suspects(open, begunAt, spacing), established, threshold)
		if !found {
			return blamed
		}
		blamed = append(blamed, culprit)
		open = slices.DeleteFunc(open, func(c *crash) bool { return c.contains(culprit.part) })
	}
}

func deepestCulprit(candidates []suspect, established func(Key) bool, threshold func(Key) int) (culprit suspect, found bool) {
	candidates = slices.DeleteFunc(candidates, func(s suspect) bool { return s.crashes < threshold(s.part) })
	if len(candidates) == 0 {
		return suspect{}, false
	}
	rank := func(s suspect) int { return s.depth*2 + lo.Ternary(established(s.part), 0, 1) }
	return slices.MaxFunc(candidates, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.crashes, b.crashes), cmp.Compare(a.part, b.part))
	}), true
}

// suspects returns each part with the crashes that it explains. For the first part of a prompt,
// which nearly all share, crashes within spacing of one that counts don't count.
func suspects(crashes []*crash, begunAt func(Key) time.Time, spacing time.Duration) []suspect {
	type tally struct {
		suspect
		begunAt, lastCrash time.Time
		last               *crash
	}
	tallies := map[Key]*tally{}
	for _, c := range crashes {
		for _, chain := range c.chains {
			for depth, part := range chain {
				t := tallies[part]
				if t == nil {
					t = &tally{suspect: suspect{part: part}, begunAt: begunAt(part)}
					tallies[part] = t
				}
				t.depth = max(t.depth, depth)
				together := c == t.last || (depth == 0 && c.at.Sub(t.lastCrash) < spacing)
				if !c.at.After(t.begunAt) || (t.crashes > 0 && together) {
					continue
				}
				t.crashes++
				t.lastCrash, t.last = c.at, c
			}
		}
	}
	found := make([]suspect, 0, len(tallies))
	for _, t := range tallies {
		found = append(found, t.suspect)
	}
	return found
}
