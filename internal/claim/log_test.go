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

// patience bounds what has to happen soon, on any machine.
const patience = 20 * time.Second

// newLog starts a log that ends with the spec.
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

func aClaim(request, key, digest string) Claim {
	return Claim{Workspace: "w", Key: key, Digest: digest, RequestID: request}
}

func mustClaim(l *Log, c Claim) (Outcome, Claim) {
	verdict, holder, err := l.Claim(context.Background(), c)
	Expect(err).NotTo(HaveOccurred())
	return verdict, holder
}

// expectHeldBy claims on l and expects to find the key held by request.
func expectHeldBy(l *Log, key, request string) {
	verdict, holder := mustClaim(l, aClaim("probe", key, "d"))
	Expect(verdict).To(Equal(Held))
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

	It("grants a key once over all daemons, and tells another body apart", func() {
		verdict, holder := mustClaim(a, aClaim("r1", "k", "d"))
		Expect(verdict).To(Equal(Granted))
		Expect(holder.Daemon).To(Equal("a"))
		Expect(holder.Incarnation).To(Equal("a-1"))
		expectHeldBy(a, "k", "r1")
		expectHeldBy(b, "k", "r1")
		verdict, holder = mustClaim(b, aClaim("r2", "k", "other"))
		Expect(verdict).To(Equal(Mismatched))
		Expect(holder.RequestID).To(Equal("r1"))
	})

	It("never grants a request twice, and keeps workspaces apart", func() {
		verdict, _ := mustClaim(a, aClaim("r1", "k", "d"))
		Expect(verdict).To(Equal(Granted))
		verdict, _ = mustClaim(a, aClaim("r1", "k", "d"))
		Expect(verdict).To(Equal(Held))
		verdict, _ = mustClaim(a, Claim{Workspace: "w2", Key: "k", Digest: "d", RequestID: "r1"})
		Expect(verdict).To(Equal(Granted))
	})

	It("lets only the holder release", func() {
		_, holder := mustClaim(a, aClaim("r1", "k", "d"))
		b.Release(holder)
		other := holder
		other.RequestID = "r2"
		a.Release(other)
		expectHeldBy(a, "k", "r1")
		a.Release(holder)
		verdict, _ := mustClaim(a, aClaim("r3", "k", "d"))
		Expect(verdict).To(Equal(Granted))
		a.Release(holder)
		expectHeldBy(a, "k", "r3")
	})

	It("grants through a lost reply, once", func() {
		mustClaim(a, aClaim("warm", "warm", "d"))
		server.SetFaults(platformstandin.Faults{LoseReplies: 1})
		verdict, _ := mustClaim(a, aClaim("r1", "k", "d"))
		Expect(verdict).To(Equal(Granted))
		expectHeldBy(b, "k", "r1")
	})

	DescribeTable("refuses truthfully in an outage and recovers", func(outage platformstandin.Outage) {
		mustClaim(a, aClaim("warm", "warm", "d"))
		server.SetFaults(platformstandin.Faults{Outage: outage})
		brief, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, _, err := a.Claim(brief, aClaim("r1", "k", "d"))
		f := failure.From(err)
		Expect(f.Code).To(Equal(failure.PlatformUnavailable))
		Expect(f.Outcome).To(Equal(failure.NotRun))
		Expect(f.RetryAfter).To(BeNumerically(">", 0))
		server.SetFaults(platformstandin.Faults{})
		Eventually(func() Outcome {
			verdict, _, _ := a.Claim(ctx, aClaim("r2", "k", "d"))
			return verdict
		}).WithTimeout(patience).Should(Equal(Granted))
	}, Entry("that refuses", platformstandin.OutageRefuse), Entry("that hangs", platformstandin.OutageHang))

	It("refuses those that wait already once the platform keeps failing", func() {
		patient := newLog(Options{Store: server.Store(), Daemon: "c", Timeout: time.Hour, MaxRetryInterval: time.Second})
		mustClaim(patient, aClaim("warm", "warm", "d"))
		server.SetFaults(platformstandin.Faults{Outage: platformstandin.OutageRefuse})
		refused := make(chan error, 1)
		go func() {
			_, _, err := patient.Claim(ctx, aClaim("r1", "k", "d"))
			refused <- err
		}()
		var err error
		Eventually(refused).WithTimeout(patience).Should(Receive(&err))
		Expect(failure.CodeOf(err)).To(Equal(failure.PlatformUnavailable))
		Expect(failure.From(err).Outcome).To(Equal(failure.NotRun))
	})

	It("frees a key whose claim landed after its caller had left", func() {
		mustClaim(a, aClaim("warm", "warm", "d"))
		server.SetFaults(platformstandin.Faults{DelayMS: 200})
		brief, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, _, err := a.Claim(brief, aClaim("r1", "k", "d"))
		Expect(failure.From(err).Outcome).To(Equal(failure.NotRun))
		server.SetFaults(platformstandin.Faults{})
		Eventually(func() map[string]bool { return landed(server) }).WithTimeout(patience).Should(HaveKey("r1"))
		Eventually(func() Outcome {
			verdict, _ := mustClaim(b, aClaim("r2", "k", "d"))
			return verdict
		}).WithTimeout(patience).Should(Equal(Granted))
	})

	It("claims through stale readings", func() {
		mustClaim(b, aClaim("warm", "warm", "d"))
		verdict, _ := mustClaim(a, aClaim("r1", "k", "d"))
		Expect(verdict).To(Equal(Granted))
		for i := range 5 {
			mustClaim(a, aClaim("x", fmt.Sprint("x", i), "d"))
		}
		server.SetFaults(platformstandin.Faults{StaleMS: 50})
		expectHeldBy(b, "k", "r1")
	})

	It("refuses to claim with another number of shards", func() {
		mustClaim(a, aClaim("r1", "k", "d"))
		c := newLog(Options{Store: server.Store(), Daemon: "c", Shards: 2})
		_, _, err := c.Claim(ctx, aClaim("r2", "k", "d"))
		Expect(failure.CodeOf(err)).To(Equal(failure.Internal))
		Expect(failure.From(err).Outcome).To(Equal(failure.NotRun))
	})

	It("refuses a claim without a key and one that is too long", func() {
		for _, c := range []Claim{aClaim("r", "", "d"), aClaim("r", string(make([]byte, MaxClaimBytes)), "d")} {
			_, _, err := a.Claim(ctx, c)
			Expect(failure.CodeOf(err)).To(Equal(failure.InvalidRequest))
		}
	})

	It("claims within the platform's rate of writes", func() {
		mustClaim(a, aClaim("warm", "warm", "d"))
		server.SetFaults(platformstandin.Faults{WritesPerSecond: 10})
		results := make(chan Outcome, 100)
		for i := range 100 {
			go func() {
				verdict, _, _ := a.Claim(ctx, aClaim(fmt.Sprint("r", i), fmt.Sprint("k", i), "d"))
				results <- verdict
			}()
		}
		for range 100 {
			Expect(<-results).To(Equal(Granted))
		}
	})

	It("batches claims that come together", func() {
		slow := newLog(Options{Store: server.Store(), Daemon: "c", AppendInterval: 50 * time.Millisecond})
		mustClaim(slow, aClaim("warm", "warm", "d"))
		before := server.Stats()["update"]
		results := make(chan Outcome, 200)
		for i := range 200 {
			go func() {
				verdict, _, _ := slow.Claim(ctx, aClaim(fmt.Sprint("r", i), fmt.Sprint("k", i), "d"))
				results <- verdict
			}()
		}
		for range 200 {
			Expect(<-results).To(Equal(Granted))
		}
		Expect(server.Stats()["update"] - before).To(BeNumerically("<", 40))
	})
})

