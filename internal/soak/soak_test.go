package soak_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/soak"
)

var _ = Describe("Plan", func() {
	It("is the same for the same seed, ends by its length, and never overlaps faults of one kind on one target", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			seed := rapid.Uint64().Draw(t, "seed")
			length := time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
			fleet := soak.Fleet{Gateways: rapid.IntRange(1, 6).Draw(t, "gateways"), Endpoints: rapid.IntRange(1, 6).Draw(t, "endpoints")}
			plan := soak.Plan(soak.Generation, seed, fleet, length)
			if len(plan) != len(soak.Plan(soak.Generation, seed, fleet, length)) {
				t.Fatal("the same seed gave a plan of another length")
			}
			for i, f := range plan {
				if f.From < 0 || f.To < f.From || f.To > length {
					t.Fatalf("fault %+v is not within the plan length %s", f, length)
				}
				for _, earlier := range plan[:i] {
					if earlier.Kind == f.Kind && earlier.Index == f.Index && f.From < earlier.To {
						t.Fatalf("fault %+v overlaps %+v", f, earlier)
					}
				}
			}
		})
	})

	It("includes no fault that disturbs resumptions otherwise in some plans", func() {
		for seed := uint64(3); seed < 60; seed += 3 {
			for _, f := range soak.Plan(soak.Generation, seed, soak.Fleet{Gateways: 6, Endpoints: 6}, 12*time.Second) {
				Expect(f.Kind.Target()).NotTo(Equal(soak.Platform))
			}
		}
	})

	It("begins with one version in some runs with faults that break off streams", func() {
		var found []uint64
		for seed := range uint64(13) {
			if soak.OneVersion(soak.Generation, seed) {
				found = append(found, seed)
			}
			Expect(soak.OneVersion(10, seed)).To(BeFalse())
		}
		for _, seed := range found {
			plan := soak.Plan(soak.Generation, seed, soak.Fleet{Gateways: 6, Endpoints: 6}, 10*time.Second)
			cut := slices.IndexFunc(plan, func(f soak.Fault) bool { return f.Kind == soak.CutFromPeers })
			Expect(slices.ContainsFunc(plan, func(f soak.Fault) bool {
				return f.Kind == soak.ReplaceEndpoint && f.From > plan[cut].From && f.From < plan[cut].To
			})).To(BeTrue(), "seed %d", seed)
		}
		Expect(found).To(Equal([]uint64{0, 6, 12}))
	})

	It("is the same as before for seeds of earlier generations", func() {
		digests := map[int]string{
			1: "b13606b3e09f6a05", 2: "5df455647759ad7d", 3: "54e608b563fdb0ff", 4: "35efd68850751067", 5: "c42e54635553ffe4",
			6: "7ba728ca3b6f7f8b", 7: "5e9f3162a811f7bd", 8: "afab56311c7e57f6", 9: "20a3fb61c0cba52b", 10: "58f00cfb4aeb7d55",
			11: "26289b1c093bcc6b",
		}
		for generation := 1; generation < soak.Generation; generation++ {
			digest := sha256.New()
			for seed := range uint64(60) {
				_, _ = fmt.Fprint(digest, soak.Plan(generation, seed, soak.Fleet{Gateways: 6, Endpoints: 6}, 30*time.Second))
			}
			Expect(hex.EncodeToString(digest.Sum(nil)[:8])).To(Equal(digests[generation]), "generation %d", generation)
		}
	})

	It("includes every kind of fault and lets faults overlap", func() {
		seen, overlaps := map[soak.Kind]int{}, 0
		for seed := range uint64(40) {
			plan := soak.Plan(soak.Generation, seed, soak.Fleet{Gateways: 3, Endpoints: 3}, 20*time.Second)
			for i, f := range plan {
				seen[f.Kind]++
				if i > 0 && f.From < plan[i-1].To {
					overlaps++
				}
			}
		}
		Expect(seen).To(HaveLen(27))
		Expect(overlaps).To(BeNumerically(">", 40))
	})
})

