package directory

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// Load pattern: hundreds of daemons take their list from a few that follow the store, and
// thousands of endpoints change one by one. A daemon is told what changed since the list
// that it has.

// goneKept bounds the removed rows that are remembered; a daemon that is further behind
// is told the whole list.
const goneKept = 2048

// News is what one daemon tells another of its list.
type Delta struct {
	// Whole means that Endpoints is the whole list; else they are the rows that changed
	// since the list that the other daemon has, and Gone those that were removed.
	Full      bool                  `json:"whole,omitempty"`
	Endpoints []routetable.Endpoint `json:"endpoints,omitempty"`
	Removed   []string              `json:"gone,omitempty"`
	// Lapsed are the ids of all rows that the store does not list any more and that may
	// still return after an outage.
	Lapsed []string `json:"lapsed,omitempty"`
	// Digest is the digest of the sender's whole list, the rows in Lapsed left out.
	Digest uint64 `json:"digest"`
}

// changes remembers with which list each row last changed. Lists are numbered by their
// daemon; a change belongs to the next number that is sealed.
type changes struct {
	// digest is the xor of the hashes of all rows.
	digest  uint64
	pending map[string]struct{}
	sealed  map[string]int64
	// floor is the number after which every change is remembered.
	floor int64
}

func newChanges() changes {
	return changes{pending: make(map[string]struct{}), sealed: make(map[string]int64)}
}

func (c *changes) note(id string) { c.pending[id] = struct{}{} }

// hashOf is the hash of a row with all its fields.
func hashOf(e routetable.Endpoint) uint64 {
	row := make([]byte, 0, 160)
	for _, text := range []string{e.ID, e.Service, e.Address, e.DataCentre} {
		row = append(append(row, text...), 0)
	}
	for _, number := range []int64{int64(e.Slots), int64(e.WarmUp), e.StartedAt} {
		row = binary.LittleEndian.AppendUint64(row, uint64(number))
	}
	return xxhash.Sum64(append(row, lo.Ternary[byte](e.Draining, 1, 0)))
}

// Seal numbers what changed since the last call. It reports whether anything did.
func (d *Directory) AssignVersion(number int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := &d.changes
	if c.floor == 0 {
		c.floor = number // Before the first list nothing was known.
	}
	changed := len(c.pending) > 0
	for id := range c.pending {
		c.sealed[id] = number
	}
	clear(c.pending)
	d.forgetGone()
	return changed
}

// forgetGone drops the oldest removed rows when there are too many; d.mu is held.
func (d *Directory) forgetGone() {
	c := &d.changes
	if len(c.sealed) <= len(d.entries)+goneKept {
		return
	}
	gone := make([]string, 0, len(c.sealed))
	for id := range c.sealed {
		if d.entries[id] == nil {
			gone = append(gone, id)
		}
	}
	slices.SortFunc(gone, func(a, b string) int { return int(c.sealed[a] - c.sealed[b]) })
	for _, id := range gone[:len(gone)/2] {
		c.floor = max(c.floor, c.sealed[id])
		delete(c.sealed, id)
	}
}

// NewsSince returns what changed after the list of that number, or the whole list if
// not all of it is remembered. Changes that have no number yet are among it.
func (d *Directory) DeltaSince(number int64) Delta {
	d.mu.Lock()
	defer d.mu.Unlock()
	news := Delta{Full: number < d.changes.floor || number == 0, Digest: d.changes.digest}
	for id, e := range d.entries {
		if !e.missingSince.IsZero() {
			news.Lapsed = append(news.Lapsed, id)
			news.Digest ^= hashOf(e.endpoint)
		}
	}
	slices.Sort(news.Lapsed)
	if news.Full {
		for _, id := range slices.Sorted(maps.Keys(d.entries)) {
			news.Endpoints = append(news.Endpoints, d.entries[id].endpoint)
		}
		return news
	}
	for _, id := range d.changedSince(number) {
		if e := d.entries[id]; e != nil {
			news.Endpoints = append(news.Endpoints, e.endpoint)
		} else {
			news.Removed = append(news.Removed, id)
		}
	}
	return news
}

// changedSince returns the sorted ids of rows that changed after number; d.mu is held.
func (d *Directory) changedSince(number int64) []string {
	ids := slices.Collect(maps.Keys(d.changes.pending))
	for id, sealed := range d.changes.sealed {
		if _, pending := d.changes.pending[id]; sealed > number && !pending {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Adopt takes a peer's news. The peer has waited for entries to return already: what it
// does not list is gone. Those that it only waits for stay in use where they are known;
// where they are not, they may have been removed since. It reports whether the list is
// now the peer's; if not, the whole list must be asked for.
func (d *Directory) Apply(news Delta) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	waitedFor := make(map[string]bool, len(news.Lapsed))
	for _, id := range news.Lapsed {
		waitedFor[id] = true
	}
	first := len(d.entries) == 0
	listed := make(map[string]bool, len(news.Endpoints))
	for _, row := range news.Endpoints {
		listed[row.ID] = true
		if !waitedFor[row.ID] || first {
			d.put(row)
		}
	}
	gone := news.Removed
	if news.Full {
		gone = slices.DeleteFunc(slices.Collect(maps.Keys(d.entries)), func(id string) bool { return listed[id] })
	}
	for _, id := range gone {
		if d.entries[id] != nil {
			d.set(id, nil)
		}
	}
	digest := d.changes.digest
	for id, e := range d.entries {
		if waitedFor[id] {
			digest ^= hashOf(e.endpoint)
		}
		if !waitedFor[id] && !e.missingSince.IsZero() {
			return false // The peer has it for certain, or not at all.
		}
	}
	return digest == news.Digest
}

// Lapsed returns the ids of the entries that are missing and may still return.
func (d *Directory) Lapsed() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id, e := range d.entries {
		if !e.missingSince.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}
