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

// heartbeat is how old a daemon's knowledge of another one's revision may be.
const heartbeat = 50 * time.Millisecond

// store is one daemon's way to the platform.
type store struct {
	platform.Store
	cut          atomic.Bool
	readsDown    atomic.Bool
	loseReplies  atomic.Int32
	writes       atomic.Int32
	blockWatches atomic.Bool
}

func down(op string) error { return &platform.Error{Reason: platform.Unavailable, Op: op} }

func (s *store) Get(ctx context.Context, c, n string) (platform.Object, error) {
	if s.cut.Load() || s.readsDown.Load() {
		return platform.Object{}, down("get")
	}
	return s.Store.Get(ctx, c, n)
}

func (s *store) List(ctx context.Context, c, p string) (platform.List, error) {
	if s.cut.Load() || s.readsDown.Load() {
		return platform.List{}, down("list")
	}
	return s.Store.List(ctx, c, p)
}

func (s *store) Create(ctx context.Context, o platform.Object) (platform.Object, error) {
	if s.cut.Load() {
		return platform.Object{}, down("create")
	}
	s.writes.Add(1)
	stored, err := s.Store.Create(ctx, o)
	return s.reply(stored, err)
}

func (s *store) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	if s.cut.Load() {
		return platform.Object{}, down("update")
	}
	s.writes.Add(1)
	stored, err := s.Store.Update(ctx, o)
	return s.reply(stored, err)
}

func (s *store) reply(o platform.Object, err error) (platform.Object, error) {
	if s.loseReplies.Add(-1) >= 0 {
		return platform.Object{}, &platform.Error{Reason: platform.Uncertain, Op: "write"}
	}
	return o, err
}

func (s *store) Delete(ctx context.Context, c, n string, v int64) error {
	if s.cut.Load() {
		return down("delete")
	}
	return s.Store.Delete(ctx, c, n, v)
}

// Watch returns one that is cut with the daemon, and that may be silent.
func (s *store) Watch(ctx context.Context, c string, v int64) (platform.Watch, error) {
	if s.cut.Load() {
		return nil, down("watch")
	}
	w, err := s.Store.Watch(ctx, c, v)
	return &watch{Watch: w, store: s}, err
}

type watch struct {
	platform.Watch
	store *store
}

func (w *watch) Next(ctx context.Context) (platform.Event, error) {
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

// daemon is one distributor with what the others know of it.
type daemon struct {
	id     string
	d      *distribution.Distributor
	store  *store
	stop   context.CancelFunc
	inst   *installation
	mu     sync.Mutex
	faults []string
}

// installation is a platform and a few daemons, whose heartbeats are played by a ticker.
type installation struct {
	platform *standin.Server
	mu       sync.Mutex
	daemons  map[string]*daemon
	started  []*daemon
	known    map[string]membership.Member
	cuts     map[string]bool
	// fetchDown makes peers hear each other, but fetch nothing.
	fetchDown bool
	// hideOnce is left out of the next answer to a fetch.
	hideOnce string
}

func newInstallation(ids ...string) *installation {
	i := &installation{
		platform: standin.New(standin.Options{}), daemons: map[string]*daemon{}, known: map[string]membership.Member{}, cuts: map[string]bool{},
	}
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go i.beat(ctx)
	for _, id := range ids {
		i.start(id)
	}
	return i
}

// beat passes on what each daemon says of itself.
func (i *installation) beat(ctx context.Context) {
	for ctx.Err() == nil {
		i.mu.Lock()
		for id, d := range i.daemons {
			i.known[id] = membership.Member{
				ID: id, PeerAddress: id, DataCentre: "d", State: membership.Live, Revision: d.d.Revision(), ConfigDigest: d.d.ConfigDigest(),
			}
		}
		i.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

func (i *installation) start(id string) *daemon {
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	n := &daemon{id: id, inst: i, stop: stop, store: &store{Store: i.platform.Store()}}
	i.mu.Lock()
	defer i.mu.Unlock()
	n.d = distribution.New(ctx, distribution.Options{
		Store: n.store, Peers: peersOf{n}, View: viewOf{n}, Rand: rand.New(rand.NewPCG(1, uint64(len(i.daemons)))),
		ListInterval: 500 * time.Millisecond, InForceTimeout: 6 * time.Second, WriteTimeout: time.Second, CallTimeout: 500 * time.Millisecond,
		TickInterval: 20 * time.Millisecond, StartGrace: 100 * time.Millisecond,
	})
	i.daemons[id] = n
	i.started = append(i.started, n)
	n.check()
	return n
}

func (i *installation) stop(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.daemons[id].stop()
	delete(i.daemons, id)
	delete(i.known, id)
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

// everStarted lists the daemons that were stopped, too.
func (i *installation) everStarted() []*daemon {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.started)
}

// cutPeers keeps a daemon from hearing the others, and them from hearing it.
func (i *installation) cutPeers(id string, on bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cuts[id] = on
}

func (i *installation) ready() {
	GinkgoHelper()
	for _, d := range i.all() {
		Eventually(d.d.Ready, 5*time.Second).Should(BeTrue())
	}
}

// check is the invariant: no revision, and no object's version, ever goes back.
func (n *daemon) check() {
	var revision int64
	versions := map[string]int64{}
	n.d.Subscribe(func(s *catalog.Snapshot) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if s.Revision < revision {
			n.faults = append(n.faults, fmt.Sprintf("%s: revision %d after %d", n.id, s.Revision, revision))
		}
		revision = s.Revision
		for _, r := range s.Records {
			if r.Version < versions[r.Key()] {
				n.faults = append(n.faults, fmt.Sprintf("%s: %s at %d after %d", n.id, r.Key(), r.Version, versions[r.Key()]))
			}
			versions[r.Key()] = r.Version
		}
	})
}

func (n *daemon) reverted() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults
}

func (n *daemon) version(kind catalog.Kind, name string) func() int64 {
	return func() int64 {
		r, _ := n.d.Get(kind, name)
		return r.Version
	}
}

type viewOf struct{ n *daemon }

func (v viewOf) Self() membership.Member {
	return membership.Member{ID: v.n.id, PeerAddress: v.n.id, DataCentre: "d", State: membership.Live}
}

func (v viewOf) Members() (out []membership.Member) {
	v.n.inst.mu.Lock()
	defer v.n.inst.mu.Unlock()
	for id, m := range v.n.inst.known {
		if id != v.n.id && (v.n.inst.cuts[id] || v.n.inst.cuts[v.n.id]) {
			m.State = membership.Suspected
		}
		out = append(out, m)
	}
	return out
}

type peersOf struct{ n *daemon }

func (p peersOf) FetchConfig(ctx context.Context, address string, since int64) (distribution.Delta, error) {
	i := p.n.inst
	i.mu.Lock()
	other, ok := i.daemons[address]
	cut := i.cuts[address] || i.cuts[p.n.id] || i.fetchDown
	hidden := i.hideOnce
	i.hideOnce = ""
	i.mu.Unlock()
	if !ok || cut {
		return distribution.Delta{}, failure.New(failure.PeerUnreachable, address)
	}
	delta, err := other.d.FetchConfig(ctx, since)
	delta.Records = slices.DeleteFunc(delta.Records, func(r catalog.Record) bool { return r.Name == hidden })
	return delta, err
}
