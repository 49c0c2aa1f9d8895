// Package distribution brings the configuration in the platform into force on
// every daemon, and writes changes to it.
package distribution

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/platform"
)

// changesKept is the number of change IDs that are remembered, to resolve lost replies.
const changesKept = 4096

// Distributor keeps the configuration in force on this daemon. Methods may be called concurrently.
type Distributor struct {
	opts    Options
	started time.Time

	mu          sync.Mutex
	records     *records
	changes     *changeLog
	subscribers map[int]func(*catalog.Snapshot)
	nextID      int
	loaded      bool
	// digests holds the digest of each revision installed lately.
	digests *digestLog

	current  atomic.Pointer[catalog.Snapshot]
	digest   atomic.Uint64
	ready    atomic.Bool
	platform platformState
	fetching fetchState
}

// New starts the distribution; it ends with ctx.
func New(ctx context.Context, opts Options) *Distributor {
	opts = opts.withDefaults()
	d := &Distributor{
		opts:        opts,
		started:     opts.Clock.Now(),
		records:     newRecords(),
		changes:     newChangeLog(changesKept),
		digests:     newDigestLog(changesKept),
		subscribers: map[int]func(*catalog.Snapshot){},
	}
	empty, _ := catalog.NewSnapshot(0, nil)
	d.current.Store(empty)
	d.platform.init()
	go d.runPlatform(ctx)
	go d.runPeers(ctx, opts.Clock.NewTicker(opts.TickInterval))
	return d
}

// Current returns the snapshot in force; before Ready it may be empty, never nil.
func (d *Distributor) Current() *catalog.Snapshot { return d.current.Load() }

// Revision returns the revision in force.
func (d *Distributor) Revision() int64 { return d.Current().Revision }

// ConfigDigest sums up the records in force. Two daemons with the same records have
// the same digest. It is never zero, which stands for a digest that is not reported.
func (d *Distributor) ConfigDigest() uint64 { return reported(d.digest.Load()) }

func reported(digest uint64) uint64 { return max(digest, 1) }

// Ready reports whether a first snapshot is installed that is no older than those
// of the members heard. Once true it stays so.
func (d *Distributor) Ready() bool { return d.ready.Load() }

// Subscribe calls f with each snapshot that is installed, in order, and at once with
// the present one. f must not block, and must not call the Distributor. The returned
// function ends the subscription.
func (d *Distributor) Subscribe(f func(*catalog.Snapshot)) (cancel func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.nextID
	d.nextID++
	d.subscribers[id] = f
	f(d.current.Load())
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.subscribers, id)
	}
}

// FetchConfig answers a peer with what changed after a revision.
func (d *Distributor) FetchConfig(_ context.Context, since int64) (Delta, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded {
		return Delta{}, failure.New(failure.NotFound, "this daemon has no configuration yet")
	}
	return d.records.since(since), nil
}

// change applies news to the records and installs the result. The lock is not held.
func (d *Distributor) change(source string, apply func(*records) bool) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.records.revision
	changed = apply(d.records)
	first := !d.loaded
	d.loaded = true
	if !changed && !first && d.records.revision == before {
		return false
	}
	d.install(source)
	return changed
}

// install puts the records in force; the lock is held.
func (d *Distributor) install(source string) {
	snapshot, skipped := d.records.snapshot()
	d.digests.add(reported(d.records.digest), snapshot.Revision)
	d.digest.Store(d.records.digest)
	d.current.Store(snapshot)
	entry := d.opts.Logger.WithFields(logrus.Fields{
		"event": "config_installed", "revision": snapshot.Revision, "source": source, "records": len(snapshot.Records),
	})
	if len(skipped) > 0 {
		entry = entry.WithField("skipped", strings.Join(skipped, ","))
	}
	entry.Info("configuration in force")
	d.opts.Scope.Gauge("config_revision").Update(float64(snapshot.Revision))
	for _, id := range slices.Sorted(slices.Values(lo.Keys(d.subscribers))) {
		d.subscribers[id](snapshot)
	}
}

// Get returns the record in force on this daemon.
func (d *Distributor) Get(kind catalog.Kind, name string) (catalog.Record, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.records.live[catalog.Record{Kind: kind, Name: name}.Key()]
	if !ok {
		return catalog.Record{}, notFound(kind, name)
	}
	return r, nil
}

// List returns the records of a kind in force on this daemon, sorted by name.
func (d *Distributor) List(kind catalog.Kind) []catalog.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := lo.Filter(lo.Values(d.records.live), func(r catalog.Record, _ int) bool { return r.Kind == kind })
	slices.SortFunc(out, func(a, b catalog.Record) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func notFound(kind catalog.Kind, name string) error {
	return failure.New(failure.NotFound, "no "+string(kind)+" of the name "+name+" is in force")
}

// decode reads the record in an object. The object's name and version rule.
func decode(o platform.Object) (catalog.Record, bool) {
	kind, name, ok := strings.Cut(o.Name, ".")
	if !ok {
		return catalog.Record{}, false
	}
	var r catalog.Record
	if err := json.Unmarshal(o.Data, &r); err != nil {
		return catalog.Record{}, false
	}
	r.Kind, r.Name, r.Version = catalog.Kind(kind), name, o.Version
	return r, true
}

// tombstone reads the deletion of an object.
func tombstone(o platform.Object) (Tombstone, bool) {
	kind, name, ok := strings.Cut(o.Name, ".")
	return Tombstone{Kind: catalog.Kind(kind), Name: name, Version: o.Version}, ok
}
