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

// network carries heartbeats between memberships in memory.
type network struct {
	mu    sync.Mutex
	nodes map[string]*membership.Membership
	stops map[string]context.CancelFunc
	// cut holds the pairs of caller and address whose calls get no answer.
	cut map[[2]string]bool
	// frozen addresses take calls and never answer.
	frozen map[string]bool
}

func newNetwork() *network {
	n := &network{
		nodes: map[string]*membership.Membership{}, stops: map[string]context.CancelFunc{},
		cut: map[[2]string]bool{}, frozen: map[string]bool{},
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

type caller struct {
	network *network
	address string
}

func (c caller) Heartbeat(ctx context.Context, address string, h membership.Heartbeat) (membership.Heartbeat, error) {
	n := c.network
	n.mu.Lock()
	target, ok := n.nodes[address]
	lost := n.cut[[2]string{c.address, address}] || n.frozen[address] || n.frozen[c.address]
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

func (n *network) setCut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = on
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
	testInterval = 40 * time.Millisecond
	testSuspect  = 300 * time.Millisecond
	bound        = 10 * time.Second
)

// start runs a member whose ID and address are the same, unless opts says otherwise.
func (n *network) start(id string, change ...func(*membership.Options)) *membership.Membership {
	opts := membership.Options{
		Self:  membership.Member{ID: id, PeerAddress: id, DataCentre: "d"},
		Seeds: []string{"m00"}, Interval: testInterval, SuspectAfter: testSuspect, RemoveAfter: 2 * time.Second,
		Rand: rand.New(rand.NewPCG(1, uint64(len(id)))),
	}
	for _, f := range change {
		f(&opts)
	}
	opts.Transport = caller{network: n, address: opts.Self.PeerAddress}
	ctx, stop := context.WithCancel(context.Background())
	m := membership.New(ctx, opts)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[opts.Self.PeerAddress] = m
	n.stops[opts.Self.PeerAddress] = stop
	return m
}

func (n *network) startMany(count int, change ...func(*membership.Options)) []*membership.Membership {
	GinkgoHelper()
	members := lo.Times(count, func(i int) *membership.Membership { return n.start(fmt.Sprintf("m%02d", i), change...) })
	for _, m := range members {
		Eventually(func() int { return len(live(m)) }, bound, 20*time.Millisecond).Should(Equal(count))
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
