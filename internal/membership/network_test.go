package membership_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/membership"
)

// network delivers heartbeats between memberships in memory.
type network struct {
	mu    sync.Mutex
	nodes map[string]*membership.Membership
	stops map[string]context.CancelFunc
	// partitioned holds the pairs of sender and target address whose calls get no reply.
	partitioned map[[2]string]bool
	// frozen holds addresses that accept calls but never reply, and whose own calls are lost.
	frozen map[string]bool
}

func newNetwork() *network {
	n := &network{
		nodes: map[string]*membership.Membership{}, stops: map[string]context.CancelFunc{},
		partitioned: map[[2]string]bool{}, frozen: map[string]bool{},
	}
	DeferCleanup(func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, stop := range n.stops {
			stop()
		}
	})
	return n
}

type transport struct {
	network *network
	address string
}

func (c transport) Heartbeat(ctx context.Context, address string, h membership.Heartbeat) (membership.Heartbeat, error) {
	n := c.network
	n.mu.Lock()
	target, ok := n.nodes[address]
	lost := n.partitioned[[2]string{c.address, address}] || n.frozen[address] || n.frozen[c.address]
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return membership.Heartbeat{}, failure.New(failure.PeerUnreachable, address)
	}
	if !ok {
		return membership.Heartbeat{}, failure.Wrap(syscall.ECONNREFUSED, failure.PeerUnreachable, address)
	}
	return target.Receive(ctx, h)
}

func (n *network) setPartitioned(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{from, to}] = on
}

func (n *network) freeze(address string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[address] = on
}

func (n *network) kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stops[address]()
	delete(n.nodes, address)
}

const (
	testInterval     = 40 * time.Millisecond
	testSuspectAfter = 300 * time.Millisecond
	waitTimeout      = 10 * time.Second
)

// start runs a member whose address equals its ID, unless configure changes it.
func (n *network) start(id string, configure ...func(*membership.Options)) *membership.Membership {
	opts := membership.Options{
		Self:  membership.Member{ID: id, PeerAddress: id, DataCentre: "d"},
		Seeds: []string{"m00"}, Interval: testInterval, SuspectAfter: testSuspectAfter, RemoveAfter: 2 * time.Second,
		Rand: rand.New(rand.NewPCG(1, uint64(len(id)))),
	}
	for _, f := range configure {
		f(&opts)
	}
	opts.Transport = transport{network: n, address: opts.Self.PeerAddress}
	ctx, stop := context.WithCancel(context.Background())
	m := membership.New(ctx, opts)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[opts.Self.PeerAddress] = m
	n.stops[opts.Self.PeerAddress] = stop
	return m
}

func (n *network) startMany(count int, configure ...func(*membership.Options)) []*membership.Membership {
	GinkgoHelper()
	members := lo.Times(count, func(i int) *membership.Membership { return n.start(fmt.Sprintf("m%02d", i), configure...) })
	for _, m := range members {
		Eventually(func() int { return len(live(m)) }, waitTimeout, 20*time.Millisecond).Should(Equal(count))
	}
	return members
}

func live(m *membership.Membership) []string {
	return lo.FilterMap(m.Members(), func(x membership.Member, _ int) (string, bool) { return x.ID, x.State == membership.Live })
}

func stateOf(m *membership.Membership, id string) func() membership.State {
	return func() membership.State {
		x, _ := lo.Find(m.Members(), func(x membership.Member) bool { return x.ID == id })
		return x.State
	}
}
