package gossip

import (
	"cmp"
	"maps"
	"slices"

	"github.com/primrosewell/primrosewell/internal/balance"
)

// LoadEntry is the load at one endpoint. It is encoded as an array, which takes a third of
// the bytes of a map with names.
type LoadEntry struct {
	_             struct{} `cbor:",toarray"`
	Endpoint      balance.Key
	Running       int
	PendingTokens int
}

// entriesOf lists loads with the highest first, so that truncating a message drops the
// smallest.
func entriesOf(loads map[balance.Key]balance.Load) []LoadEntry {
	entries := make([]LoadEntry, 0, len(loads))
	for _, key := range slices.Sorted(maps.Keys(loads)) {
		entries = append(entries, LoadEntry{Endpoint: key, Running: loads[key].Running, PendingTokens: loads[key].Reading})
	}
	slices.SortStableFunc(entries, func(a, b LoadEntry) int {
		return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(b.PendingTokens, a.PendingTokens))
	})
	return entries
}

func loadsOf(entries []LoadEntry) map[balance.Key]balance.Load {
	loads := make(map[balance.Key]balance.Load, len(entries))
	for _, e := range entries {
		loads[e.Endpoint] = balance.Load{Running: e.Running, Reading: e.PendingTokens}
	}
	return loads
}

// addLoads adds loads to totals.
func addLoads(totals, loads map[balance.Key]balance.Load) {
	for key, load := range loads {
		sum := totals[key]
		totals[key] = balance.Load{Running: sum.Running + load.Running, Reading: sum.Reading + load.Reading}
	}
}

// subtract subtracts the own load from a sum, down to zero: the two may differ in age.
func subtract(sum, own balance.Load) balance.Load {
	return balance.Load{Running: max(0, sum.Running-own.Running), Reading: max(0, sum.Reading-own.Reading)}
}
