// Package distribution installs the configuration stored in the platform on every
// daemon, and writes changes to it.
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

// historySize bounds the change IDs remembered to resolve lost replies, and the digests
// remembered to compare members.
const historySize = 4096

// Distributor keeps the configuration in force on this daemon up to date. It is safe for
// concurrent use.
type Distributor struct {
	opts      Options
	startedAt time.Time

	mu          sync.Mutex
	records     *records
	changes     *changeLog
	subscribers map[int]func(*catalog.Snapshot)
	nextID      int
	loaded      bool
	// digests holds the revision at which each recent digest was installed.
	digests *digestLog

	current    atomic.Pointer[catalog.Snapshot]
	digest     atomic.Uint64
	ready      atomic.Bool
	platform   platformState
	mismatches mismatchTracker
}

// New starts the distribution, which runs until ctx is cancelled.
func New(ctx context.Context, opts Options) *Distributor {
	opts = opts.withDefaults()
	d := &Distributor{
		opts:        opts,
		startedAt:   opts.Clock.Now(),
		records:     newRecords(),
		changes:     newChangeLog(historySize),
		digests:     newDigestLog(historySize),
		subscribers: map[int]func(*catalog.Snapshot){},
	}
	empty, _ := catalog.NewSnapshot(0, nil)
	d.current.Store(empty)
	d.platform.init()
	go d.runPlatform(ctx)
	go d.runPeerSync(ctx, opts.Clock.NewTicker(opts.TickInterval))
	return d
}

// Current returns the snapshot in force. It is never nil, but may be empty before Ready.
func (d *Distributor) Current() *catalog.Snapshot { return d.current.Load() }

// Revision returns the revision in force.
func (d *Distributor) Revision() int64 { return d.Current().Revision }

// ConfigDigest returns a digest of the records in force. Daemons with the same records
// have the same digest. It is never zero: in a member's state, zero means "not reported".
func (d *Distributor) ConfigDigest() uint64 { return nonZeroDigest(d.digest.Load()) }

func nonZeroDigest(digest uint64) uint64 { return max(digest, 1) }

// Ready reports whether a first snapshot has been installed whose revision was no lower
// than that of any member not suspected. Once true it stays true.
func (d *Distributor) Ready() bool { return d.ready.Load() }

// Subscribe calls f immediately with the current snapshot, then with each installed
// snapshot in order. f must not block and must not call the Distributor. The returned
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

// FetchConfig returns to a peer what changed after a revision. It returns NotFound if no
// configuration is loaded yet.
func (d *Distributor) FetchConfig(_ context.Context, since int64) (Delta, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded {
		return Delta{}, failure.New(failure.NotFound, "this daemon has no configuration yet")
	}
	return d.records.deltaSince(since), nil
}

// update applies a change to the records and installs the result. The caller must not
// hold d.mu.
func (d *Distributor) update(source string, apply func(*records) bool) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	revisionBefore := d.records.revision
	changed = apply(d.records)
	firstLoad := !d.loaded
	d.loaded = true
	if !changed && !firstLoad && d.records.revision == revisionBefore {
		return false
	}
	d.install(source)
	return changed
}

// install publishes the records as the new snapshot and calls the subscribers. The
// caller must hold d.mu.
func (d *Distributor) install(source string) {
	snapshot, skipped := d.records.snapshot()
	d.digests.add(nonZeroDigest(d.records.digest), snapshot.Revision)
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

// Get returns the record in force on this daemon, or NotFound.
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

// decodeRecord decodes the record that an object stores. Kind, name and version are taken
// from the object, not from the stored record.
func decodeRecord(o platform.Object) (catalog.Record, bool) {
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

// decodeTombstone returns the tombstone for the object of a deletion event.
func decodeTombstone(o platform.Object) (Tombstone, bool) {
	kind, name, ok := strings.Cut(o.Name, ".")
	return Tombstone{Kind: catalog.Kind(kind), Name: name, Version: o.Version}, ok
}
