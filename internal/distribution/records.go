package distribution

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

// maxTombstones bounds the tombstones kept for peers.
const maxTombstones = 10_000

// Delta is the full configuration, or what changed after a revision.
type Delta struct {
	Revision int64
	// Full is true if Records holds the complete configuration.
	Full    bool
	Records []catalog.Record
	// Deleted holds the tombstones of removed records.
	Deleted []Tombstone
}

// Tombstone marks the deletion of a record at a version.
type Tombstone struct {
	Kind    catalog.Kind
	Name    string
	Version int64
}

func (t Tombstone) key() string { return catalog.Record{Kind: t.Kind, Name: t.Name}.Key() }

// records is this daemon's copy of the configuration. The version of each object never
// decreases, in whatever order changes arrive, so no change is reverted. It is not safe
// for concurrent use.
type records struct {
	revision int64
	// platformVersion is the highest platform version received so far.
	platformVersion int64
	live            map[string]catalog.Record
	deleted         map[string]Tombstone
	digest          uint64
}

func newRecords() *records {
	return &records{live: map[string]catalog.Record{}, deleted: map[string]Tombstone{}}
}

// lastVersion returns the version at which a key was last written or deleted; zero if unknown.
func (r *records) lastVersion(key string) int64 {
	return max(r.live[key].Version, r.deleted[key].Version)
}

// put stores a record unless a version at least as high is known.
func (r *records) put(record catalog.Record) (changed bool) {
	key := record.Key()
	if record.Version <= r.lastVersion(key) {
		return false
	}
	r.digest ^= digestOf(r.live[key]) ^ digestOf(record)
	r.live[key] = record
	delete(r.deleted, key)
	r.advanceRevision(record.Version)
	return true
}

// remove applies a deletion unless a version at least as high is known.
func (r *records) remove(t Tombstone) (changed bool) {
	key := t.key()
	if t.Version <= r.lastVersion(key) {
		return false
	}
	r.digest ^= digestOf(r.live[key])
	delete(r.live, key)
	r.deleted[key] = t
	r.advanceRevision(t.Version)
	r.prune()
	return true
}

func (r *records) advanceRevision(version int64) {
	r.revision = max(r.revision, version)
	r.platformVersion = max(r.platformVersion, version)
}

// prune drops the older half of the tombstones when there are more than maxTombstones.
func (r *records) prune() {
	if len(r.deleted) <= maxTombstones {
		return
	}
	byAge := lo.Values(r.deleted)
	slices.SortFunc(byAge, func(a, b Tombstone) int { return cmp.Compare(a.Version, b.Version) })
	for _, t := range byAge[:len(byAge)/2] {
		delete(r.deleted, t.key())
	}
}

// applyList applies a full list of the collection at a version, and removes the records
// that it lacks. A list older than platformVersion is stale and changes nothing.
func (r *records) applyList(version int64, listed []catalog.Record) (changed, stale bool) {
	if version < r.platformVersion {
		return false, true
	}
	present := make(map[string]bool, len(listed))
	for _, record := range listed {
		present[record.Key()] = true
		changed = r.put(record) || changed
	}
	for key, record := range r.live {
		if !present[key] {
			changed = r.remove(Tombstone{Kind: record.Kind, Name: record.Name, Version: version}) || changed
		}
	}
	r.platformVersion = max(r.platformVersion, version)
	return changed, false
}

// merge applies a peer's delta. Records that the delta lacks are kept: only a list of the
// platform or a tombstone removes a record.
func (r *records) merge(d Delta) (changed bool) {
	for _, record := range d.Records {
		changed = r.put(record) || changed
	}
	for _, t := range d.Deleted {
		changed = r.remove(t) || changed
	}
	r.advanceRevision(d.Revision)
	return changed
}

// deltaSince returns what changed after a revision, or everything if it is zero.
func (r *records) deltaSince(revision int64) Delta {
	return Delta{
		Revision: r.revision,
		Full:     revision == 0,
		Records: lo.Filter(lo.Values(r.live), func(x catalog.Record, _ int) bool {
			return x.Version > revision
		}),
		Deleted: lo.Filter(lo.Values(r.deleted), func(t Tombstone, _ int) bool {
			return t.Version > revision
		}),
	}
}

func (r *records) snapshot() (s *catalog.Snapshot, skipped []string) {
	return catalog.NewSnapshot(r.revision, lo.Values(r.live))
}

// digestOf hashes the key and version of a record. It returns zero for an absent record,
// so that callers can XOR it into the digest without a special case.
func digestOf(record catalog.Record) uint64 {
	if record.Version == 0 {
		return 0
	}
	return xxhash.Sum64String(record.Key() + "@" + strconv.FormatInt(record.Version, 10))
}
