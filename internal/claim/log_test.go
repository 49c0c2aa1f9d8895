package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/platform"
	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

// eventuallyTimeout is long enough for a slow machine.
const eventuallyTimeout = 20 * time.Second

// newLog starts a log that runs until the spec ends.
func newLog(o Options) *Log {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	o.Shards = lo.CoalesceOrEmpty(o.Shards, 1)
	o.AppendInterval = lo.CoalesceOrEmpty(o.AppendInterval, time.Millisecond)
	o.MaxRetryInterval = lo.CoalesceOrEmpty(o.MaxRetryInterval, 10*time.Millisecond)
	o.Incarnation = o.Daemon + "-1"
	l, err := New(ctx, o)
	Expect(err).NotTo(HaveOccurred())
	return l
}

func newClaim(request, key, digest string) Claim {
	return Claim{Workspace: "w", Key: key, Digest: digest, RequestID: request}
}

func mustClaim(l *Log, c Claim) (Outcome, Claim) {
	outcome, holder, err := l.Claim(context.Background(), c)
	Expect(err).NotTo(HaveOccurred())
	return outcome, holder
}

// expectHeldBy claims the key on l and expects it to be held by request.
func expectHeldBy(l *Log, key, request string) {
	outcome, holder := mustClaim(l, newClaim("probe", key, "d"))
	Expect(outcome).To(Equal(Held))
	Expect(holder.RequestID).To(Equal(request))
}

