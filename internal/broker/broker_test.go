package broker_test

import (
	"context"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routing"
	standin "github.com/primrosewell/primrosewell/internal/standin/platform"
	"github.com/primrosewell/primrosewell/internal/standin/relay"
)

// second is the stated bound on how long an ask may be blocked by a lost broker,
// with room for a slow machine.
const bound = 5 * time.Second

type answer struct {
	grant routing.Grant
	err   error
}

var lastAsk int

func newAsk() routing.PermitRequest {
	lastAsk++
	return routing.PermitRequest{
		ID: "ask-" + strconv.Itoa(lastAsk), Pool: pool, Workspace: "w", Weight: 1, Profile: "p", Class: "p", Tier: 1,
		Target: catalog.Target{FirstTokenMS: 60_000}, MaxWait: time.Minute,
	}
}

// acquire asks in the background.
func acquire(ctx context.Context, n *node) <-chan answer {
	out := make(chan answer, 1)
	ask := newAsk()
	go func() {
		g, err := n.broker.Acquire(ctx, ask)
		out <- answer{g, err}
	}()
	return out
}

func granted(c <-chan answer) routing.Grant {
	GinkgoHelper()
	var a answer
	Eventually(c, bound).Should(Receive(&a))
	Expect(a.err).NotTo(HaveOccurred())
	return a.grant
}

func report(g routing.Grant) routing.Report {
	return routing.Report{AttemptID: g.AttemptID, Pool: pool, Endpoint: g.Endpoint.Name, Result: routing.ResultCompleted, Elapsed: time.Second}
}

func running(n *node) int {
	for _, s := range n.broker.Stats() {
		if s.Pool == pool {
			return s.Running
		}
	}
	return -1
}

func waiting(n *node) int {
	for _, s := range n.broker.Stats() {
		if s.Pool == pool {
			return s.Waiting
		}
	}
	return -1
}

