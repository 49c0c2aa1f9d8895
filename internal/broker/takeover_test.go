package broker_test

import (
	"context"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/broker"
	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// fixedView is a membership that does not change, as seen by its first member.
type fixedView []membership.Member

func (v fixedView) Self() membership.Member      { return v[0] }
func (v fixedView) Members() []membership.Member { return v }

// unusedPeers satisfies broker.Peers; these specs make no peer calls.
type unusedPeers struct{ broker.Peers }

func tierName(tier catalog.Tier) string { return "tier-" + strconv.Itoa(int(tier)) }

var _ = Describe("A new broker", func() {
	// Load pattern: a broker is lost while its pool is full and permit requests of every tier
	// wait in its queue; the daemons submit them again one by one, the less urgent ones first.
	It("grants nothing until the requests that waited at the previous broker have been submitted again", func() {
		view := fixedView(membership.Rank(pool, []membership.Member{
			{ID: "a", Incarnation: "1", State: membership.Live}, {ID: "b", Incarnation: "1", State: membership.Live},
		}))
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		clock := clockwork.NewFakeClock()
		n := &node{}
		n.broker = broker.New(ctx, broker.Options{
			View: view, Peers: unusedPeers{}, Factory: n.factory, Config: configOf("1"), Clock: clock,
		})
		round := func() { clock.Advance(broker.DefaultTickInterval) }
		submit := func(tier catalog.Tier) <-chan acquireResult {
			request := newRequest()
			request.Tier, request.Class, request.Profile, request.Daemon = tier, tierName(tier), tierName(tier), view[1].ID
			out := make(chan acquireResult, 1)
			go func() {
				g, err := n.broker.AcquireFor(ctx, request)
				out <- acquireResult{g, err}
			}()
			return out
		}

		lessUrgent := submit(catalog.LowestTier)
		Eventually(func() error {
			return n.broker.ProgressFor(ctx, view[1].ID, pool, []routing.Progress{})
		}, maxBlocked).Should(Succeed())
		round()
		Eventually(func() int { return waitingCount(n) }, maxBlocked).Should(Equal(1), "the less urgent request is queued but not granted")
		urgent := submit(catalog.HighestTier)
		Eventually(func() int { return waitingCount(n) }, maxBlocked).Should(Equal(2))

		var result acquireResult
		Eventually(func() <-chan acquireResult {
			round()
			return urgent
		}, maxBlocked, time.Millisecond).Should(Receive(&result))
		Expect(result.err).NotTo(HaveOccurred())
		Expect(lessUrgent).NotTo(Receive())
		Expect(waitingCount(n)).To(Equal(1))
	})
})