var _ = Describe("Log", func() {
	var (
		ctx    context.Context
		server *platformstandin.Server
		a, b   *Log
	)

	BeforeEach(func() {
		ctx = context.Background()
		server = platformstandin.New(platformstandin.Options{})
		a = newLog(Options{Store: server.Store(), Daemon: "a"})
		b = newLog(Options{Store: server.Store(), Daemon: "b"})
	})

	It("grants a key once across all daemons, and detects another body", func() {
		outcome, holder := mustClaim(a, newClaim("r1", "k", "d"))
		Expect(outcome).To(Equal(Granted))
		Expect(holder.Daemon).To(Equal("a"))
		Expect(holder.Incarnation).To(Equal("a-1"))
		expectHeldBy(a, "k", "r1")
		expectHeldBy(b, "k", "r1")
		outcome, holder = mustClaim(b, newClaim("r2", "k", "other"))
		Expect(outcome).To(Equal(Mismatched))
		Expect(holder.RequestID).To(Equal("r1"))
	})

	It("never grants a request twice, and separates workspaces", func() {
		outcome, _ := mustClaim(a, newClaim("r1", "k", "d"))
		Expect(outcome).To(Equal(Granted))
		outcome, _ = mustClaim(a, newClaim("r1", "k", "d"))
		Expect(outcome).To(Equal(Held))
		outcome, _ = mustClaim(a, Claim{Workspace: "w2", Key: "k", Digest: "d", RequestID: "r1"})
		Expect(outcome).To(Equal(Granted))
	})

	It("lets only the holder release", func() {
		_, holder := mustClaim(a, newClaim("r1", "k", "d"))
		b.Release(holder)
		other := holder
		other.RequestID = "r2"
		a.Release(other)
		expectHeldBy(a, "k", "r1")
		a.Release(holder)
		outcome, _ := mustClaim(a, newClaim("r3", "k", "d"))
		Expect(outcome).To(Equal(Granted))
		a.Release(holder)
		expectHeldBy(a, "k", "r3")
	})

	It("grants once when a reply is lost", func() {
		mustClaim(a, newClaim("warm", "warm", "d"))
		server.SetFaults(platformstandin.Faults{LoseReplies: 1})
		outcome, _ := mustClaim(a, newClaim("r1", "k", "d"))
		Expect(outcome).To(Equal(Granted))
		expectHeldBy(b, "k", "r1")
	})

	DescribeTable("refuses a claim as not run in an outage, and recovers", func(outage platformstandin.Outage) {
		mustClaim(a, newClaim("warm", "warm", "d"))
		server.SetFaults(platformstandin.Faults{Outage: outage})
		shortCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, _, err := a.Claim(shortCtx, newClaim("r1", "k", "d"))
		f := failure.From(err)
		Expect(f.Code).To(Equal(failure.PlatformUnavailable))
		Expect(f.Outcome).To(Equal(failure.NotRun))
		Expect(f.RetryAfter).To(BeNumerically(">", 0))
		server.SetFaults(platformstandin.Faults{})
		Eventually(func() Outcome {
			outcome, _, _ := a.Claim(ctx, newClaim("r2", "k", "d"))
			return outcome
		}).WithTimeout(eventuallyTimeout).Should(Equal(Granted))
	}, Entry("that refuses", platformstandin.OutageRefuse), Entry("that hangs", platformstandin.OutageHang))

	It("refuses claims that are already queued once the platform keeps failing", func() {
		longTimeout := newLog(Options{Store: server.Store(), Daemon: "c", Timeout: time.Hour, MaxRetryInterval: time.Second})
		mustClaim(longTimeout, newClaim("warm", "warm", "d"))
		server.SetFaults(platformstandin.Faults{Outage: platformstandin.OutageRefuse})
		refused := make(chan error, 1)
		go func() {
			_, _, err := longTimeout.Claim(ctx, newClaim("r1", "k", "d"))
			refused <- err
		}()
		var err error
		Eventually(refused).WithTimeout(eventuallyTimeout).Should(Receive(&err))
		Expect(failure.CodeOf(err)).To(Equal(failure.PlatformUnavailable))
		Expect(failure.From(err).Outcome).To(Equal(failure.NotRun))
	})

	It("frees a key whose claim was logged after its caller had timed out", func() {
		mustClaim(a, newClaim("warm", "warm", "d"))
		server.SetFaults(platformstandin.Faults{DelayMS: 200})
		shortCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, _, err := a.Claim(shortCtx, newClaim("r1", "k", "d"))
		Expect(failure.From(err).Outcome).To(Equal(failure.NotRun))
		server.SetFaults(platformstandin.Faults{})
		Eventually(func() map[string]bool { return loggedRequests(server) }).WithTimeout(eventuallyTimeout).Should(HaveKey("r1"))
		Eventually(func() Outcome {
			outcome, _ := mustClaim(b, newClaim("r2", "k", "d"))
			return outcome
		}).WithTimeout(eventuallyTimeout).Should(Equal(Granted))
	})

	It("claims despite stale reads", func() {
		mustClaim(b, newClaim("warm", "warm", "d"))
		outcome, _ := mustClaim(a, newClaim("r1", "k", "d"))
		Expect(outcome).To(Equal(Granted))
		for i := range 5 {
			mustClaim(a, newClaim("x", fmt.Sprint("x", i), "d"))
		}
		server.SetFaults(platformstandin.Faults{StaleMS: 50})
		expectHeldBy(b, "k", "r1")
	})

	It("refuses to claim with another number of shards", func() {
		mustClaim(a, newClaim("r1", "k", "d"))
		c := newLog(Options{Store: server.Store(), Daemon: "c", Shards: 2})
		_, _, err := c.Claim(ctx, newClaim("r2", "k", "d"))
		Expect(failure.CodeOf(err)).To(Equal(failure.Internal))
		Expect(failure.From(err).Outcome).To(Equal(failure.NotRun))
	})

	It("refuses a claim without a key and one that is too long", func() {
		for _, c := range []Claim{newClaim("r", "", "d"), newClaim("r", string(make([]byte, MaxClaimBytes)), "d")} {
			_, _, err := a.Claim(ctx, c)
			Expect(failure.CodeOf(err)).To(Equal(failure.InvalidRequest))
		}
	})

	It("claims within the platform's write rate limit", func() {
		mustClaim(a, newClaim("warm", "warm", "d"))
		server.SetFaults(platformstandin.Faults{WritesPerSecond: 10})
		results := make(chan Outcome, 100)
		for i := range 100 {
			go func() {
				outcome, _, _ := a.Claim(ctx, newClaim(fmt.Sprint("r", i), fmt.Sprint("k", i), "d"))
				results <- outcome
			}()
		}
		for range 100 {
			Expect(<-results).To(Equal(Granted))
		}
	})

	It("batches claims that arrive together", func() {
		slow := newLog(Options{Store: server.Store(), Daemon: "c", AppendInterval: 50 * time.Millisecond})
		mustClaim(slow, newClaim("warm", "warm", "d"))
		before := server.Stats()["update"]
		results := make(chan Outcome, 200)
		for i := range 200 {
			go func() {
				outcome, _, _ := slow.Claim(ctx, newClaim(fmt.Sprint("r", i), fmt.Sprint("k", i), "d"))
				results <- outcome
			}()
		}
		for range 200 {
			Expect(<-results).To(Equal(Granted))
		}
		Expect(server.Stats()["update"] - before).To(BeNumerically("<", 40))
	})
})

