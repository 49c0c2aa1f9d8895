package platformstandin

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/platform"
)

// revision is one state of an object; data is nil after a delete.
type revision struct {
	version int64
	data    []byte
	deleted bool
}

// change is one entry of the bounded event log.
type change struct {
	version    int64
	at         time.Time
	collection string
	name       string
	hidden     bool // Left out of every watch.
}

// history keeps every object at every version since floor. All collections share
// one version counter.
type history struct {
	mu      sync.RWMutex
	limit   int
	version int64
	floor   int64
	objects map[string]map[string][]revision
	changes []change
	hide    int
	changed chan struct{} // Closed and replaced at each change.
}

func newHistory(limit int) *history {
	return &history{limit: limit, objects: map[string]map[string][]revision{}, changed: make(chan struct{})}
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

// append records a new revision and returns its version. The lock is held.
func (h *history) append(collection, name string, r revision, now time.Time) int64 {
	h.version++
	r.version = h.version
	names := h.objects[collection]
	if names == nil {
		names = map[string][]revision{}
		h.objects[collection] = names
	}
	names[name] = append(names[name], r)
	hidden := h.hide > 0
	if hidden {
		h.hide--
	}
	h.changes = append(h.changes, change{version: r.version, at: now, collection: collection, name: name, hidden: hidden})
	h.compact()
	close(h.changed)
	h.changed = make(chan struct{})
	return r.version
}

// compact drops the oldest changes over the limit, and the revisions they superseded.
func (h *history) compact() {
	for len(h.changes) > h.limit {
		c := h.changes[0]
		h.changes = h.changes[1:]
		h.floor = c.version
		h.prune(c.collection, c.name)
	}
}

// prune keeps the newest revision at or below the floor and all above it.
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

// asOf returns the object as it stood at version.
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
	out := platform.List{Version: version}
	for _, name := range names {
		if r, ok := h.asOf(collection, name, version); ok {
			out.Items = append(out.Items, object(collection, name, r))
		}
	}
	return out
}

// staleVersion is the version that a read sees that lags by either measure, but
// never one below the floor.
func (h *history) staleVersion(back int64, before time.Time) int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	version := h.version - back
	if !before.IsZero() {
		i, _ := slices.BinarySearchFunc(h.changes, before, func(c change, t time.Time) int { return c.at.Compare(t) })
		asOf := h.floor
		if i > 0 {
			asOf = h.changes[i-1].version
		}
		version = min(version, asOf)
	}
	return max(version, h.floor)
}

// next returns the first visible change of a collection after version, or the
// channel that closes at the next change. ok is false if version is compacted away.
func (h *history) next(collection string, version int64) (e *platform.Event, reached int64, wait <-chan struct{}, ok bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if version < h.floor {
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

func (h *history) event(c change) *platform.Event {
	r, exists := h.asOf(c.collection, c.name, c.version)
	e := &platform.Event{Type: platform.Put, Object: object(c.collection, c.name, r)}
	if !exists {
		e.Type = platform.Deleted
	}
	return e
}

func (h *history) hideNext(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hide = n
}

func object(collection, name string, r revision) platform.Object {
	return platform.Object{Collection: collection, Name: name, Version: r.version, Data: slices.Clone(r.data)}
}
