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

// maxBlocked is the longest time that a lost broker may block a permit request: about a
// second, with margin for a slow machine.
const maxBlocked = 5 * time.Second

type acquireResult struct {
	grant routing.Grant
	err   error
}

var lastRequest int

func newRequest() routing.PermitRequest {
	lastRequest++
	return routing.PermitRequest{
		ID: "ask-" + strconv.Itoa(lastRequest), Pool: pool, Workspace: "w", Weight: 1, Profile: "p", Class: "p", Tier: 1,
		Target: catalog.Target{FirstTokenMS: 60_000}, MaxWait: time.Minute,
	}
}

// acquireAsync requests a permit in the background.
func acquireAsync(ctx context.Context, n *node) <-chan acquireResult {
	out := make(chan acquireResult, 1)
	request := newRequest()
	go func() {
		g, err := n.broker.Acquire(ctx, request)
		out <- acquireResult{g, err}
	}()
	return out
}

func expectGrant(c <-chan acquireResult) routing.Grant {
	GinkgoHelper()
	var result acquireResult
	Eventually(c, maxBlocked).Should(Receive(&result))
	Expect(result.err).NotTo(HaveOccurred())
	return result.grant
}

func completedReport(g routing.Grant) routing.Report {
	return routing.Report{AttemptID: g.AttemptID, Pool: pool, Endpoint: g.Endpoint.Name, Result: routing.ResultCompleted, Elapsed: time.Second}
}

func runningCount(n *node) int {
	for _, s := range n.broker.Stats() {
		if s.Pool == pool {
			return s.Running
		}
	}
	return -1
}

func waitingCount(n *node) int {
	for _, s := range n.broker.Stats() {
		if s.Pool == pool {
			return s.Waiting
		}
	}
	return -1
}