var _ = Describe("a paused writer", func() {
	It("loses to what happened meanwhile, also when the log was compacted", func() {
		server := platformstandin.New(platformstandin.Options{})
		clock := specClock()
		store := &pausable{Store: server.Store()}
		options := Options{Store: store, Daemon: "a", Clock: clock, Retention: time.Hour, Timeout: patience}
		a := newLog(options)
		options.Store, options.Daemon = server.Store(), "b"
		b := newLog(options)
		tick := func() { clock.Advance(time.Hour / epochsKept) }
		mustClaim(a, aClaim("r0", "first", "d"))
		tick()

		store.pause()
		woken := make(chan Result, 1)
		go func() {
			verdict, holder, _ := a.Claim(context.Background(), aClaim("r1", "k", "d"))
			woken <- Result{Outcome: verdict, Holder: holder}
		}()
		Eventually(func() int { a.shards[0].mu.Lock(); defer a.shards[0].mu.Unlock(); return len(a.shards[0].queue) }).Should(BeZero())
		for i := range 3 * epochsKept {
			tick()
			mustClaim(b, aClaim("rb", fmt.Sprint("b", i), "d"))
		}
		tick()
		verdict, _ := mustClaim(b, aClaim("r2", "first", "d"))
		Expect(verdict).To(Equal(Granted), "the first key has expired")
		tick()
		verdict, _ = mustClaim(b, aClaim("r2", "k", "d"))
		Expect(verdict).To(Equal(Granted))
		store.wake()
		answer := <-woken
		Expect(answer.Outcome).To(Equal(Held))
		Expect(answer.Holder.RequestID).To(Equal("r2"))
	})

	It("is told that a grant has become too old to dispatch", func() {
		clock := clockwork.NewFakeClock()
		l := newLog(Options{Store: platformstandin.New(platformstandin.Options{}).Store(), Daemon: "a", Clock: clock})
		verdict, holder := mustClaim(l, aClaim("r1", "k", "d"))
		Expect(verdict).To(Equal(Granted))
		Expect(holder.Fresh(clock.Now())).To(BeTrue())
		clock.Advance(DefaultMaxDispatchDelay)
		Expect(holder.Fresh(clock.Now())).To(BeFalse())
	})

	It("is told so by a wall clock reading, and without a deadline", func() {
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
			verdict, _ := mustClaim(l, aClaim(fmt.Sprint("r", i), fmt.Sprint(prefix, i), "d"))
			Expect(verdict).To(Equal(Granted))
		}
	}

	It("seals and merges, and still finds every key", func() {
		a := newLog(options)
		fill(a, "k")
		Eventually(func() int { return len(objects()) }).WithTimeout(patience).Should(BeNumerically("<", 10))
		Expect(len(objects())).To(BeNumerically(">", 2))
		options.Daemon = "b"
		b := newLog(options)
		for i := 0; i < claims; i += 100 {
			clock.Advance(time.Millisecond)
			expectHeldBy(b, fmt.Sprint("k", i), fmt.Sprint("r", i))
		}
	})

	It("removes what has expired, and nothing that has not", func() {
		a := newLog(options)
		fill(a, "k")
		for range epochsKept {
			clock.Advance(time.Hour / epochsKept)
			expectHeldBy(a, "k0", "r0")
		}
		Expect(len(objects())).To(BeNumerically(">", 2))
		for range 3 {
			clock.Advance(time.Hour / epochsKept)
			mustClaim(a, aClaim("x", "x", "d"))
		}
		Eventually(func() int { return len(objects()) }).WithTimeout(patience).Should(Equal(1))
		clock.Advance(time.Second)
		verdict, _ := mustClaim(a, aClaim("r", "k0", "d"))
		Expect(verdict).To(Equal(Granted))
	})

	It("sweeps the seals that a crashed writer left unlinked", func() {
		a := newLog(options)
		mustClaim(a, aClaim("r", "k", "d"))
		orphan := platform.Object{Collection: platform.ClaimCollection, Name: headName(0) + ".0.orphan"}
		_, err := server.Store().Create(context.Background(), orphan)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(time.Hour / epochsKept)
		mustClaim(a, aClaim("r", "k2", "d"))
		Eventually(func() int { return len(objects()) }).WithTimeout(patience).Should(Equal(1))
	})

	It("keeps a seal whose append is still in doubt", func() {
		s := newShard(newLog(options), 0) // Not running.
		s.adopt(&head{}, 5)
		s.orphans = []sealRef{{Name: "x"}}
		s.adopt(&head{}, 5)
		Expect(s.garbage).To(BeEmpty())
		s.adopt(&head{Seals: []sealRef{{Name: "x"}}}, 6)
		Expect(s.garbage).To(BeEmpty())
		s.orphans = []sealRef{{Name: "y"}}
		s.adopt(&head{}, 7)
		Expect(s.garbage).To(Equal([]sealRef{{Name: "y"}}))
	})

	It("waits for a seal that a stale reading does not show", func() {
		a := newLog(options)
		fill(a, "k")
		missing := &hiding{Store: server.Store(), left: 3}
		b := newLog(Options{Store: missing, Daemon: "b", Retention: time.Hour})
		expectHeldBy(b, "k0", "r0")
		Expect(missing.left).To(BeZero())
	})
})
