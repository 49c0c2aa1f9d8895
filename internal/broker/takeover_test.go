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

// fixedView is a fleet that does not change, seen from its first member.
type fixedView []membership.Member

func (v fixedView) Self() membership.Member      { return v[0] }
func (v fixedView) Members() []membership.Member { return v }

// noPeers is a way to other daemons that nobody takes in these specs.
type noPeers struct{ broker.Peers }

func className(tier catalog.Tier) string { return "tier-" + strconv.Itoa(int(tier)) }

var _ = Describe("A new broker", func() {
	// Load pattern: a broker is lost while its pool is full, so that asks of every tier wait on
	// it; the daemons send them again one after the other, the less urgent ones first.
	It("grants nothing until the asks that waited at the broker before have come again", func() {
		view := fixedView(membership.Rank(pool, []membership.Member{
			{ID: "a", Incarnation: "1", State: membership.Live}, {ID: "b", Incarnation: "1", State: membership.Live},
		}))
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		clock := clockwork.NewFakeClock()
		n := &node{}
		n.broker = broker.New(ctx, broker.Options{
			View: view, Peers: noPeers{}, Factory: n.factory, Config: configOf("1"), Clock: clock,
		})
		round := func() { clock.Advance(broker.DefaultTickInterval) }
		ask := func(tier catalog.Tier) <-chan answer {
			a := newAsk()
			a.Tier, a.Class, a.Profile, a.Daemon = tier, className(tier), className(tier), view[1].ID
			out := make(chan answer, 1)
			go func() {
				g, err := n.broker.AcquireFor(ctx, a)
				out <- answer{g, err}
			}()
			return out
		}

		later := ask(catalog.LowestTier)
		Eventually(func() error {
			return n.broker.ProgressFor(ctx, view[1].ID, pool, []routing.Progress{})
		}, bound).Should(Succeed())
		round()
		Eventually(func() int { return waiting(n) }, bound).Should(Equal(1), "the less urgent ask is taken in and not granted")
		urgent := ask(catalog.HighestTier)
		Eventually(func() int { return waiting(n) }, bound).Should(Equal(2))

		var a answer
		Eventually(func() <-chan answer {
			round()
			return urgent
		}, bound, time.Millisecond).Should(Receive(&a))
		Expect(a.err).NotTo(HaveOccurred())
		Expect(later).NotTo(Receive())
		Expect(waiting(n)).To(Equal(1))
	})
})
