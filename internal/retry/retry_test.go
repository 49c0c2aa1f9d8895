package retry_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routing"
)

var start = time.Unix(1_700_000_000, 0)

func attempt(result routing.Result, change func(*retry.Attempt)) retry.Attempt {
	a := retry.Attempt{Result: result, Workspace: "w", Pool: "p", Number: 1, Resumable: true}
	if change != nil {
		change(&a)
	}
	return a
}

var _ = Describe("Decide", func() {
	DescribeTable("answers",
		func(result routing.Result, change func(*retry.Attempt), action retry.Action, code failure.Code, outcome failure.Outcome) {
			v := retry.NewBudget(retry.Config{}).Decide(start, attempt(result, change))
			Expect(v.Action).To(Equal(action))
			Expect(v.Code).To(Equal(code))
			Expect(v.Outcome).To(Equal(outcome))
			Expect(v.Reason).NotTo(BeEmpty())
		},
		Entry("completed", routing.ResultCompleted, nil, retry.End, failure.Code(""), failure.Completed),
		Entry("crashed before the first token", routing.ResultCrashed, nil, retry.Elsewhere, failure.Code(""), failure.Outcome("")),
		Entry("crashed mid-answer", routing.ResultCrashed, func(a *retry.Attempt) { a.ResponseStarted = true }, retry.Resume, failure.Code(""), failure.Outcome("")),
		Entry("crashed mid-answer, cannot resume", routing.ResultCrashed, func(a *retry.Attempt) { a.ResponseStarted, a.Resumable = true, false }, retry.End, failure.EndpointFailed, failure.Unknown),
		Entry("keyed, not started", routing.ResultNotStarted, func(a *retry.Attempt) { a.RunsOnce = true }, retry.Elsewhere, failure.Code(""), failure.Outcome("")),
		Entry("keyed, may have started", routing.ResultCrashed, func(a *retry.Attempt) { a.RunsOnce = true }, retry.End, failure.EndpointFailed, failure.Unknown),
		Entry("keyed, silent", routing.ResultTimedOut, func(a *retry.Attempt) { a.RunsOnce = true }, retry.End, failure.TimedOut, failure.Unknown),
		Entry("keyed, an earlier attempt may have started", routing.ResultNotStarted, func(a *retry.Attempt) { a.RunsOnce, a.EarlierMayHaveRun = true, true }, retry.End, failure.NoEndpoint, failure.Unknown),
		Entry("rejected", routing.ResultRejected, nil, retry.End, failure.EndpointRefused, failure.Unknown),
		Entry("caller gone", routing.ResultCrashed, func(a *retry.Attempt) { a.CallerDisconnected = true }, retry.End, failure.ClientGone, failure.Unknown),
		Entry("caller gone, not started", routing.ResultNotStarted, func(a *retry.Attempt) { a.CallerDisconnected = true }, retry.End, failure.ClientGone, failure.NotRun),
		Entry("blocked after a crash", routing.ResultCrashed, func(a *retry.Attempt) { a.Blocked = true }, retry.End, failure.Quarantined, failure.Unknown),
		Entry("attempts spent, never started", routing.ResultNotStarted, func(a *retry.Attempt) { a.Number = 4 }, retry.End, failure.NoEndpoint, failure.NotRun),
		Entry("attempts spent, started before", routing.ResultNotStarted, func(a *retry.Attempt) { a.Number, a.EarlierMayHaveRun = 4, true }, retry.End, failure.NoEndpoint, failure.Unknown),
	)

	It("ends when the budget is spent", func() {
		b := retry.NewBudget(retry.Config{Burst: 1, MinPerSecond: 0.001})
		Expect(b.Decide(start, attempt(routing.ResultCrashed, nil)).Action).To(Equal(retry.Elsewhere))
		v := b.Decide(start, attempt(routing.ResultCrashed, nil))
		Expect(v.Action).To(Equal(retry.End))
		Expect(v.Reason).To(Equal("budget_spent"))
	})
})

var _ = Describe("Budget", func() {
	It("keeps retries to their share of the first attempts", func() {
		b := retry.NewBudget(retry.Config{})
		retries := 0
		for range 10_000 {
			b.Started(start, "w", "p")
			if b.Allow(start, "w", "p") {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("<=", 1000+retry.DefaultBurst))
		Expect(retries).To(BeNumerically(">=", 1000))
	})

	It("keeps workspaces and pools apart, and refills with time", func() {
		b := retry.NewBudget(retry.Config{Burst: 1, MinPerSecond: 1})
		Expect(b.Allow(start, "w", "p")).To(BeTrue())
		Expect(b.Allow(start, "w", "p")).To(BeFalse())
		Expect(b.Allow(start, "v", "p")).To(BeTrue())
		Expect(b.Allow(start, "w", "q")).To(BeTrue())
		Expect(b.Allow(start.Add(time.Second), "w", "p")).To(BeTrue())
	})

	It("hedges only repeatable work, before the first token, after the delay, within the share", func() {
		b := retry.NewBudget(retry.Config{HedgeBurst: 1})
		ok := retry.Hedge{Pool: "p", Repeatable: true, Elapsed: 2, Delay: 1}
		for _, change := range []func(*retry.Hedge){
			func(h *retry.Hedge) { h.Repeatable = false },
			func(h *retry.Hedge) { h.FirstTokenReceived = true },
			func(h *retry.Hedge) { h.Suspect = true },
			func(h *retry.Hedge) { h.Delay = 0 },
			func(h *retry.Hedge) { h.Delay = 3 },
		} {
			h := ok
			change(&h)
			Expect(b.AllowHedge(start, h)).To(BeFalse())
		}
		Expect(b.AllowHedge(start, ok)).To(BeTrue())
		Expect(b.AllowHedge(start, ok)).To(BeFalse())
		for range 50 {
			b.Started(start, "w", "p")
		}
		Expect(b.AllowHedge(start, ok)).To(BeTrue())
	})

	It("forgets the least recently used beyond its bound", func() {
		b := retry.NewBudget(retry.Config{Burst: 1, MaxBuckets: 16, MinPerSecond: 0.001})
		Expect(b.Allow(start, "w", "p")).To(BeTrue())
		for i := range 10_000 {
			b.Allow(start, fmt.Sprint(i), "p")
		}
		Expect(b.Allow(start, "w", "p")).To(BeTrue())
	})
})
