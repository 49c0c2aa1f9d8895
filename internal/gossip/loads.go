package gossip

import (
	"cmp"
	"maps"
	"slices"

	"github.com/primrosewell/primrosewell/internal/balance"
)

// LoadEntry is the work at one endpoint as it is sent; an array takes a third of the
// bytes of a map with names.
type LoadEntry struct {
	_        struct{} `cbor:",toarray"`
	Endpoint balance.Key
	Running  int
	Reading  int
}

// entriesOf lists loads with the most work first, so that a message that is cut keeps
// what matters.
func entriesOf(loads map[balance.Key]balance.Load) []LoadEntry {
	entries := make([]LoadEntry, 0, len(loads))
	for _, key := range slices.Sorted(maps.Keys(loads)) {
		entries = append(entries, LoadEntry{Endpoint: key, Running: loads[key].Running, Reading: loads[key].Reading})
	}
	slices.SortStableFunc(entries, func(a, b LoadEntry) int {
		return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(b.Reading, a.Reading))
	})
	return entries
}

func loadsOf(entries []LoadEntry) map[balance.Key]balance.Load {
	loads := make(map[balance.Key]balance.Load, len(entries))
	for _, e := range entries {
		loads[e.Endpoint] = balance.Load{Running: e.Running, Reading: e.Reading}
	}
	return loads
}

// addLoads adds loads to sums.
func addLoads(sums, loads map[balance.Key]balance.Load) {
	for key, load := range loads {
		sum := sums[key]
		sums[key] = balance.Load{Running: sum.Running + load.Running, Reading: sum.Reading + load.Reading}
	}
}

// without takes the own part out of a sum, which may be older than that sum.
func without(sum, own balance.Load) balance.Load {
	return balance.Load{Running: max(0, sum.Running-own.Running), Reading: max(0, sum.Reading-own.Reading)}
}
