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
	Endpoint      balance.EndpointKey
	Running       int
	PendingTokens int
}

const (
	// maxRunning and maxPendingTokens bound the load that one daemon reports of one endpoint: sums of
	// many don't overflow.
	maxRunning, maxPendingTokens = 1 << 20, 1 << 40
)

// load returns the entry's load within its bounds.
func (e LoadEntry) load() balance.Load {
	return balance.Load{Running: min(max(0, e.Running), maxRunning), PendingTokens: min(max(0, e.PendingTokens), maxPendingTokens)}
}

// entriesOf lists loads with the highest first, so that truncating a message drops the
// smallest.
func entriesOf(loads map[balance.EndpointKey]balance.Load) []LoadEntry {
	entries := make([]LoadEntry, 0, len(loads))
	for _, key := range slices.Sorted(maps.Keys(loads)) {
		entries = append(entries, LoadEntry{Endpoint: key, Running: loads[key].Running, PendingTokens: loads[key].PendingTokens})
	}
	slices.SortStableFunc(entries, func(a, b LoadEntry) int {
		return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(b.PendingTokens, a.PendingTokens))
	})
	return entries
}

func loadsOf(entries []LoadEntry) map[balance.EndpointKey]balance.Load {
	loads := make(map[balance.EndpointKey]balance.Load, len(entries))
	for _, e := range entries {
		loads[e.Endpoint] = e.load()
	}
	return loads
}

// addLoads adds loads to totals.
func addLoads(totals, loads map[balance.EndpointKey]balance.Load) {
	for key, load := range loads {
		sum := totals[key]
		totals[key] = balance.Load{Running: sum.Running + load.Running, PendingTokens: sum.PendingTokens + load.PendingTokens}
	}
}

// subtract subtracts the own load from a sum, down to zero: the two may differ in age.
func subtract(sum, own balance.Load) balance.Load {
	return balance.Load{Running: max(0, sum.Running-own.Running), PendingTokens: max(0, sum.PendingTokens-own.PendingTokens)}
}
