package distribution_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/distribution"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/platform"
	standin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

// heartbeatInterval is the time between updates of the daemons' shared member list, and so
// the maximum age of a revision in it.
const heartbeatInterval = 50 * time.Millisecond

// faultyStore is one daemon's connection to the platform, with injected faults.
type faultyStore struct {
	platform.Store
	cut          atomic.Bool
	readsDown    atomic.Bool
	loseReplies  atomic.Int32
	writes       atomic.Int32
	blockWatches atomic.Bool
}

func unavailable(op string) error { return &platform.Error{Reason: platform.Unavailable, Op: op} }

func (s *faultyStore) Get(ctx context.Context, c, n string) (platform.Object, error) {
	if s.cut.Load() || s.readsDown.Load() {
		return platform.Object{}, unavailable("get")
	}
	return s.Store.Get(ctx, c, n)
}

func (s *faultyStore) List(ctx context.Context, c, p string) (platform.List, error) {
	if s.cut.Load() || s.readsDown.Load() {
		return platform.List{}, unavailable("list")
	}
	return s.Store.List(ctx, c, p)
}

func (s *faultyStore) Create(ctx context.Context, o platform.Object) (platform.Object, error) {
	if s.cut.Load() {
		return platform.Object{}, unavailable("create")
	}
	s.writes.Add(1)
	stored, err := s.Store.Create(ctx, o)
	return s.reply(stored, err)
}

func (s *faultyStore) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	if s.cut.Load() {
		return platform.Object{}, unavailable("update")
	}
	s.writes.Add(1)
	stored, err := s.Store.Update(ctx, o)
	return s.reply(stored, err)
}

func (s *faultyStore) reply(o platform.Object, err error) (platform.Object, error) {
	if s.loseReplies.Add(-1) >= 0 {
		return platform.Object{}, &platform.Error{Reason: platform.Uncertain, Op: "write"}
	}
	return o, err
}

func (s *faultyStore) Delete(ctx context.Context, c, n string, v int64) error {
	if s.cut.Load() {
		return unavailable("delete")
	}
	return s.Store.Delete(ctx, c, n, v)
}

// Watch returns a watch that ends when the store is cut, and delivers no events while
// blockWatches is set.
func (s *faultyStore) Watch(ctx context.Context, c string, v int64) (platform.Watch, error) {
	if s.cut.Load() {
		return nil, unavailable("watch")
	}
	w, err := s.Store.Watch(ctx, c, v)
	return &faultyWatch{Watch: w, store: s}, err
}

type faultyWatch struct {
	platform.Watch
	store *faultyStore
}

func (w *faultyWatch) Next(ctx context.Context) (platform.Event, error) {
	for {
		bounded, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		e, err := w.Watch.Next(bounded)
		timedOut := bounded.Err() != nil
		cancel()
		if w.store.cut.Load() {
			return platform.Event{}, &platform.Error{Reason: platform.WatchEnded}
		}
		if ctx.Err() != nil || (err != nil && !timedOut) {
			return e, err
		}
		if err == nil && !w.store.blockWatches.Load() {
			return e, nil
		}
	}
}

// daemon is a Distributor with its connections. regressions lists the decreases of a
// revision or version that it showed to a subscriber.
type daemon struct {
	id           string
	distributor  *distribution.Distributor
	store        *faultyStore
	stop         context.CancelFunc
	installation *installation
	mu           sync.Mutex
	regressions  []string
}

// installation is a platform stand-in and a few daemons, whose heartbeats are simulated.
type installation struct {
	platform *standin.Server
	mu       sync.Mutex
	daemons  map[string]*daemon
	started  []*daemon
	members  map[string]membership.Member
	cutOff   map[string]bool
	// fetchDown makes all fetches between daemons fail, while heartbeats still arrive.
	fetchDown bool
	// omitOnce is the name of a record that is left out of the next fetch response.
	omitOnce string
}

func newInstallation(ids ...string) *installation {
	i := &installation{
		platform: standin.New(standin.Options{}), daemons: map[string]*daemon{}, members: map[string]membership.Member{}, cutOff: map[string]bool{},
	}
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go i.runHeartbeats(ctx)
	for _, id := range ids {
		i.start(id)
	}
	return i
}