var _ = Describe("Broker", func() {
	ctx := context.Background()

	It("shares one queue among all daemons and grants a released slot to a waiting request", func() {
		c := newCluster([]string{"a", "b", "c"}, clusterOptions{slots: "2"})
		first := expectGrant(acquireAsync(ctx, c.nodes[0]))
		expectGrant(acquireAsync(ctx, c.nodes[1]))
		third := acquireAsync(ctx, c.nodes[2])
		Consistently(third, 300*time.Millisecond).ShouldNot(Receive())
		c.nodes[0].broker.Release(completedReport(first))
		Expect(expectGrant(third).Broker).To(HavePrefix(c.ranked()[0].id + "/"))
	})

	It("removes a permit request from the queue when its caller disconnects", func() {
		c := newCluster([]string{"a", "b"}, clusterOptions{slots: "1"})
		ranked := c.ranked()
		expectGrant(acquireAsync(ctx, ranked[1]))
		bounded, cancel := context.WithCancel(ctx)
		cancelled := acquireAsync(bounded, ranked[1])
		Eventually(func() int { return waitingCount(ranked[0]) }, maxBlocked).Should(Equal(1))
		cancel()
		var result acquireResult
		Eventually(cancelled, maxBlocked).Should(Receive(&result))
		Expect(failure.From(result.err).Outcome).To(Equal(failure.NotRun))
		Eventually(func() int { return waitingCount(ranked[0]) }, maxBlocked).Should(Equal(0))
	})

	It("counts running grants on the new broker after the broker is lost", func() {
		c := newCluster([]string{"a", "b", "c"}, clusterOptions{slots: "3"})
		ranked := c.ranked()
		expectGrant(acquireAsync(ctx, ranked[1]))
		last := expectGrant(acquireAsync(ctx, ranked[2]))
		ranked[0].kill()
		Eventually(func() int { return runningCount(ranked[1]) }, maxBlocked).Should(Equal(2))
		third := expectGrant(acquireAsync(ctx, ranked[2]))
		Expect(third.Broker).To(HavePrefix(ranked[1].id + "/"))
		fourth := acquireAsync(ctx, ranked[1])
		Consistently(fourth, time.Second).ShouldNot(Receive())
		ranked[2].broker.Release(completedReport(last))
		expectGrant(fourth)
	})

	It("resubmits requests that waited at a lost broker to the next one", func() {
		c := newCluster([]string{"a", "b", "c"}, clusterOptions{slots: "1"})
		ranked := c.ranked()
		held := expectGrant(acquireAsync(ctx, ranked[1]))
		pending := acquireAsync(ctx, ranked[2])
		Eventually(func() int { return waitingCount(ranked[0]) }, maxBlocked).Should(Equal(1))
		ranked[0].kill()
		Eventually(func() int { return waitingCount(ranked[1]) }, maxBlocked).Should(Equal(1))
		ranked[1].broker.Release(completedReport(held))
		Expect(expectGrant(pending).Broker).To(HavePrefix(ranked[1].id + "/"))
	})

	It("hands the role over when the broker leaves, without refusing waiting requests", func() {
		c := newCluster([]string{"a", "b", "c"}, clusterOptions{slots: "1"})
		ranked := c.ranked()
		held := expectGrant(acquireAsync(ctx, ranked[0]))
		pending := acquireAsync(ctx, ranked[2])
		Eventually(func() int { return waitingCount(ranked[0]) }, maxBlocked).Should(Equal(1))
		ranked[0].members.Leave(ctx)
		Eventually(func() int { return runningCount(ranked[1]) }, maxBlocked).Should(Equal(1))
		Consistently(pending, 300*time.Millisecond).ShouldNot(Receive())
		ranked[0].broker.Release(completedReport(held))
		last := expectGrant(pending)
		Expect(last.Broker).To(HavePrefix(ranked[1].id + "/"))
		ranked[2].broker.Release(completedReport(last))
		Expect(expectGrant(acquireAsync(ctx, ranked[0])).Broker).To(HavePrefix(ranked[1].id + "/"))
	})

	DescribeTable("decides locally within its share of the slots while its calls to the broker fail",
		func(d relay.Direction) {
			c := newCluster([]string{"a", "b", "c"}, clusterOptions{slots: "6", longSuspectTimeout: true})
			ranked := c.ranked()
			c.mesh.Cut(ranked[2].id, ranked[0].address, d)
			for range 2 {
				Expect(expectGrant(acquireAsync(ctx, ranked[2])).Broker).To(HavePrefix(ranked[2].id + "/"))
			}
			third := acquireAsync(ctx, ranked[2])
			Consistently(third, 300*time.Millisecond).ShouldNot(Receive())
			c.mesh.Cut(ranked[2].id, ranked[0].address, relay.None)
			Expect(expectGrant(third).Broker).To(HavePrefix(ranked[0].id + "/"))
		},
		Entry("requests are lost", relay.Forward),
		Entry("responses are lost", relay.Backward),
	)

	It("frees the grants of a killed daemon", func() {
		c := newCluster([]string{"a", "b", "c"}, clusterOptions{slots: "1"})
		ranked := c.ranked()
		expectGrant(acquireAsync(ctx, ranked[2]))
		pending := acquireAsync(ctx, ranked[1])
		ranked[2].kill()
		expectGrant(pending)
	})

	It("frees a grant whose response was lost in transit", func() {
		c := newCluster([]string{"a", "b"}, clusterOptions{slots: "1"})
		ranked := c.ranked()
		request := newRequest()
		request.Daemon = ranked[1].id
		_, err := ranked[0].broker.AcquireFor(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		var result acquireResult
		Eventually(acquireAsync(ctx, ranked[1]), 20*time.Second).Should(Receive(&result))
		Expect(result.err).NotTo(HaveOccurred())
	})

	It("makes no grants on an endpoint that the platform lists as leaving", func() {
		vms := []platform.VM{{Name: "vm1", Address: "192.0.2.1", Role: "endpoint", State: platform.VMLive}}
		p := standin.New(standin.Options{})
		p.SetVMs(vms, 0)
		c := newCluster([]string{"a", "b"}, clusterOptions{slots: "4", store: p.Store()})
		expectGrant(acquireAsync(ctx, c.nodes[0]))
		vms[0].State = platform.VMLeaving
		p.SetVMs(vms, 0)
		Eventually(func() failure.Code {
			_, err := c.nodes[1].broker.Acquire(ctx, newRequest())
			return failure.CodeOf(err)
		}, 3*time.Second).Should(Equal(failure.NoEndpoint))
	})

	It("makes no grants on an endpoint whose load report says that it is leaving", func() {
		c := newCluster([]string{"a", "b"}, clusterOptions{slots: "4", loads: leavingLoads{}})
		Eventually(func() failure.Code {
			_, err := c.nodes[1].broker.Acquire(ctx, newRequest())
			return failure.CodeOf(err)
		}, 3*time.Second).Should(Equal(failure.NoEndpoint))
	})
})

type leavingLoads struct{}

func (leavingLoads) Load(_ context.Context, e catalog.Endpoint) (routing.Load, error) {
	return routing.Load{Endpoint: e.Name, Leaving: true}, nil
}

var _ = Describe("Rank", func() {
	It("reassigns only the pools of a removed member", func() {
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
