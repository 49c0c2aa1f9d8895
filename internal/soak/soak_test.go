package soak_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/soak"
)

var _ = Describe("Plan", func() {
	It("is the same for a seed, ends in time, and strikes a process one fault at a time", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			seed := rapid.Uint64().Draw(t, "seed")
			length := time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
			fleet := soak.Fleet{Gateways: rapid.IntRange(1, 6).Draw(t, "gateways"), Endpoints: rapid.IntRange(1, 6).Draw(t, "endpoints")}
			plan := soak.Plan(soak.Generation, seed, fleet, length)
			if len(plan) != len(soak.Plan(soak.Generation, seed, fleet, length)) {
				t.Fatal("another plan for the same seed")
			}
			for i, f := range plan {
				if f.From < 0 || f.To < f.From || f.To > length {
					t.Fatalf("%+v is not within %s", f, length)
				}
				for _, o := range plan[:i] {
					if o.Kind == f.Kind && o.Index == f.Index && f.From < o.To {
						t.Fatalf("%+v while %+v", f, o)
					}
				}
			}
		})
	})

	It("draws every kind, in series, and lets them overlap", func() {
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
		Expect(seen).To(HaveLen(14))
		Expect(overlaps).To(BeNumerically(">", 40))
	})
})

var _ = Describe("History", func() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	var h *soak.History

	BeforeEach(func() { h = &soak.History{SteadyKey: "key", Workspace: "acme"} })

	// attempt is a good one at 10 s, as change edits it.
	attempt := func(change func(*soak.Attempt)) {
		a := soak.Attempt{
			ID: "r", Kind: routetable.NonIdempotent, Key: "key", Sent: at(10), Ended: at(10.1), Deadline: 4 * time.Second,
			Status: 200, Complete: true,
		}
		change(&a)
		h.RecordAttempt(a)
	}
	run := func(id string, seconds float64) { h.RecordRun(soak.Run{ID: id, Workspace: "acme", At: at(seconds)}) }
	span := func(kind soak.Kind, from, to float64) {
		h.RecordSpan(soak.Span{Fault: soak.Fault{Kind: kind}, Started: at(from), Ended: at(to)})
	}
	nothing := func(*soak.Attempt) {}
	status := func(status int) func(*soak.Attempt) { return func(a *soak.Attempt) { a.Status = status } }
	cut := func(a *soak.Attempt) { a.Complete = false }
	late := func(a *soak.Attempt) { a.Ended = at(14.6) }

	It("finds nothing in a good run", func() {
		attempt(nothing)
		run("r", 10.05)
		Expect(h.Violations()).To(BeEmpty())
	})

	DescribeTable("finds", func(text string, happened func()) {
		happened()
		Expect(h.Violations()).To(ContainElement(ContainSubstring(text)))
	},
		Entry("a second run", "ran 2 times", func() { attempt(nothing); run("r", 10); run("r", 11) }),
		Entry("a false refusal", "said not to have run", func() { attempt(status(503)); run("r", 12) }),
		Entry("a false busy answer", "said not to have run", func() { attempt(status(429)); run("r", 10) }),
		Entry("wrong content", "event 3 where 2 was due", func() {
			attempt(func(a *soak.Attempt) { a.ContentError = "event 3 where 2 was due" })
		}),
		Entry("a denial of what is always allowed", "denied, though every", func() { attempt(status(401)) }),
		Entry("a run with a revoked key", "ran with a key that was revoked", func() {
			h.RecordChange(soak.Change{At: at(6), Added: "new", Revoked: "old", Endpoint: -1})
			attempt(func(a *soak.Attempt) { a.Key = "old" })
			run("r", 10)
		}),
		Entry("a new key that does not work", "its key was added", func() {
			h.RecordChange(soak.Change{At: at(6), Added: "new", Revoked: "old", Endpoint: -1})
			attempt(func(a *soak.Attempt) { a.Key, a.Status = "new", 401 })
		}),
		Entry("a late end", "past its deadline", func() { attempt(late) }),
		Entry("a cut through a drain", "no fault but planned work", func() { span(soak.DrainGateway, 9, 12); attempt(cut); run("r", 10) }),
		Entry("a run that nobody sent", "ran what no caller sent", func() { run("x", 10) }),
		Entry("a wrong workspace", "ran for the workspace other", func() {
			attempt(nothing)
			h.RecordRun(soak.Run{ID: "r", Workspace: "other", At: at(10)})
		}),
		Entry("a run at a draining endpoint", "drains since", func() {
			h.RecordChange(soak.Change{At: at(6), Endpoint: 0, RestoredAt: at(20)})
			attempt(nothing)
			run("r", 10)
		}),
	)

	DescribeTable("excuses", func(happened func()) {
		happened()
		Expect(h.Violations()).To(BeEmpty())
	},
		Entry("a second run of what may be repeated", func() {
			attempt(func(a *soak.Attempt) { a.Repeatable = true })
			run("r", 10)
			run("r", 10)
		}),
		Entry("a cut by a kill", func() { span(soak.KillGateway, 9.9, 11); attempt(cut); run("r", 10) }),
		Entry("a cut by a crash of an endpoint", func() { span(soak.CrashEndpoint, 9.9, 11); attempt(cut); run("r", 10) }),
		Entry("a late end at a frozen gateway", func() { span(soak.FreezeGateway, 10, 14); attempt(late) }),
		Entry("a late end on a stalled machine", func() { h.RecordStall(at(13), at(14)); attempt(late) }),
		Entry("a revoked key within the time to apply it", func() {
			h.RecordChange(soak.Change{At: at(8), Revoked: "old", Endpoint: -1})
			attempt(func(a *soak.Attempt) { a.Key = "old" })
			run("r", 10)
		}),
		Entry("a revoked key at a gateway that the platform does not serve", func() {
			h.RecordChange(soak.Change{At: at(6), Revoked: "old", Endpoint: -1})
			span(soak.HangPlatform, 6.5, 9)
			attempt(func(a *soak.Attempt) { a.Key = "old" })
			run("r", 10)
		}),
		Entry("a run at an endpoint that was put back", func() {
			h.RecordChange(soak.Change{At: at(5), Endpoint: 0, RestoredAt: at(9)})
			attempt(nothing)
			run("r", 10)
		}),
	)
})
