package directory

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// Load pattern: hundreds of daemons take their endpoint list from the few that watch the
// platform, and thousands of endpoints change one by one. A daemon is therefore sent only
// the changes since the list version that it has.

// maxRemovedKept bounds the removed endpoints that are remembered; a daemon that is further
// behind is sent the full list.
const maxRemovedKept = 2048

// Delta brings another daemon's endpoint list up to date. Daemons exchange it as JSON.
type Delta struct {
	// Full means that Endpoints is the full list. Otherwise Endpoints are those that were
	// added or changed since the receiver's list version, and Removed the IDs of those
	// that were removed.
	Full      bool                  `json:"whole,omitempty"`
	Endpoints []routetable.Endpoint `json:"endpoints,omitempty"`
	Removed   []string              `json:"gone,omitempty"`
	// Missing are the IDs of all endpoints that the platform no longer lists and that may
	// still return after an outage.
	Missing []string `json:"lapsed,omitempty"`
	// Digest is the digest of the sender's full list without the endpoints in Missing.
	Digest uint64 `json:"digest"`
}

// changeLog records the number of the list version in which each endpoint last changed. The
// daemon assigns list versions; a change belongs to the next version that is assigned.
type changeLog struct {
	// digest is the XOR of the hashes of all endpoints.
	digest uint64
	// pending are the IDs of endpoints whose change has no version yet.
	pending map[string]struct{}
	numbers map[string]int64
	// completeSince is the list version after which every change is recorded. All numbers are
	// of its era.
	completeSince Version
}

func newChangeLog() changeLog {
	return changeLog{pending: make(map[string]struct{}), numbers: make(map[string]int64)}
}

func (c *changeLog) note(id string) { c.pending[id] = struct{}{} }

// hashEndpoint hashes all fields of an endpoint.
func hashEndpoint(e routetable.Endpoint) uint64 {
	encoded := make([]byte, 0, 160)
	for _, text := range []string{e.ID, e.Service, e.Address, e.DataCentre} {
		encoded = append(append(encoded, text...), 0)
	}
	for _, number := range []int64{int64(e.Slots), int64(e.WarmUp), e.StartedAt} {
		encoded = binary.LittleEndian.AppendUint64(encoded, uint64(number))
	}
	encoded = append(encoded, lo.Ternary[byte](e.Draining, 1, 0))
	encoded = append(encoded, e.Version...) // At the end: without a version it is the hash of older daemons.
	if e.Reclaimable || e.LeavesIn != 0 {   // Without these fields, too.
		encoded = append(encoded, 0, lo.Ternary[byte](e.Reclaimable, 1, 0))
		encoded = binary.LittleEndian.AppendUint64(encoded, uint64(e.LeavesIn))
	}
	return xxhash.Sum64(encoded)
}

// AssignVersion assigns the list version to all changes since the last call. It reports
// whether there were any, or the version is the first one of a later era.
func (d *Directory) AssignVersion(version Version) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := &d.changes
	changed := len(c.pending) > 0
	if c.completeSince.Number == 0 || !version.SameEra(c.completeSince) {
		// There are no changes to report from before the first list of an era.
		changed = changed || c.completeSince.Number > 0
		c.completeSince = version
		clear(c.numbers)
	}
	if c.completeSince.Era == 0 {
		c.completeSince.Era = version.Era // The first list came from a daemon that sends no era.
	}
	for id := range c.pending {
		c.numbers[id] = version.Number
	}
	clear(c.pending)
	d.forgetRemoved()
	return changed
}

// forgetRemoved drops the older half of the remembered removals when there are too many;
// d.mu is held.
func (d *Directory) forgetRemoved() {
	c := &d.changes
	if len(c.numbers) <= len(d.entries)+maxRemovedKept {
		return
	}
	removed := make([]string, 0, len(c.numbers))
	for id := range c.numbers {
		if d.entries[id] == nil {
			removed = append(removed, id)
		}
	}
	slices.SortFunc(removed, func(a, b string) int { return int(c.numbers[a] - c.numbers[b]) })
	for _, id := range removed[:len(removed)/2] {
		c.completeSince.Number = max(c.completeSince.Number, c.numbers[id])
		delete(c.numbers, id)
	}
}

// DeltaSince returns the changes after the given list version, or the full list if not
// all of them are recorded. Changes that have no version yet are included.
func (d *Directory) DeltaSince(version Version) Delta {
	d.mu.Lock()
	defer d.mu.Unlock()
	from := d.changes.completeSince
	delta := Delta{Full: version.Number == 0 || !version.SameEra(from) || version.Number < from.Number, Digest: d.changes.digest}
	for id, e := range d.entries {
		if !e.missingSince.IsZero() {
			delta.Missing = append(delta.Missing, id)
			delta.Digest ^= hashEndpoint(e.endpoint)
		}
	}
	slices.Sort(delta.Missing)
	if delta.Full {
		for _, id := range slices.Sorted(maps.Keys(d.entries)) {
			delta.Endpoints = append(delta.Endpoints, d.entries[id].endpoint)
		}
		return delta
	}
	for _, id := range d.changedSince(version.Number) {
		if e := d.entries[id]; e != nil {
			delta.Endpoints = append(delta.Endpoints, e.endpoint)
		} else {
			delta.Removed = append(delta.Removed, id)
		}
	}
	return delta
}

// changedSince returns the sorted IDs of endpoints that changed after the version of that
// number; d.mu is held.
func (d *Directory) changedSince(number int64) []string {
	ids := slices.Collect(maps.Keys(d.changes.pending))
	for id, changedAt := range d.changes.numbers {
		if _, pending := d.changes.pending[id]; changedAt > number && !pending {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Apply applies a peer's delta. The peer has already waited for missing endpoints to
// return, so an endpoint that it does not list is removed at once. Endpoints that the
// peer still waits for stay in use if they are known here; unknown ones are not added,
// since they may have been removed since, except to an empty directory. Apply reports
// whether the list now matches the peer's; if not, the full list must be fetched.
func (d *Directory) Apply(delta Delta) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	missing := make(map[string]bool, len(delta.Missing))
	for _, id := range delta.Missing {
		missing[id] = true
	}
	wasEmpty := len(d.entries) == 0
	listed := make(map[string]bool, len(delta.Endpoints))
	for _, endpoint := range delta.Endpoints {
		listed[endpoint.ID] = true
		if !missing[endpoint.ID] || wasEmpty {
			d.put(endpoint)
		}
	}
	removed := delta.Removed
	if delta.Full {
		removed = slices.DeleteFunc(slices.Collect(maps.Keys(d.entries)), func(id string) bool { return listed[id] })
	}
	for _, id := range removed {
		if d.entries[id] != nil {
			d.set(id, nil)
		}
	}
	digest := d.changes.digest
	for id, e := range d.entries {
		if missing[id] {
			digest ^= hashEndpoint(e.endpoint)
		}
		if !missing[id] && !e.missingSince.IsZero() {
			return false // The peer either lists it or has removed it; this delta did not say which.
		}
	}
	return digest == delta.Digest
}

// Missing returns the IDs of the endpoints that are missing and may still return.
func (d *Directory) Missing() []string {
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