var _ = Describe("History", func() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	var h *soak.History

	BeforeEach(func() { h = &soak.History{SteadyKey: "key", Workspace: "acme"} })

	// attempt records a successful attempt sent at 10 s, altered by the given function.
	attempt := func(modify func(*soak.Attempt)) {
		a := soak.Attempt{
			ID: "r", Kind: routetable.NonIdempotent, Key: "key", Sent: at(10), Ended: at(10.1), Deadline: 4 * time.Second,
			Status: 200, Complete: true,
		}
		modify(&a)
		h.RecordAttempt(a)
	}
	run := func(id string, seconds float64) { h.RecordRun(soak.Run{ID: id, Workspace: "acme", At: at(seconds)}) }
	span := func(kind soak.Kind, from, to float64) {
		h.RecordSpan(soak.Span{Fault: soak.Fault{Kind: kind}, Started: at(from), Ended: at(to)})
	}
	unchanged := func(*soak.Attempt) {}
	status := func(status int) func(*soak.Attempt) { return func(a *soak.Attempt) { a.Status = status } }
	incomplete := func(a *soak.Attempt) { a.Complete = false }
	late := func(a *soak.Attempt) { a.Ended = at(14.6) }

	It("reports no violation for a successful attempt", func() {
		attempt(unchanged)
		run("r", 10.05)
		Expect(h.Violations()).To(BeEmpty())
	})

	DescribeTable("reports", func(text string, record func()) {
		record()
		Expect(h.Violations()).To(ContainElement(ContainSubstring(text)))
	},
		Entry("a second run", "ran 2 times", func() { attempt(unchanged); run("r", 10); run("r", 11) }),
		Entry("a 503 response to a request that ran", "said not to have run", func() { attempt(status(503)); run("r", 12) }),
		Entry("a 429 response to a request that ran", "said not to have run", func() { attempt(status(429)); run("r", 10) }),
		Entry("a content error", "event 3 where 2 was due", func() {
			attempt(func(a *soak.Attempt) { a.ContentError = "event 3 where 2 was due" })
		}),
		Entry("a denied request with the steady key", "denied, though every", func() { attempt(status(401)) }),
		Entry("a run with a revoked key", "ran with a key that was revoked", func() {
			h.RecordChange(soak.Change{At: at(6), Added: "new", Revoked: "old", Endpoint: -1})
			attempt(func(a *soak.Attempt) { a.Key = "old" })
			run("r", 10)
		}),
		Entry("a new key that does not work", "its key was added", func() {
			h.RecordChange(soak.Change{At: at(6), Added: "new", Revoked: "old", Endpoint: -1})
			attempt(func(a *soak.Attempt) { a.Key, a.Status = "new", 401 })
		}),
		Entry("an end after the deadline", "past its deadline", func() { attempt(late) }),
		Entry("an incomplete response while a gateway drains", "no fault but planned work", func() { span(soak.DrainGateway, 9, 12); attempt(incomplete); run("r", 10) }),
		Entry("a run of a request that no caller sent", "ran what no caller sent", func() { run("x", 10) }),
		Entry("a wrong workspace", "ran for the workspace other", func() {
			attempt(unchanged)
			h.RecordRun(soak.Run{ID: "r", Workspace: "other", At: at(10)})
		}),
		Entry("a run at a draining endpoint", "drains since", func() {
			h.RecordChange(soak.Change{At: at(6), Endpoint: 0, RestoredAt: at(20)})
			attempt(unchanged)
			run("r", 10)
		}),
	)

	// resumption records a stream of v1 that begins at gateway 0 and is resumed at gateway 1.
	resumption := func(n int, from string, events int) {
		id := fmt.Sprint("r", n)
		stream := func(a *soak.Attempt) {
			a.ID, a.Kind, a.Repeatable, a.Complete, a.Events, a.Versions = id, routetable.Streaming, true, false, 2, []string{"v1"}
		}
		attempt(stream)
		attempt(func(a *soak.Attempt) {
			stream(a)
			a.ID, a.Gateway, a.Resumes, a.After, a.Events, a.Versions = id+"+1", 1, id, 2, events, nil
			if events > 0 {
				a.Versions = []string{from}
			}
		})
	}
	resumptions := func(from string, events int) {
		h.Versions = []string{"v1", "v2", "v1"}
		for n := range 12 {
			resumption(n, from, events)
		}
	}

	It("reports streams that hold events of two versions", func() {
		resumption(1, "v1", 3)
		resumption(2, "v2", 3)
		attempt(func(a *soak.Attempt) { a.ID, a.Repeatable, a.Versions = "r3", true, []string{"v1", "v2"} })
		Expect(h.Violations()).To(HaveExactElements(
			HavePrefix("r2 holds events of 2 versions: r2 at gateway 0"), HavePrefix("r3 holds events of 2 versions"),
		))
	})

	It("counts resumed streams at gateways that were cut from their peers, and at the others", func() {
		resumption(1, "v1", 3)
		resumption(2, "v2", 3)
		resumption(3, "", 0)
		attempt(func(a *soak.Attempt) { a.ID, a.Gateway, a.Resumes, a.Status = "r4", 1, "r1", 503 })
		_, others := h.ResumeCounts(soak.CutFromPeers)
		h.RecordSpan(soak.Span{Fault: soak.Fault{Kind: soak.CutFromPeers, Index: 1}, Started: at(8), Ended: at(9.5)})
		affected, none := h.ResumeCounts(soak.CutFromPeers)
		Expect(affected).To(Equal(others))
		Expect(affected.String()).To(HavePrefix("1 went on, 1 refused, 1 joined, 1 failed; ms to the first event: median "))
		Expect(none).To(BeZero())
	})

	It("reports resumptions that don't go on while two endpoints of the version serve", func() {
		resumptions("", 0)
		Expect(h.Violations()).To(ConsistOf("0 of 12 streams went on that callers resumed, 12 of 12 new ones began"))
	})

	It("accepts resumptions that go on, and those that don't while fewer endpoints of the version serve", func() {
		resumptions("v1", 3)
		Expect(h.Violations()).To(BeEmpty())
		h = &soak.History{SteadyKey: "key", Workspace: "acme"}
		span(soak.ReplaceEndpoint, 9, 9.5)
		resumptions("", 0)
		Expect(h.Violations()).To(BeEmpty())
	})

	// notice records a response of instance e0 at 10 s and requests that reach it through the same gateway later.
	notice := func(n soak.Notice, seconds ...float64) {
		attempt(unchanged)
		n.ID, n.Instance, n.At = "r", "e0", at(10)
		h.RecordNotice(n)
		for i, s := range seconds {
			id := fmt.Sprint("later", i)
			attempt(func(a *soak.Attempt) { a.ID, a.Sent, a.Ended = id, at(s), at(s+0.1) })
			h.RecordArrival(soak.Arrival{ID: id, Instance: "e0", At: at(s)})
		}
	}
	leaving, quiet := soak.Notice{Leaving: true}, soak.Notice{RetryAfter: 2 * time.Second}

	It("reports requests to an endpoint that leaves, and more than two to one that asked for none", func() {
		notice(leaving, 12.1)
		Expect(h.Violations()).To(ConsistOf(ContainSubstring("reached e0 through gateway 0, to which it had said at 00:00:10.000 that it leaves")))
		h = &soak.History{SteadyKey: "key", Workspace: "acme"}
		notice(quiet, 10.6, 11, 11.9)
		Expect(h.Violations()).To(ConsistOf(ContainSubstring("3 requests reached e0 through gateway 0")))
	})

	It("accepts such requests in time, after a fault of the gateway, to another instance and through another gateway", func() {
		notice(leaving, 11.9)
		Expect(h.Violations()).To(BeEmpty())
		h = &soak.History{SteadyKey: "key", Workspace: "acme"}
		notice(quiet, 10.4, 10.6, 11, 12.1)
		Expect(h.Violations()).To(BeEmpty())
		h = &soak.History{SteadyKey: "key", Workspace: "acme"}
		h.RecordChange(soak.Change{At: at(10.2), Endpoint: 0, RestoredAt: at(11)}) // Another process from then on.
		notice(quiet, 10.6, 10.7, 11.1, 11.2, 11.9)
		Expect(h.Violations()).To(BeEmpty())
		h = &soak.History{SteadyKey: "key", Workspace: "acme"}
		span(soak.KillGateway, 13, 14)
		notice(leaving, 15)
		Expect(h.Violations()).To(BeEmpty())
		h = &soak.History{SteadyKey: "key", Workspace: "acme"}
		notice(leaving)
		attempt(func(a *soak.Attempt) { a.ID, a.Sent, a.Gateway = "x", at(13), 1 })
		h.RecordArrival(soak.Arrival{ID: "x", Instance: "e0", At: at(13)})
		attempt(func(a *soak.Attempt) { a.ID, a.Sent = "y", at(13) })
		h.RecordArrival(soak.Arrival{ID: "y", Instance: "e1", At: at(13)})
		Expect(h.Violations()).To(BeEmpty())
	})

	// limited records 40 requests, a tenth of a second apart, that reach instance e0 of endpoint 0 from 14 s on. It
	// names a limit of one a second from 10 s to until, and of 9 from then on if it goes on.
	limited := func(until float64, goesOn bool) {
		span(soak.LimitEndpoint, 10, until)
		if goesOn {
			span(soak.LimitEndpoint, until, 30)
		}
		notice(soak.Notice{Limit: 1})
		for i := range 40 {
			id, s := fmt.Sprint("limited", i), 14+float64(i)/10
			attempt(func(a *soak.Attempt) { a.ID, a.Sent, a.Ended = id, at(s), at(s+0.1) })
			h.RecordArrival(soak.Arrival{ID: id, Instance: "e0", At: at(s)})
			switch {
			case s < until:
				h.RecordNotice(soak.Notice{ID: id, Instance: "e0", At: at(s), Limit: 1})
			case goesOn:
				h.RecordNotice(soak.Notice{ID: id, Instance: "e0", At: at(s), Limit: 9})
			}
		}
	}

	It("reports too many requests to an endpoint that names a limit, as long as it names that", func() {
		limited(20, false)
		Expect(h.Violations()).To(ConsistOf(ContainSubstring("e0, which names a limit of 1 a second since 00:00:10.000, got 12 requests in the 4s")))
		for _, goesOn := range []bool{false, true} {
			h = &soak.History{SteadyKey: "key", Workspace: "acme"}
			limited(15, goesOn)
			Expect(h.Violations()).To(BeEmpty())
		}
	})

	DescribeTable("accepts", func(record func()) {
		record()
		Expect(h.Violations()).To(BeEmpty())
	},
		Entry("a second run of a repeatable request", func() {
			attempt(func(a *soak.Attempt) { a.Repeatable = true })
			run("r", 10)
			run("r", 10)
		}),
		Entry("an incomplete response when the gateway is killed", func() { span(soak.KillGateway, 9.9, 11); attempt(incomplete); run("r", 10) }),
		Entry("an incomplete response when an endpoint crashes", func() { span(soak.CrashEndpoint, 9.9, 11); attempt(incomplete); run("r", 10) }),
		Entry("an end after the deadline at a frozen gateway", func() { span(soak.FreezeGateway, 10, 14); attempt(late) }),
		Entry("an end after the deadline when the test machine stalled", func() { h.RecordStall(at(13), at(14)); attempt(late) }),
		Entry("a run with a revoked key before the change has to be in effect", func() {
			h.RecordChange(soak.Change{At: at(8), Revoked: "old", Endpoint: -1})
			attempt(func(a *soak.Attempt) { a.Key = "old" })
			run("r", 10)
		}),
		Entry("a run with a revoked key while the platform does not respond", func() {
			h.RecordChange(soak.Change{At: at(6), Revoked: "old", Endpoint: -1})
			span(soak.HangPlatform, 6.5, 9)
			attempt(func(a *soak.Attempt) { a.Key = "old" })
			run("r", 10)
		}),
		Entry("a run at an endpoint that was returned to service", func() {
			h.RecordChange(soak.Change{At: at(5), Endpoint: 0, RestoredAt: at(9)})
			attempt(unchanged)
			run("r", 10)
		}),
	)
})

