package platformstandin

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/platform"
)

// revision is the state of an object as of one version; data is nil if the object was deleted.
type revision struct {
	version int64
	data    []byte
	deleted bool
}

// change is one entry of the change log that watches read.
type change struct {
	version     int64
	committedAt time.Time
	collection  string
	name        string
	hidden      bool // Not delivered by any watch.
}

// history stores every object at every version since floor, the newest version that was
// compacted away. All collections share one version counter. maxChanges bounds the change
// log, and hiddenLeft is the number of upcoming changes to hide from watches.
type history struct {
	mu         sync.RWMutex
	maxChanges int
	// era rises by one each time restore goes back to an older state.
	era        int64
	version    int64
	floor      int64
	objects    map[string]map[string][]revision
	changes    []change
	hiddenLeft int
	changed    chan struct{} // Closed and replaced at each change.
}

func newHistory(limit int) *history {
	return &history{maxChanges: limit, era: 1, objects: map[string]map[string][]revision{}, changed: make(chan struct{})}
}

func (h *history) create(o platform.Object, now time.Time) (platform.Object, platform.Reason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.current(o.Collection, o.Name); ok {
		return platform.Object{}, platform.Exists
	}
	return h.put(o, now), ""
}

func (h *history) update(o platform.Object, now time.Time) (platform.Object, platform.Reason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.current(o.Collection, o.Name); !ok || r.version != o.Version {
		return platform.Object{}, platform.Conflict
	}
	return h.put(o, now), ""
}

func (h *history) remove(collection, name string, version int64, now time.Time) platform.Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.current(collection, name); !ok || r.version != version {
		return platform.Conflict
	}
	h.append(collection, name, revision{deleted: true}, now)
	return ""
}

func (h *history) put(o platform.Object, now time.Time) platform.Object {
	o.Data = slices.Clone(o.Data)
	o.Version = h.append(o.Collection, o.Name, revision{data: o.Data}, now)
	return o
}

// append records a new revision and returns its version. The caller holds the lock.
func (h *history) append(collection, name string, r revision, now time.Time) int64 {
	h.version++
	r.version = h.version
	names := h.objects[collection]
	if names == nil {
		names = map[string][]revision{}
		h.objects[collection] = names
	}
	names[name] = append(names[name], r)
	hidden := h.hiddenLeft > 0
	if hidden {
		h.hiddenLeft--
	}
	h.changes = append(h.changes, change{version: r.version, committedAt: now, collection: collection, name: name, hidden: hidden})
	h.compact()
	close(h.changed)
	h.changed = make(chan struct{})
	return r.version
}

// compact drops the oldest changes in excess of maxChanges, and the revisions they superseded.
func (h *history) compact() {
	for len(h.changes) > h.maxChanges {
		c := h.changes[0]
		h.changes = h.changes[1:]
		h.floor = c.version
		h.prune(c.collection, c.name)
	}
}

// prune drops the revisions of an object that no read at or above the floor can return: all
// but the newest one at or below it. An object deleted by then is removed.
func (h *history) prune(collection, name string) {
	revisions := h.objects[collection][name]
	for len(revisions) > 1 && revisions[1].version <= h.floor {
		revisions = revisions[1:]
	}
	if len(revisions) == 1 && revisions[0].deleted && revisions[0].version <= h.floor {
		delete(h.objects[collection], name)
		return
	}
	h.objects[collection][name] = revisions
}

func (h *history) current(collection, name string) (revision, bool) {
	return h.asOf(collection, name, h.version)
}

// asOf returns the revision of an object as of version; false if the object did not exist then.
func (h *history) asOf(collection, name string, version int64) (revision, bool) {
	revisions := h.objects[collection][name]
	for i := len(revisions) - 1; i >= 0; i-- {
		if revisions[i].version <= version {
			return revisions[i], !revisions[i].deleted
		}
	}
	return revision{}, false
}

func (h *history) get(collection, name string, version int64) (platform.Object, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	r, ok := h.asOf(collection, name, version)
	return object(collection, name, r), ok
}

func (h *history) list(collection, prefix string, version int64) platform.List {
	h.mu.RLock()
	defer h.mu.RUnlock()
	names := lo.Filter(lo.Keys(h.objects[collection]), func(n string, _ int) bool { return strings.HasPrefix(n, prefix) })
	slices.Sort(names)
	out := platform.List{Era: h.era, Version: version}
	for _, name := range names {
		if r, ok := h.asOf(collection, name, version); ok {
			out.Items = append(out.Items, object(collection, name, r))
		}
	}
	return out
}

// staleVersion returns the version for a stale read: versionsBack versions ago or the state
// before cutoff (if set), whichever is older, but never below the floor.
func (h *history) staleVersion(versionsBack int64, cutoff time.Time) int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	version := h.version - versionsBack
	if !cutoff.IsZero() {
		i, _ := slices.BinarySearchFunc(h.changes, cutoff, func(c change, t time.Time) int { return c.committedAt.Compare(t) })
		asOf := h.floor
		if i > 0 {
			asOf = h.changes[i-1].version
		}
		version = min(version, asOf)
	}
	return max(version, h.floor)
}

// next returns the first visible change of a collection after version, or, if there is none,
// a channel that closes at the next change. lastVersion is the version up to which the
// collection has been searched. ok is false if version has been compacted away, or is not
// reached yet because the platform went back to an older state.
func (h *history) next(collection string, version int64) (e *platform.Event, lastVersion int64, wait <-chan struct{}, ok bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if version < h.floor || version > h.version {
		return nil, version, nil, false
	}
	i, _ := slices.BinarySearchFunc(h.changes, version+1, func(c change, v int64) int { return int(c.version - v) })
	for _, c := range h.changes[i:] {
		if c.collection == collection && !c.hidden {
			return h.event(c), c.version, nil, true
		}
	}
	return nil, h.version, h.changed, true
}

// event converts a change to the event that a watch delivers.
func (h *history) event(c change) *platform.Event {
	r, exists := h.asOf(c.collection, c.name, c.version)
	e := &platform.Event{Type: platform.Put, Era: h.era, Object: object(c.collection, c.name, r)}
	if !exists {
		e.Type = platform.Deleted
	}
	return e
}

// restore goes back to the state before cutoff, but not below the floor: later changes are
// lost, and their versions are assigned again. It returns the new era.
func (h *history) restore(cutoff time.Time) int64 {
	version := h.staleVersion(0, cutoff)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = version
	h.era++
	for _, names := range h.objects {
		for name, revisions := range names {
			kept := slices.IndexFunc(revisions, func(r revision) bool { return r.version > version })
			if kept == 0 {
				delete(names, name)
			} else if kept > 0 {
				names[name] = revisions[:kept:kept]
			}
		}
	}
	h.changes = slices.DeleteFunc(h.changes, func(c change) bool { return c.version > version })
	close(h.changed)
	h.changed = make(chan struct{})
	return h.era
}

func (h *history) currentEra() int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.era
}

// hideNext hides the next n changes from all watches.
func (h *history) hideNext(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hiddenLeft = n
}

func object(collection, name string, r revision) platform.Object {
	return platform.Object{Collection: collection, Name: name, Version: r.version, Data: slices.Clone(r.data)}
}
