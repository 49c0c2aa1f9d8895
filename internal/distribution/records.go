package distribution

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

// maxTombstones bounds the deletions that are remembered for peers.
const maxTombstones = 10_000

// Delta is the configuration, or what changed of it after a revision.
type Delta struct {
	Revision int64
	// Full is true if Records hold the whole configuration.
	Full    bool
	Records []catalog.Record
	// Deleted names the records that were removed.
	Deleted []Tombstone
}

// Tombstone is the deletion of a record at a version.
type Tombstone struct {
	Kind    catalog.Kind
	Name    string
	Version int64
}

func (t Tombstone) key() string { return catalog.Record{Kind: t.Kind, Name: t.Name}.Key() }

// records is the configuration as this daemon knows it. Each object's version only
// grows, whatever order news comes in, so that nothing reverts. It is not safe for
// concurrent use.
type records struct {
	revision int64
	// seen is the highest version that the platform was seen at.
	seen    int64
	live    map[string]catalog.Record
	deleted map[string]Tombstone
	digest  uint64
}

func newRecords() *records {
	return &records{live: map[string]catalog.Record{}, deleted: map[string]Tombstone{}}
}

// known returns the version at which a key was last changed.
func (r *records) known(key string) int64 {
	return max(r.live[key].Version, r.deleted[key].Version)
}

// put takes in a record unless a newer version is known.
func (r *records) put(record catalog.Record) (changed bool) {
	key := record.Key()
	if record.Version <= r.known(key) {
		return false
	}
	r.digest ^= digestOf(r.live[key]) ^ digestOf(record)
	r.live[key] = record
	delete(r.deleted, key)
	r.advance(record.Version)
	return true
}

// remove takes in a deletion unless a newer version is known.
func (r *records) remove(t Tombstone) (changed bool) {
	key := t.key()
	if t.Version <= r.known(key) {
		return false
	}
	r.digest ^= digestOf(r.live[key])
	delete(r.live, key)
	r.deleted[key] = t
	r.advance(t.Version)
	r.prune()
	return true
}

func (r *records) advance(version int64) {
	r.revision = max(r.revision, version)
	r.seen = max(r.seen, version)
}

// prune drops the oldest half of the tombstones when there are too many.
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

// replace takes in a reading of the whole collection as of a version. A reading
// that is older than what was seen is stale, and changes nothing.
func (r *records) replace(version int64, listed []catalog.Record) (changed, stale bool) {
	if version < r.seen {
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
	r.seen = max(r.seen, version)
	return changed, false
}

// merge takes in what a peer knows. What the peer does not mention is kept: only
// the platform, or a tombstone, says that a record is gone.
func (r *records) merge(d Delta) (changed bool) {
	for _, record := range d.Records {
		changed = r.put(record) || changed
	}
	for _, t := range d.Deleted {
		changed = r.remove(t) || changed
	}
	r.advance(d.Revision)
	return changed
}

// since returns what changed after a revision; zero gives everything.
func (r *records) since(revision int64) Delta {
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

// digestOf is zero for the absent record, so that sums need no special case.
func digestOf(record catalog.Record) uint64 {
	if record.Version == 0 {
		return 0
	}
	return xxhash.Sum64String(record.Key() + "@" + strconv.FormatInt(record.Version, 10))
}
