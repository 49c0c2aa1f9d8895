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
	Endpoint balance.EndpointKey
	Running  int
	Reading  int
}

// entriesOf lists loads with the most work first, so that a message that is cut keeps
// what matters.
func entriesOf(loads map[balance.EndpointKey]balance.Load) []LoadEntry {
	entries := make([]LoadEntry, 0, len(loads))
	for _, key := range slices.Sorted(maps.Keys(loads)) {
		entries = append(entries, LoadEntry{Endpoint: key, Running: loads[key].Running, Reading: loads[key].PendingTokens})
	}
	slices.SortStableFunc(entries, func(a, b LoadEntry) int {
		return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(b.Reading, a.Reading))
	})
	return entries
}

func loadsOf(entries []LoadEntry) map[balance.EndpointKey]balance.Load {
	loads := make(map[balance.EndpointKey]balance.Load, len(entries))
	for _, e := range entries {
		loads[e.Endpoint] = balance.Load{Running: e.Running, PendingTokens: e.Reading}
	}
	return loads
}

// addLoads adds loads to sums.
func addLoads(sums, loads map[balance.EndpointKey]balance.Load) {
	for key, load := range loads {
		sum := sums[key]
		sums[key] = balance.Load{Running: sum.Running + load.Running, PendingTokens: sum.PendingTokens + load.PendingTokens}
	}
}

// without takes the own part out of a sum, which may be older than that sum.
func without(sum, own balance.Load) balance.Load {
	return balance.Load{Running: max(0, sum.Running-own.Running), PendingTokens: max(0, sum.PendingTokens-own.PendingTokens)}
}
