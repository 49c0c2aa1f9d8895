package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/platform"
	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

// localForwarder forwards to a log in the same process.
type localForwarder struct {
	to *Log
	// lostReplies is how many of the next replies are lost.
	lostReplies  atomic.Int64
	afterServe   func()
	alterResults func([]Result)
}

func (d *localForwarder) Local(int) bool { return false }

func (d *localForwarder) Forward(ctx context.Context, _ int, claims []Claim) ([]Result, error) {
	results, err := d.to.Serve(ctx, claims)
	if d.afterServe != nil {
		d.afterServe()
	}
	if d.lostReplies.Add(-1) >= 0 {
		return nil, oops.Errorf("reply lost")
	}
	if d.alterResults != nil {
		d.alterResults(results)
	}
	return results, err
}

var _ = Describe("forwarding", func() {
	var (
		server  *platformstandin.Server
		writer  *Log
		forward *localForwarder
		origin  *Log
	)

	BeforeEach(func() {
		server = platformstandin.New(platformstandin.Options{})
		writer = newLog(Options{Store: server.Store(), Daemon: "writer"})
		forward = &localForwarder{to: writer}
		origin = newLog(Options{Store: server.Store(), Daemon: "origin", Forwarder: forward})
		forward.lostReplies.Store(0)
		mustClaim(origin, newClaim("warm", "warm", "d"))
	})

	It("has the usual writer append, and the origin hold the claim", func() {
		outcome, holder := mustClaim(origin, newClaim("r1", "k", "d"))
		Expect(outcome).To(Equal(Granted))
		Expect(holder.Daemon).To(Equal("origin"))
		Expect(holder.Fresh(time.Now())).To(BeTrue())
		Expect(origin.shards[0].version).To(BeZero())
		expectHeldBy(origin, "k", "r1")
		expectHeldBy(writer, "k", "r1")
		origin.Release(holder)
		Eventually(func() Outcome {
			outcome, _ := mustClaim(writer, newClaim("r2", "k", "d"))
			return outcome
		}).WithTimeout(eventuallyTimeout).Should(Equal(Granted))
	})

	It("grants once when the reply of the usual writer is lost", func() {
		forward.lostReplies.Store(1)
		outcome, _ := mustClaim(origin, newClaim("r1", "k", "d"))
		Expect(outcome).To(Equal(Granted))
		expectHeldBy(writer, "k", "r1")
	})

	DescribeTable("never has the usual writer release the claim of an origin that decided locally", func(lostReplies int) {
		server.SetFaults(platformstandin.Faults{DelayMS: 50, LoseReplies: lostReplies})
		forwarder := &localForwarder{to: writer}
		c := newLog(Options{Store: server.Store(), Daemon: "c", Forwarder: timeoutForwarder{forwarder}})
		outcome, holder, err := c.Claim(context.Background(), newClaim("r1", "k", "d"))
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome).To(Equal(Granted))
		Expect(holder.Daemon).To(Equal("c"))
		server.SetFaults(platformstandin.Faults{})
		for i := range 20 {
			mustClaim(writer, newClaim("x", fmt.Sprint("x", i), "d"))
			expectHeldBy(writer, "k", "r1")
		}
	}, Entry("while its append is slow", 0), Entry("after the reply to its append was lost", 1))

	It("frees a key whose forwarded claim is logged after its origin has timed out", func() {
		gate := &pausableStore{Store: server.Store()}
		slow := newLog(Options{Store: gate, Daemon: "slow"})
		origin := newLog(Options{Store: server.Store(), Daemon: "o2", Forwarder: &localForwarder{to: slow}, Timeout: 300 * time.Millisecond})
		mustClaim(slow, newClaim("warm", "warm2", "d"))
		gate.pause()
		shortCtx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, _, err := origin.Claim(shortCtx, newClaim("r1", "k", "d"))
		Expect(failure.From(err).Outcome).To(Equal(failure.NotRun))
		Eventually(func() map[string]bool { return loggedRequests(server) }).WithTimeout(eventuallyTimeout).Should(HaveKey("r1"), "revoked by the origin")
		gate.resume()
		mustClaim(slow, newClaim("x", "x", "d"))
		outcome, _ := mustClaim(writer, newClaim("r2", "k", "d"))
		Expect(outcome).To(Equal(Granted))
	})

	DescribeTable("does not grant a forwarded claim that arrives after its origin has decided", func(decide func(origin, other *Log, transit *delayedForwarder)) {
		transit := &delayedForwarder{}
		origin := newLog(Options{Store: server.Store(), Daemon: "o2", Forwarder: transit})
		other := newLog(Options{Store: server.Store(), Daemon: "other"})
		decide(origin, other, transit)
		_, last := mustClaim(other, newClaim("last", "k", "d"))
		other.Release(last)
		mustClaim(other, newClaim("after", "after", "d")) // Appended after the release.
		for _, claims := range transit.delayed() {
			_, _ = writer.Serve(context.Background(), claims)
		}
		outcome, holder := mustClaim(writer, newClaim("next", "k", "d"))
		Expect(outcome).To(Equal(Granted), "held by %s", holder.RequestID)
	},
		Entry("that its caller no longer waits for it", func(origin, _ *Log, transit *delayedForwarder) {
			mustClaim(origin, newClaim("warm", "warm2", "d"))
			ctx, cancel := context.WithCancel(context.Background())
			left := make(chan struct{})
			transit.onForward = func() { cancel(); <-left }
			_, _, err := origin.Claim(ctx, newClaim("r1", "k", "d"))
			Expect(failure.CodeOf(err)).To(Equal(failure.ClientGone))
			transit.onForward = nil
			close(left)
			mustClaim(origin, newClaim("r2", "other", "d"))
		}),
		Entry("that another request holds the key", func(origin, other *Log, _ *delayedForwarder) {
			_, holder := mustClaim(other, newClaim("holder", "k", "d"))
			expectHeldBy(origin, "k", "holder")
			other.Release(holder)
			mustClaim(other, newClaim("released", "released", "d"))
		}),
		Entry("to hold the key, and has released it", func(origin, _ *Log, _ *delayedForwarder) {
			outcome, holder := mustClaim(origin, newClaim("r1", "k", "d"))
			Expect(outcome).To(Equal(Granted))
			origin.Release(holder)
			mustClaim(origin, newClaim("r2", "other", "d"))
		}),
	)

	It("grants a later forwarded claim of an origin whose earlier one was lost", func() {
		forward.lostReplies.Store(1)
		mustClaim(origin, newClaim("r1", "k1", "d"))
		outcome, _ := mustClaim(origin, newClaim("r2", "k2", "d"))
		Expect(outcome).To(Equal(Granted))
		expectHeldBy(writer, "k2", "r2")
	})

	DescribeTable("decides locally when a result does not fit the claim", func(alterResults func([]Result)) {
		forward.alterResults = alterResults
		outcome, _ := mustClaim(origin, newClaim("r1", "k", "d"))
		Expect(outcome).To(Equal(Granted))
		forward.alterResults = nil
		expectHeldBy(writer, "k", "r1")
	},
		Entry("granted to another", func(a []Result) { a[0].Holder.Nonce++ }),
		Entry("about another key", func(a []Result) { a[0].Holder.Key = "other" }),
		Entry("with an unknown outcome", func(a []Result) { a[0].Outcome = "" }),
	)

	It("refuses a forwarded claim without a nonce", func() {
		_, err := writer.Serve(context.Background(), []Claim{{Workspace: "w", Key: "k", Digest: "d", RequestID: "r", Incarnation: "i"}})
		Expect(failure.CodeOf(err)).To(Equal(failure.InvalidRequest))
	})

	It("appends to the log itself when the usual writer can not reach the platform", func() {
		down := platformstandin.New(platformstandin.Options{})
		down.SetFaults(platformstandin.Faults{Outage: platformstandin.OutageRefuse})
		disconnected := newLog(Options{Store: down.Store(), Daemon: "cut", Timeout: 100 * time.Millisecond})
		c := newLog(Options{Store: server.Store(), Daemon: "c", Forwarder: &localForwarder{to: disconnected}})
		outcome, _ := mustClaim(c, newClaim("r1", "k", "d"))
		Expect(outcome).To(Equal(Granted))
	})
})

// delayedForwarder keeps the claims in transit, beyond the end of the call.
type delayedForwarder struct {
	onForward func()
	mu        sync.Mutex
	transit   [][]Claim
}

func (*delayedForwarder) Local(int) bool { return false }

func (d *delayedForwarder) Forward(_ context.Context, _ int, claims []Claim) ([]Result, error) {
	if d.onForward != nil {
		d.onForward()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.transit = append(d.transit, claims)
	return nil, context.DeadlineExceeded
}

func (d *delayedForwarder) delayed() [][]Claim {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.transit
}

// timeoutForwarder ends each call early, while the usual writer still works on it.
type timeoutForwarder struct{ *localForwarder }

func (c timeoutForwarder) Forward(ctx context.Context, shard int, claims []Claim) ([]Result, error) {
	shortCtx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	return c.localForwarder.Forward(shortCtx, shard, claims)
}

var _ platform.Store = &pausableStore{}
