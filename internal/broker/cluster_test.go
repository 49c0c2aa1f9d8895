package broker_test

import (
	"context"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/broker"
	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/estimate"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/peer"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
	"github.com/primrosewell/primrosewell/internal/standin/relay"
)

const (
	pool              = "drafting"
	heartbeatInterval = 40 * time.Millisecond
	suspectAfter      = 300 * time.Millisecond
)

// slotPlacer places permit requests on endpoints up to their limits, first fit.
type slotPlacer struct {
	mu        sync.Mutex
	endpoints []catalog.Endpoint
	leaving   map[string]bool
	running   map[string]string
	loads     map[string]routing.Load
}

func (s *slotPlacer) Update(_ time.Time, endpoints []catalog.Endpoint, leaving map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints, s.leaving = endpoints, leaving
}

func (s *slotPlacer) ObserveLoad(_ time.Time, load routing.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads[load.Endpoint] = load
}

func (s *slotPlacer) Place(_ time.Time, request routing.PermitRequest) (routing.Placement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if !s.leaving[e.Name] && s.runningOn(e.Name) < e.MaxConcurrent {
			s.running[request.ID] = e.Name
			return routing.Placement{Endpoint: e, Alternatives: 1, Reason: "first"}, true
		}
	}
	return routing.Placement{}, false
}

func (s *slotPlacer) runningOn(endpoint string) (n int) {
	for _, e := range s.running {
		if e == endpoint {
			n++
		}
	}
	return n
}

func (s *slotPlacer) Done(_ time.Time, report routing.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, report.AttemptID)
}

func (s *slotPlacer) Restore(_ time.Time, p routing.Progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[p.AttemptID] = p.Endpoint
}

func (s *slotPlacer) Capacity(time.Time) routing.Capacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := routing.Capacity{Busy: len(s.running)}
	for _, e := range s.endpoints {
		if !s.leaving[e.Name] {
			c.Slots += e.MaxConcurrent
			c.Endpoints++
		}
	}
	return c
}

type fixedConfig struct{ snapshot *catalog.Snapshot }

func (f fixedConfig) Current() *catalog.Snapshot { return f.snapshot }

// configOf returns a configuration of one service with one endpoint, which has the given number of slots.
func configOf(slots string) fixedConfig {
	s, skipped := catalog.NewSnapshot(1, []catalog.Record{
		{Kind: catalog.KindService, Name: pool, Spec: []byte(`{"name":"` + pool + `","kind":"plain"}`)},
		{Kind: catalog.KindEndpoint, Name: "e1", Spec: []byte(`{"name":"e1","service":"` + pool + `","address":"192.0.2.1:80","data_centre":"d","max_concurrent":` + slots + `}`)},
	})
	Expect(skipped).To(BeEmpty())
	return fixedConfig{snapshot: s}
}

// node is the part of a daemon under test: peer listener, membership and broker.
type node struct {
	id      string
	address string
	members *membership.Membership
	broker  *broker.Broker
	server  *peer.Server
	stop    context.CancelFunc
	mu      sync.Mutex
	fleets  []*slotPlacer
}

func (n *node) kill() {
	n.stop()
	_ = n.server.Close()
}

func (n *node) factory(name string, _ bool) broker.PoolParts {
	s := &slotPlacer{running: map[string]string{}, loads: map[string]routing.Load{}}
	n.mu.Lock()
	n.fleets = append(n.fleets, s)
	n.mu.Unlock()
	return broker.PoolParts{Fleet: s, Pool: scheduling.NewPool(name, scheduling.DefaultConfig(), s, estimate.New(estimate.Config{}))}
}

// cluster is a set of nodes that call each other through relays.
type cluster struct {
	mesh  *relay.Mesh
	nodes []*node
}

// clusterOptions are the settings that differ between specs.
type clusterOptions struct {
	slots string
	store platform.Store
	loads routing.LoadReader
	// longSuspectTimeout keeps nodes from suspecting each other during a spec, even if the machine stalls for a second.
	longSuspectTimeout bool
	// productionTimings keeps the default timings instead of the shortened ones.
	productionTimings bool
	// direct makes calls without relays, so that calls to a killed node are refused.
	direct bool
}

func newCluster(ids []string, opts clusterOptions) *cluster {
	c := &cluster{mesh: relay.NewMesh()}
	DeferCleanup(c.mesh.Close)
	var seeds []string
	var listeners []net.Listener
	for range ids {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, l)
		seeds = append(seeds, l.Addr().String())
	}
	for i, id := range ids {
		c.nodes = append(c.nodes, c.start(id, listeners[i], seeds, opts))
	}
	Eventually(c.converged, 10*time.Second, 20*time.Millisecond).Should(BeTrue())
	return c
}

func (c *cluster) start(id string, l net.Listener, seeds []string, opts clusterOptions) *node {
	ctx, stop := context.WithCancel(context.Background())
	n := &node{id: id, address: l.Addr().String(), stop: stop}
	clientOptions := peer.ClientOptions{Key: "k", SilenceTimeout: 100 * time.Millisecond}
	memberOptions := membership.Options{
		Self:  membership.Member{ID: id, PeerAddress: n.address, DataCentre: "d"},
		Seeds: seeds, Interval: heartbeatInterval, SuspectAfter: suspectAfter,
	}
	brokerOptions := broker.Options{
		Factory: n.factory, Config: configOf(opts.slots), Store: opts.store, LoadReader: opts.loads,
		ConservativeFor: 500 * time.Millisecond, DropSuspectAfter: 500 * time.Millisecond, VMInterval: 50 * time.Millisecond, LoadInterval: 50 * time.Millisecond,
	}
	if opts.longSuspectTimeout {
		memberOptions.SuspectAfter = maxBlocked
	}
	if opts.productionTimings {
		clientOptions.SilenceTimeout = 0
		memberOptions.Interval, memberOptions.SuspectAfter = 0, 0
		brokerOptions.ConservativeFor, brokerOptions.DropSuspectAfter = 0, 0
	}
	if !opts.direct {
		clientOptions.Dial = c.mesh.Dialer(id)
	}
	client := peer.NewClient(clientOptions)
	memberOptions.Transport = client
	n.members = membership.New(ctx, memberOptions)
	brokerOptions.View, brokerOptions.Peers = n.members, client
	n.broker = broker.New(ctx, brokerOptions)
	n.members.Attach(membership.Attachments{Exchange: n.broker, AlwaysCall: n.broker.Brokers})
	n.server = peer.NewServer(peer.ServerOptions{Key: "k", Handlers: peer.Handlers{Members: n.members, Pools: n.broker}})
	go func() { _ = n.server.Serve(l) }()
	DeferCleanup(func() {
		n.kill()
		client.Close()
	})
	return n
}

// converged reports whether every node sees all others as live and routes the pool to the
// same broker; routes follow the membership one round later.
func (c *cluster) converged() bool {
	for _, n := range c.nodes {
		ranked := membership.Rank(pool, n.members.Members())
		if len(ranked) != len(c.nodes) {
			return false
		}
		if id, here := n.broker.BrokerOf(pool); id != ranked[0].ID || here != (id == n.id) {
			return false
		}
	}
	return true
}

// ranked returns the nodes in the order in which they take the broker role of the pool.
func (c *cluster) ranked() []*node {
	var out []*node
	for _, m := range membership.Rank(pool, c.nodes[0].members.Members()) {
		for _, n := range c.nodes {
			if n.id == m.ID {
				out = append(out, n)
			}
		}
	}
	return out
}
