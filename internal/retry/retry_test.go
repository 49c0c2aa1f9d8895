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

func newAttempt(result routing.Result, modify func(*retry.Attempt)) retry.Attempt {
	a := retry.Attempt{Result: result, Workspace: "w", Pool: "p", Number: 1, Resumable: true}
	if modify != nil {
		modify(&a)
	}
	return a
}

var _ = Describe("Decide", func() {
	DescribeTable("returns the decision for an attempt",
		func(result routing.Result, modify func(*retry.Attempt), action retry.Action, code failure.Code, outcome failure.Outcome) {
			decision := retry.NewBudget(retry.Config{}).Decide(start, newAttempt(result, modify))
			Expect(decision.Action).To(Equal(action))
			Expect(decision.Code).To(Equal(code))
			Expect(decision.Outcome).To(Equal(outcome))
			Expect(decision.Reason).NotTo(BeEmpty())
		},
		Entry("completed", routing.ResultCompleted, nil, retry.End, failure.Code(""), failure.Completed),
		Entry("crashed before the first token", routing.ResultCrashed, nil, retry.Restart, failure.Code(""), failure.Outcome("")),
		Entry("crashed mid-response", routing.ResultCrashed, func(a *retry.Attempt) { a.ResponseStarted = true }, retry.Resume, failure.Code(""), failure.Outcome("")),
		Entry("crashed mid-response, not resumable", routing.ResultCrashed, func(a *retry.Attempt) { a.ResponseStarted, a.Resumable = true, false }, retry.End, failure.EndpointFailed, failure.Unknown),
		Entry("keyed, not started", routing.ResultNotStarted, func(a *retry.Attempt) { a.RunsOnce = true }, retry.Restart, failure.Code(""), failure.Outcome("")),
		Entry("keyed, may have started", routing.ResultCrashed, func(a *retry.Attempt) { a.RunsOnce = true }, retry.End, failure.EndpointFailed, failure.Unknown),
		Entry("keyed, timed out", routing.ResultTimedOut, func(a *retry.Attempt) { a.RunsOnce = true }, retry.End, failure.TimedOut, failure.Unknown),
		Entry("keyed, an earlier attempt may have started", routing.ResultNotStarted, func(a *retry.Attempt) { a.RunsOnce, a.EarlierMayHaveRun = true, true }, retry.End, failure.NoEndpoint, failure.Unknown),
		Entry("rejected", routing.ResultRejected, nil, retry.End, failure.EndpointRefused, failure.Unknown),
		Entry("caller disconnected", routing.ResultCrashed, func(a *retry.Attempt) { a.CallerDisconnected = true }, retry.End, failure.ClientGone, failure.Unknown),
		Entry("caller disconnected, not started", routing.ResultNotStarted, func(a *retry.Attempt) { a.CallerDisconnected = true }, retry.End, failure.ClientGone, failure.NotRun),
		Entry("blocked after a crash", routing.ResultCrashed, func(a *retry.Attempt) { a.Blocked = true }, retry.End, failure.Quarantined, failure.Unknown),
		Entry("attempts used up, never started", routing.ResultNotStarted, func(a *retry.Attempt) { a.Number = 4 }, retry.End, failure.NoEndpoint, failure.NotRun),
		Entry("attempts used up, an earlier one may have started", routing.ResultNotStarted, func(a *retry.Attempt) { a.Number, a.EarlierMayHaveRun = 4, true }, retry.End, failure.NoEndpoint, failure.Unknown),
	)

	It("ends when the budget is used up", func() {
		b := retry.NewBudget(retry.Config{Burst: 1, MinPerSecond: 0.001})
		Expect(b.Decide(start, newAttempt(routing.ResultCrashed, nil)).Action).To(Equal(retry.Restart))
		decision := b.Decide(start, newAttempt(routing.ResultCrashed, nil))
		Expect(decision.Action).To(Equal(retry.End))
		Expect(decision.Reason).To(Equal("budget_spent"))
	})
})

var _ = Describe("Budget", func() {
	It("limits retries to their ratio of the first attempts", func() {
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

	It("separates workspaces and pools, and refills with time", func() {
		b := retry.NewBudget(retry.Config{Burst: 1, MinPerSecond: 1})
		Expect(b.Allow(start, "w", "p")).To(BeTrue())
		Expect(b.Allow(start, "w", "p")).To(BeFalse())
		Expect(b.Allow(start, "v", "p")).To(BeTrue())
		Expect(b.Allow(start, "w", "q")).To(BeTrue())
		Expect(b.Allow(start.Add(time.Second), "w", "p")).To(BeTrue())
	})

	It("hedges only repeatable requests, before the first token, after the delay, within the ratio", func() {
		b := retry.NewBudget(retry.Config{HedgeBurst: 1})
		allowed := retry.Hedge{Pool: "p", Repeatable: true, Elapsed: 2, Delay: 1}
		for _, modify := range []func(*retry.Hedge){
			func(h *retry.Hedge) { h.Repeatable = false },
			func(h *retry.Hedge) { h.FirstTokenReceived = true },
			func(h *retry.Hedge) { h.Suspect = true },
			func(h *retry.Hedge) { h.Delay = 0 },
			func(h *retry.Hedge) { h.Delay = 3 },
		} {
			h := allowed
			modify(&h)
			Expect(b.AllowHedge(start, h)).To(BeFalse())
		}
		Expect(b.AllowHedge(start, allowed)).To(BeTrue())
		Expect(b.AllowHedge(start, allowed)).To(BeFalse())
		for range 50 {
			b.Started(start, "w", "p")
		}
		Expect(b.AllowHedge(start, allowed)).To(BeTrue())
	})

	It("drops the least recently used bucket above MaxBuckets", func() {
		b := retry.NewBudget(retry.Config{Burst: 1, MaxBuckets: 16, MinPerSecond: 0.001})
		Expect(b.Allow(start, "w", "p")).To(BeTrue())
		for i := range 10_000 {
			b.Allow(start, fmt.Sprint(i), "p")
		}
		Expect(b.Allow(start, "w", "p")).To(BeTrue())
	})
})
