package membership_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/platform"
	standin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

var _ = Describe("Membership", func() {
	It("suspects a killed member, then removes it", func() {
		n := newNetwork()
		m := n.startMany(3)
		n.kill("m01")
		others := []*membership.Membership{m[0], m[2]}
		for _, other := range others {
			Eventually(stateOf(other, "m01"), waitTimeout).Should(Equal(membership.Suspected))
		}
		for _, other := range others {
			Eventually(stateOf(other, "m01"), waitTimeout).Should(BeEmpty())
		}
	})

	It("suspects a frozen member, which detects its own suspension when it resumes", func() {
		n := newNetwork()
		n.startMany(2)
		clock := clockwork.NewFakeClock()
		suspensions := make(chan time.Duration, 16)
		n.start("frozen", func(o *membership.Options) {
			o.Clock = clock
			o.OnSuspension = func(gap time.Duration) { suspensions <- gap }
		})
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		Eventually(stateOf(n.nodes["m00"], "frozen"), waitTimeout).Should(Equal(membership.Live))
		n.freeze("frozen", true)
		Eventually(stateOf(n.nodes["m00"], "frozen"), waitTimeout).Should(Equal(membership.Suspected))
		Expect(suspensions).NotTo(Receive())
		n.freeze("frozen", false)
		clock.Advance(testInterval + 5*time.Second)
		Eventually(suspensions, waitTimeout).Should(Receive(BeNumerically(">", 5*time.Second)))
		Eventually(stateOf(n.nodes["m00"], "frozen"), waitTimeout).Should(Equal(membership.Live))
	})

	It("reports a partition in one direction to both ends, and to no other member", func() {
		n := newNetwork()
		m := n.startMany(3)
		n.setPartitioned("m01", "m02", true)
		Eventually(stateOf(m[1], "m02"), waitTimeout).Should(Equal(membership.Suspected))
		Eventually(stateOf(m[2], "m01"), waitTimeout).Should(Equal(membership.Suspected))
		Consistently(func() int { return len(live(m[0])) }, 3*testSuspectAfter).Should(Equal(3))
		n.setPartitioned("m01", "m02", false)
		Eventually(stateOf(m[1], "m02"), waitTimeout).Should(Equal(membership.Live))
		Eventually(stateOf(m[2], "m01"), waitTimeout).Should(Equal(membership.Live))
	})

	It("replaces a member by a newer incarnation of the same name at another address", func() {
		n := newNetwork()
		n.startMany(2)
		var superseded atomic.Bool
		first := n.start("vm", func(o *membership.Options) {
			o.Self.PeerAddress, o.Self.Incarnation = "old", "1"
			o.OnSuperseded = func() { superseded.Store(true) }
		})
		Eventually(stateOf(n.nodes["m00"], "vm"), waitTimeout).Should(Equal(membership.Live))
		n.freeze("old", true)
		n.start("vm", func(o *membership.Options) { o.Self.PeerAddress, o.Self.Incarnation = "new", "2" })
		address := func() string {
			x, _ := lo.Find(n.nodes["m00"].Members(), func(x membership.Member) bool { return x.ID == "vm" })
			return x.PeerAddress + " " + string(x.State)
		}
		Eventually(address, waitTimeout).Should(Equal("new live"))
		n.freeze("old", false)
		Eventually(superseded.Load, waitTimeout).Should(BeTrue())
		Expect(first.Self().State).To(Equal(membership.Leaving))
		Consistently(address, 3*testSuspectAfter).Should(Equal("new live"))
	})

	It("has announced to every member that it leaves when Leave returns", func() {
		n := newNetwork()
		m := n.startMany(4)
		m[2].Leave(context.Background())
		for _, x := range m {
			Expect(stateOf(x, "m02")()).To(Equal(membership.Leaving))
			first, ok := membership.TopRanked("any", x.Members())
			Expect(ok).To(BeTrue())
			Expect(first.ID).NotTo(Equal("m02"))
		}
	})

	It("uses the platform's list for seeds only", func() {
		p := standin.New(standin.Options{})
		p.SetVMs([]platform.VM{
			{Name: "m00", Address: "127.0.0.1:1", Role: "entry", State: platform.VMLive},
			{Name: "gone", Address: "127.0.0.1:2", Role: "entry", State: platform.VMLive},
			{Name: "e1", Address: "127.0.0.1:3", Role: "endpoint", State: platform.VMLive},
		}, 0)
		n := newNetwork()
		listed := func(address string) func(*membership.Options) {
			return func(o *membership.Options) {
				o.Self.PeerAddress, o.Seeds, o.Store = address, nil, p.Store()
			}
		}
		n.start("m00", listed("127.0.0.1:1"))
		lateJoiner := n.start("unlisted", listed("127.0.0.1:9"))
		Eventually(func() []string { return live(lateJoiner) }, waitTimeout).Should(Equal([]string{"m00", "unlisted"}))
		Consistently(func() int { return len(lateJoiner.Members()) }, 3*testSuspectAfter).Should(Equal(2))
	})

	It("gossips updates above the full mesh, and keeps a member that only one other cannot reach", func() {
		n := newNetwork()
		sparse := func(o *membership.Options) { o.FullMeshLimit = 4 }
		m := n.startMany(24, sparse)
		n.setPartitioned("m05", "m06", true)
		n.kill("m07")
		running := append(m[:7:7], m[8:]...)
		for _, x := range running {
			Eventually(stateOf(x, "m07"), waitTimeout).ShouldNot(Equal(membership.Live))
		}
		Consistently(func() bool {
			return lo.EveryBy(running, func(x *membership.Membership) bool {
				return x.Self().ID == "m05" || stateOf(x, "m06")() == membership.Live
			})
		}, 4*testSuspectAfter).Should(BeTrue())
		n.start("m99", sparse)
		for _, x := range running {
			Eventually(stateOf(x, "m99"), waitTimeout).Should(Equal(membership.Live))
		}
	})

	It("applies a suspicion that is not refuted in time", func() {
		ctx := context.Background()
		clock := clockwork.NewFakeClock()
		n := newNetwork()
		m := n.start("m01", func(o *membership.Options) {
			o.Seeds, o.Clock, o.Interval, o.FullMeshLimit = nil, clock, time.Hour, 1
		})
		update := func(state membership.State, sequence uint64) membership.MemberUpdate {
			return membership.MemberUpdate{Sequence: sequence, Member: membership.Member{ID: "m07", Incarnation: "1", PeerAddress: "m07", State: state}}
		}
		receive := func(updates ...membership.MemberUpdate) {
			from := membership.Member{ID: "m02", Incarnation: "1", PeerAddress: "m02", State: membership.Live}
			_, err := m.Receive(ctx, membership.Heartbeat{Sender: membership.MemberUpdate{Member: from, Sequence: 1}, Updates: updates})
			Expect(err).NotTo(HaveOccurred())
		}
		receive(update(membership.Live, 1))
		receive(update(membership.Suspected, 1))
		Expect(stateOf(m, "m07")()).To(Equal(membership.Live))
		clock.Advance(testSuspectAfter + time.Millisecond)
		receive()
		Expect(stateOf(m, "m07")()).To(Equal(membership.Suspected))
		receive(update(membership.Suspected, 1))
		receive(update(membership.Live, 2))
		Expect(stateOf(m, "m07")()).To(Equal(membership.Live))
	})
})