// runHeartbeats updates the member list with the revision and digest of each daemon.
func (i *installation) runHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		i.mu.Lock()
		for id, d := range i.daemons {
			i.members[id] = membership.Member{
				ID: id, PeerAddress: id, DataCentre: "d", State: membership.Live, Revision: d.distributor.Revision(), ConfigDigest: d.distributor.ConfigDigest(),
			}
		}
		i.mu.Unlock()
		time.Sleep(heartbeatInterval)
	}
}

func (i *installation) start(id string) *daemon {
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	d := &daemon{id: id, installation: i, stop: stop, store: &faultyStore{Store: i.platform.Store()}}
	i.mu.Lock()
	defer i.mu.Unlock()
	d.distributor = distribution.New(ctx, distribution.Options{
		Store: d.store, Peers: peerClient{d}, View: memberView{d}, Rand: rand.New(rand.NewPCG(1, uint64(len(i.daemons)))),
		ListInterval: 500 * time.Millisecond, InForceTimeout: 6 * time.Second, WriteTimeout: time.Second, CallTimeout: 500 * time.Millisecond,
		TickInterval: 20 * time.Millisecond, StartGrace: 100 * time.Millisecond,
	})
	i.daemons[id] = d
	i.started = append(i.started, d)
	d.recordRegressions()
	return d
}

func (i *installation) stop(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.daemons[id].stop()
	delete(i.daemons, id)
	delete(i.members, id)
}

func (i *installation) get(id string) *daemon {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.daemons[id]
}

func (i *installation) all() (out []*daemon) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, d := range i.daemons {
		out = append(out, d)
	}
	return out
}

// everStarted returns all daemons ever started, including stopped ones.
func (i *installation) everStarted() []*daemon {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.started)
}

// cutPeers cuts the connections between a daemon and the others, in both directions.
func (i *installation) cutPeers(id string, on bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cutOff[id] = on
}

func (i *installation) awaitReady() {
	GinkgoHelper()
	for _, d := range i.all() {
		Eventually(d.distributor.Ready, 5*time.Second).Should(BeTrue())
	}
}

// recordRegressions subscribes to the snapshots and records each one in which the revision
// or an object's version is lower than before.
func (d *daemon) recordRegressions() {
	var revision int64
	versions := map[string]int64{}
	d.distributor.Subscribe(func(s *catalog.Snapshot) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if s.Revision < revision {
			d.regressions = append(d.regressions, fmt.Sprintf("%s: revision %d after %d", d.id, s.Revision, revision))
		}
		revision = s.Revision
		for _, r := range s.Records {
			if r.Version < versions[r.Key()] {
				d.regressions = append(d.regressions, fmt.Sprintf("%s: %s at %d after %d", d.id, r.Key(), r.Version, versions[r.Key()]))
			}
			versions[r.Key()] = r.Version
		}
	})
}

func (d *daemon) observedRegressions() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.regressions
}

func (d *daemon) version(kind catalog.Kind, name string) func() int64 {
	return func() int64 {
		r, _ := d.distributor.Get(kind, name)
		return r.Version
	}
}

type memberView struct{ self *daemon }

func (v memberView) Self() membership.Member {
	return membership.Member{ID: v.self.id, PeerAddress: v.self.id, DataCentre: "d", State: membership.Live}
}

func (v memberView) Members() (out []membership.Member) {
	v.self.installation.mu.Lock()
	defer v.self.installation.mu.Unlock()
	for id, m := range v.self.installation.members {
		if id != v.self.id && (v.self.installation.cutOff[id] || v.self.installation.cutOff[v.self.id]) {
			m.State = membership.Suspected
		}
		out = append(out, m)
	}
	return out
}

type peerClient struct{ self *daemon }

func (p peerClient) FetchConfig(ctx context.Context, address string, since int64) (distribution.Delta, error) {
	i := p.self.installation
	i.mu.Lock()
	other, ok := i.daemons[address]
	cut := i.cutOff[address] || i.cutOff[p.self.id] || i.fetchDown
	omitted := i.omitOnce
	i.omitOnce = ""
	i.mu.Unlock()
	if !ok || cut {
		return distribution.Delta{}, failure.New(failure.PeerUnreachable, address)
	}
	delta, err := other.distributor.FetchConfig(ctx, since)
	delta.Records = slices.DeleteFunc(delta.Records, func(r catalog.Record) bool { return r.Name == omitted })
	return delta, err
}