var _ = Describe("Broker", func() {
	ctx := context.Background()

	It("keeps one queue over all daemons and hands a slot on when it is released", func() {
		c := newCluster([]string{"a", "b", "c"}, clusterOptions{slots: "2"})
		first := granted(acquire(ctx, c.nodes[0]))
		granted(acquire(ctx, c.nodes[1]))
		third := acquire(ctx, c.nodes[2])
		Consistently(third, 300*time.Millisecond).ShouldNot(Receive())
		c.nodes[0].broker.Release(report(first))
		Expect(granted(third).Broker).To(HavePrefix(c.ranked()[0].id + "/"))
	})

	It("takes an ask out of the queue when its caller leaves", func() {
		c := newCluster([]string{"a", "b"}, clusterOptions{slots: "1"})
		ranked := c.ranked()
		granted(acquire(ctx, ranked[1]))
		bounded, cancel := context.WithCancel(ctx)
		left := acquire(bounded, ranked[1])
		Eventually(func() int { return waiting(ranked[0]) }, bound).Should(Equal(1))
		cancel()
		var a answer
		Eventually(left, bound).Should(Receive(&a))
		Expect(failure.From(a.err).Outcome).To(Equal(failure.NotRun))
		Eventually(func() int { return waiting(ranked[0]) }, bound).Should(Equal(0))
	})

	It("counts what runs already after the broker is lost", func() {
		c := newCluster([]string{"a", "b", "c"}, clusterOptions{slots: "3"})
		ranked := c.ranked()
		granted(acquire(ctx, ranked[1]))
		last := granted(acquire(ctx, ranked[2]))
		ranked[0].kill()
		Eventually(func() int { return running(ranked[1]) }, bound).Should(Equal(2))
		third := granted(acquire(ctx, ranked[2]))
		Expect(third.Broker).To(HavePrefix(ranked[1].id + "/"))
		fourth := acquire(ctx, ranked[1])
		Consistently(fourth, time.Second).ShouldNot(Receive())
		ranked[2].broker.Release(report(last))
		granted(fourth)
	})

	It("asks the next broker for those who waited at the lost one", func() {
		c := newCluster([]string{"a", "b", "c"}, clusterOptions{slots: "1"})
		ranked := c.ranked()
		held := granted(acquire(ctx, ranked[1]))
		waits := acquire(ctx, ranked[2])
		Eventually(func() int { return waiting(ranked[0]) }, bound).Should(Equal(1))
		ranked[0].kill()
		Eventually(func() int { return waiting(ranked[1]) }, bound).Should(Equal(1))
		ranked[1].broker.Release(report(held))
		Expect(granted(waits).Broker).To(HavePrefix(ranked[1].id + "/"))
	})

	It("hands the role over when the broker leaves, and refuses none who wait", func() {
		c := newCluster([]string{"a", "b", "c"}, clusterOptions{slots: "1"})
		ranked := c.ranked()
		held := granted(acquire(ctx, ranked[0]))
		waits := acquire(ctx, ranked[2])
		Eventually(func() int { return waiting(ranked[0]) }, bound).Should(Equal(1))
		ranked[0].members.Leave(ctx)
		Eventually(func() int { return running(ranked[1]) }, bound).Should(Equal(1))
		Consistently(waits, 300*time.Millisecond).ShouldNot(Receive())
		ranked[0].broker.Release(report(held))
		last := granted(waits)
		Expect(last.Broker).To(HavePrefix(ranked[1].id + "/"))
		ranked[2].broker.Release(report(last))
		Expect(granted(acquire(ctx, ranked[0])).Broker).To(HavePrefix(ranked[1].id + "/"))
	})

	DescribeTable("decides alone on its fraction when its calls do not reach the broker",
		func(d relay.Direction) {
			c := newCluster([]string{"a", "b", "c"}, clusterOptions{slots: "6", patient: true})
			ranked := c.ranked()
			c.mesh.Cut(ranked[2].id, ranked[0].address, d)
			for range 2 {
				Expect(granted(acquire(ctx, ranked[2])).Broker).To(HavePrefix(ranked[2].id + "/"))
			}
			third := acquire(ctx, ranked[2])
			Consistently(third, 300*time.Millisecond).ShouldNot(Receive())
			c.mesh.Cut(ranked[2].id, ranked[0].address, relay.None)
			Expect(granted(third).Broker).To(HavePrefix(ranked[0].id + "/"))
		},
		Entry("calls do not get out", relay.Forward),
		Entry("answers do not get back", relay.Backward),
	)

	It("frees the grants of a daemon that is gone", func() {
		c := newCluster([]string{"a", "b", "c"}, clusterOptions{slots: "1"})
		ranked := c.ranked()
		granted(acquire(ctx, ranked[2]))
		waits := acquire(ctx, ranked[1])
		ranked[2].kill()
		granted(waits)
	})

	It("frees a grant whose answer was lost on the way", func() {
		c := newCluster([]string{"a", "b"}, clusterOptions{slots: "1"})
		ranked := c.ranked()
		ask := newAsk()
		ask.Daemon = ranked[1].id
		_, err := ranked[0].broker.AcquireFor(ctx, ask)
		Expect(err).NotTo(HaveOccurred())
		var a answer
		Eventually(acquire(ctx, ranked[1]), 20*time.Second).Should(Receive(&a))
		Expect(a.err).NotTo(HaveOccurred())
	})

	It("gives no work to an endpoint that the platform lists as leaving", func() {
		vms := []platform.VM{{Name: "vm1", Address: "192.0.2.1", Role: "endpoint", State: platform.VMLive}}
		p := standin.New(standin.Options{})
		p.SetVMs(vms, 0)
		c := newCluster([]string{"a", "b"}, clusterOptions{slots: "4", store: p.Store()})
		granted(acquire(ctx, c.nodes[0]))
		vms[0].State = platform.VMLeaving
		p.SetVMs(vms, 0)
		Eventually(func() failure.Code {
			_, err := c.nodes[1].broker.Acquire(ctx, newAsk())
			return failure.CodeOf(err)
		}, 3*time.Second).Should(Equal(failure.NoEndpoint))
	})

	It("gives no work to an endpoint that says itself that it is leaving", func() {
		c := newCluster([]string{"a", "b"}, clusterOptions{slots: "4", loads: leavingLoads{}})
		Eventually(func() failure.Code {
			_, err := c.nodes[1].broker.Acquire(ctx, newAsk())
			return failure.CodeOf(err)
		}, 3*time.Second).Should(Equal(failure.NoEndpoint))
	})
})

type leavingLoads struct{}

func (leavingLoads) Load(_ context.Context, e catalog.Endpoint) (routing.Load, error) {
	return routing.Load{Endpoint: e.Name, Leaving: true}, nil
}

var _ = Describe("Rank", func() {
	It("moves only the pools of a member that goes", func() {
		members := []membership.Member{{ID: "a", State: membership.Live}, {ID: "b", State: membership.Live}, {ID: "c", State: membership.Live}}
		for i := range 100 {
			name := "pool-" + strconv.Itoa(i)
			before := membership.Rank(name, members)
			first, ok := membership.TopRanked(name, members)
			Expect(ok).To(BeTrue())
			Expect(before[0]).To(Equal(first))
			after := membership.Rank(name, members[:2])
			if before[0].ID != "c" {
				Expect(after[0]).To(Equal(before[0]))
			} else {
				Expect(after[0]).To(Equal(before[1]))
			}
		}
	})
})
