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
	It("suspects a member that is killed, then forgets it", func() {
		n := newNetwork()
		m := n.startMany(3)
		n.kill("m01")
		others := []*membership.Membership{m[0], m[2]}
		for _, other := range others {
			Eventually(stateOf(other, "m01"), bound).Should(Equal(membership.Suspected))
		}
		for _, other := range others {
			Eventually(stateOf(other, "m01"), bound).Should(BeEmpty())
		}
	})

	It("suspects a frozen member, which knows of its own lapse when it wakes", func() {
		n := newNetwork()
		n.startMany(2)
		clock := clockwork.NewFakeClock()
		lapses := make(chan time.Duration, 16)
		n.start("frozen", func(o *membership.Options) {
			o.Clock = clock
			o.OnSuspension = func(gap time.Duration) { lapses <- gap }
		})
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		Eventually(stateOf(n.nodes["m00"], "frozen"), bound).Should(Equal(membership.Live))
		n.freeze("frozen", true)
		Eventually(stateOf(n.nodes["m00"], "frozen"), bound).Should(Equal(membership.Suspected))
		Expect(lapses).NotTo(Receive())
		n.freeze("frozen", false)
		clock.Advance(testInterval + 5*time.Second)
		Eventually(lapses, bound).Should(Receive(BeNumerically(">", 5*time.Second)))
		Eventually(stateOf(n.nodes["m00"], "frozen"), bound).Should(Equal(membership.Live))
	})

	It("shows a cut in one direction to both ends, and to them alone", func() {
		n := newNetwork()
		m := n.startMany(3)
		n.setCut("m01", "m02", true)
		Eventually(stateOf(m[1], "m02"), bound).Should(Equal(membership.Suspected))
		Eventually(stateOf(m[2], "m01"), bound).Should(Equal(membership.Suspected))
		Consistently(func() int { return len(live(m[0])) }, 3*testSuspect).Should(Equal(3))
		n.setCut("m01", "m02", false)
		Eventually(stateOf(m[1], "m02"), bound).Should(Equal(membership.Live))
		Eventually(stateOf(m[2], "m01"), bound).Should(Equal(membership.Live))
	})

	It("lets a VM of the same name, new at another address, take the place of the old one", func() {
		n := newNetwork()
		n.startMany(2)
		var told atomic.Bool
		first := n.start("vm", func(o *membership.Options) {
			o.Self.PeerAddress, o.Self.Incarnation = "old", "1"
			o.OnSuperseded = func() { told.Store(true) }
		})
		Eventually(stateOf(n.nodes["m00"], "vm"), bound).Should(Equal(membership.Live))
		n.freeze("old", true)
		n.start("vm", func(o *membership.Options) { o.Self.PeerAddress, o.Self.Incarnation = "new", "2" })
		address := func() string {
			x, _ := lo.Find(n.nodes["m00"].Members(), func(x membership.Member) bool { return x.ID == "vm" })
			return x.PeerAddress + " " + string(x.State)
		}
		Eventually(address, bound).Should(Equal("new live"))
		n.freeze("old", false)
		Eventually(told.Load, bound).Should(BeTrue())
		Expect(first.Self().State).To(Equal(membership.Leaving))
		Consistently(address, 3*testSuspect).Should(Equal("new live"))
	})

	It("has told everyone of its leaving when Leave returns", func() {
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

	It("takes the platform's list as a seed only", func() {
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
		late := n.start("unlisted", listed("127.0.0.1:9"))
		Eventually(func() []string { return live(late) }, bound).Should(Equal([]string{"m00", "unlisted"}))
		Consistently(func() int { return len(late.Members()) }, 3*testSuspect).Should(Equal(2))
	})

	It("spreads what is new above the full mesh, and does not drop a member that one other can not reach", func() {
		n := newNetwork()
		sparse := func(o *membership.Options) { o.FullMeshLimit = 4 }
		m := n.startMany(24, sparse)
		n.setCut("m05", "m06", true)
		n.kill("m07")
		alive := append(m[:7:7], m[8:]...)
		for _, x := range alive {
			Eventually(stateOf(x, "m07"), bound).ShouldNot(Equal(membership.Live))
		}
		Consistently(func() bool {
			return lo.EveryBy(alive, func(x *membership.Membership) bool {
				return x.Self().ID == "m05" || stateOf(x, "m06")() == membership.Live
			})
		}, 4*testSuspect).Should(BeTrue())
		n.start("m99", sparse)
		for _, x := range alive {
			Eventually(stateOf(x, "m99"), bound).Should(Equal(membership.Live))
		}
	})

	It("believes a rumour of suspicion that is not contradicted in time", func() {
		ctx := context.Background()
		clock := clockwork.NewFakeClock()
		n := newNetwork()
		m := n.start("m01", func(o *membership.Options) {
			o.Seeds, o.Clock, o.Interval, o.FullMeshLimit = nil, clock, time.Hour, 1
		})
		fact := func(state membership.State, sequence uint64) membership.MemberUpdate {
			return membership.MemberUpdate{Sequence: sequence, Member: membership.Member{ID: "m07", Incarnation: "1", PeerAddress: "m07", State: state}}
		}
		told := func(facts ...membership.MemberUpdate) {
			from := membership.Member{ID: "m02", Incarnation: "1", PeerAddress: "m02", State: membership.Live}
			_, err := m.Receive(ctx, membership.Heartbeat{Sender: membership.MemberUpdate{Member: from, Sequence: 1}, Updates: facts})
			Expect(err).NotTo(HaveOccurred())
		}
		told(fact(membership.Live, 1))
		told(fact(membership.Suspected, 1))
		Expect(stateOf(m, "m07")()).To(Equal(membership.Live))
		clock.Advance(testSuspect + time.Millisecond)
		told()
		Expect(stateOf(m, "m07")()).To(Equal(membership.Suspected))
		told(fact(membership.Suspected, 1))
		told(fact(membership.Live, 2))
		Expect(stateOf(m, "m07")()).To(Equal(membership.Live))
	})
})