var _ = Describe("a paused writer", func() {
	It("loses to the appends made meanwhile, also when the log was compacted", func() {
		server := platformstandin.New(platformstandin.Options{})
		clock := specClock()
		store := &pausableStore{Store: server.Store()}
		options := Options{Store: store, Daemon: "a", Clock: clock, Retention: time.Hour, Timeout: eventuallyTimeout}
		a := newLog(options)
		options.Store, options.Daemon = server.Store(), "b"
		b := newLog(options)
		advanceEpoch := func() { clock.Advance(time.Hour / retentionEpochs) }
		mustClaim(a, newClaim("r0", "first", "d"))
		advanceEpoch()

		store.pause()
		resumed := make(chan Result, 1)
		go func() {
			outcome, holder, _ := a.Claim(context.Background(), newClaim("r1", "k", "d"))
			resumed <- Result{Outcome: outcome, Holder: holder}
		}()
		Eventually(func() int { a.shards[0].mu.Lock(); defer a.shards[0].mu.Unlock(); return len(a.shards[0].queue) }).Should(BeZero())
		for i := range 3 * retentionEpochs {
			advanceEpoch()
			mustClaim(b, newClaim("rb", fmt.Sprint("b", i), "d"))
		}
		advanceEpoch()
		outcome, _ := mustClaim(b, newClaim("r2", "first", "d"))
		Expect(outcome).To(Equal(Granted), "the first key has expired")
		advanceEpoch()
		outcome, _ = mustClaim(b, newClaim("r2", "k", "d"))
		Expect(outcome).To(Equal(Granted))
		store.resume()
		result := <-resumed
		Expect(result.Outcome).To(Equal(Held))
		Expect(result.Holder.RequestID).To(Equal("r2"))
	})

	It("sees that its grant is too old to dispatch", func() {
		clock := clockwork.NewFakeClock()
		l := newLog(Options{Store: platformstandin.New(platformstandin.Options{}).Store(), Daemon: "a", Clock: clock})
		outcome, holder := mustClaim(l, newClaim("r1", "k", "d"))
		Expect(outcome).To(Equal(Granted))
		Expect(holder.Fresh(clock.Now())).To(BeTrue())
		clock.Advance(DefaultMaxDispatchDelay)
		Expect(holder.Fresh(clock.Now())).To(BeFalse())
	})

	It("sees it by the wall clock alone, and without a deadline", func() {
		now := time.Now()
		c := Claim{Deadline: now.Add(time.Second)}
		Expect(c.Fresh(now)).To(BeTrue())
		Expect(c.Fresh(now.Round(0).Add(time.Minute))).To(BeFalse())
		Expect(Claim{}.Fresh(now)).To(BeFalse())
	})
})

var _ = Describe("compaction", func() {
	const claims = 2500

	var (
		server  *platformstandin.Server
		clock   *clockwork.FakeClock
		options Options
	)

	BeforeEach(func() {
		server = platformstandin.New(platformstandin.Options{})
		clock = specClock()
		options = Options{Store: server.Store(), Daemon: "a", Clock: clock, Retention: time.Hour}
	})

	objects := func() []platform.Object {
		list, err := server.Store().List(context.Background(), platform.ClaimCollection, headPrefix)
		Expect(err).NotTo(HaveOccurred())
		return list.Items
	}
	fill := func(l *Log, prefix string) {
		for i := range claims {
			clock.Advance(time.Millisecond)
			outcome, _ := mustClaim(l, newClaim(fmt.Sprint("r", i), fmt.Sprint(prefix, i), "d"))
			Expect(outcome).To(Equal(Granted))
		}
	}

	It("seals and merges, and still finds every key", func() {
		a := newLog(options)
		fill(a, "k")
		Eventually(func() int { return len(objects()) }).WithTimeout(eventuallyTimeout).Should(BeNumerically("<", 10))
		Expect(len(objects())).To(BeNumerically(">", 2))
		options.Daemon = "b"
		b := newLog(options)
		for i := 0; i < claims; i += 100 {
			clock.Advance(time.Millisecond)
			expectHeldBy(b, fmt.Sprint("k", i), fmt.Sprint("r", i))
		}
	})

	It("removes what has expired and nothing else", func() {
		a := newLog(options)
		fill(a, "k")
		for range retentionEpochs {
			clock.Advance(time.Hour / retentionEpochs)
			expectHeldBy(a, "k0", "r0")
		}
		Expect(len(objects())).To(BeNumerically(">", 2))
		for range 3 {
			clock.Advance(time.Hour / retentionEpochs)
			mustClaim(a, newClaim("x", "x", "d"))
		}
		Eventually(func() int { return len(objects()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
		clock.Advance(time.Second)
		outcome, _ := mustClaim(a, newClaim("r", "k0", "d"))
		Expect(outcome).To(Equal(Granted))
	})

	It("sweeps the segments that a crashed writer left unlinked", func() {
		a := newLog(options)
		mustClaim(a, newClaim("r", "k", "d"))
		unlinked := platform.Object{Collection: platform.ClaimCollection, Name: headName(0) + ".0.orphan"}
		_, err := server.Store().Create(context.Background(), unlinked)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(time.Hour / retentionEpochs)
		mustClaim(a, newClaim("r", "k2", "d"))
		Eventually(func() int { return len(objects()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
	})

	It("keeps a segment whose append is still uncertain", func() {
		s := newShard(newLog(options), 0) // Not running.
		s.installHead(&head{}, 5)
		s.unconfirmed = []segmentRef{{Name: "x"}}
		s.installHead(&head{}, 5)
		Expect(s.garbage).To(BeEmpty())
		s.installHead(&head{Segments: []segmentRef{{Name: "x"}}}, 6)
		Expect(s.garbage).To(BeEmpty())
		s.unconfirmed = []segmentRef{{Name: "y"}}
		s.installHead(&head{}, 7)
		Expect(s.garbage).To(Equal([]segmentRef{{Name: "y"}}))
	})

	It("waits for a segment that a stale read does not show", func() {
		a := newLog(options)
		fill(a, "k")
		missing := &hidingStore{Store: server.Store(), remaining: 3}
		b := newLog(Options{Store: missing, Daemon: "b", Retention: time.Hour})
		expectHeldBy(b, "k0", "r0")
		Expect(missing.remaining).To(BeZero())
	})
})