var _ = Describe("Checks of brittle endpoints", func() {
	start := time.Unix(1_000, 0)
	history := func(fault *soak.Fault, falls ...time.Duration) *soak.History {
		h := &soak.History{SteadyKey: "key"}
		h.RecordSpan(soak.Span{Fault: soak.Fault{Kind: soak.BrittleEndpoints}, Started: start, Ended: start.Add(20 * time.Second)})
		if fault != nil {
			h.RecordSpan(soak.Span{Fault: *fault, Started: start.Add(4 * time.Second), Ended: start.Add(5 * time.Second)})
		}
		for i, at := range falls {
			id := fmt.Sprint("rejected-", i)
			h.RecordAttempt(soak.Attempt{ID: id, Sent: start.Add(at), Ended: start.Add(at), Status: 503, Deadline: time.Second, Key: h.SteadyKey})
			h.RecordFall(soak.Fall{At: start.Add(at), Rejected: []string{id}})
		}
		return h
	}

	It("find endpoints that fall over too often once it was known", func() {
		Expect(history(nil, time.Second, 2*time.Second, 4*time.Second, 9*time.Second).Violations()).To(BeEmpty())
		Expect(history(nil, 4*time.Second, 6*time.Second, 9*time.Second).Violations()).To(ContainElement(ContainSubstring("3 of 3 brittle endpoints' falls")))
	})

	It("leave out falls under requests of gateways that were disturbed", func() {
		Expect(history(&soak.Fault{Kind: soak.KillGateway}, 4500*time.Millisecond, 6*time.Second, 12*time.Second, 14*time.Second).Violations()).To(BeEmpty())
		Expect(history(&soak.Fault{Kind: soak.KillGateway, Index: 1}, 4500*time.Millisecond, 6*time.Second, 12*time.Second).Violations()).NotTo(BeEmpty())
	})
})
