package scheduling_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
)

// saturate fills the slots and the queue, then releases and refills one slot every
// period, n times.
func saturate(f *fixture, n int, period time.Duration) {
	for i := range n + f.placer.total {
		f.submit(newRequest(fmt.Sprint("load", i), 1))
	}
	for i := range n {
		f.advance(period)
		f.release(f.grants[i], period*time.Duration(f.placer.total))
		f.submit(newRequest(fmt.Sprint("more", i), 1))
	}
}

var _ = Describe("Admission", func() {
	It("refuses a request that can not start in time at once, with a retry-after delay from the drain rate", func() {
		f := newFixture(4, nil)
		saturate(f, 20, 100*time.Millisecond)
		urgent := newRequest("urgent", 1)
		urgent.Target.FirstTokenMS = 1000
		f.submit(urgent)
		Expect(f.refused).To(HaveKey("urgent"))
		got := f.refused["urgent"]
		Expect(got.Reason).To(Equal(scheduling.ReasonLateOnArrival))
		Expect(got.Failure.Code).To(Equal(failure.Overloaded))
		Expect(got.Failure.Outcome).To(Equal(failure.NotRun))
		Expect(got.Failure.RetryAfter).To(BeNumerically("~", 2*time.Second, 500*time.Millisecond))
		Expect(lo.Must(lo.Find(f.pool.Stats(f.now).Classes, func(c scheduling.ClassStats) bool { return c.Class == "tier1" })).Waiting).
			To(Equal(20))
		Expect(f.pool.Stats(f.now).DrainRate).To(BeNumerically("~", 10, 1))
	})

	It("counts only the requests that run before: a higher tier and a small workspace are admitted", func() {
		f := newFixture(4, nil)
		for i := range 24 {
			f.submit(newRequest(fmt.Sprint("load", i), 2))
		}
		for i := range 10 {
			f.advance(100 * time.Millisecond)
			f.release(f.grants[i], 400*time.Millisecond)
			f.submit(newRequest(fmt.Sprint("more", i), 2))
		}
		same, small, high := newRequest("same", 2), newRequest("small", 2), newRequest("high", 1)
		same.Target.FirstTokenMS, small.Target.FirstTokenMS, high.Target.FirstTokenMS = 1000, 1000, 1000
		small.Workspace = "small"
		f.submit(same, small, high)
		Expect(f.refused).To(HaveKey("same"))
		Expect(f.refused).NotTo(HaveKey("small"))
		Expect(f.refused).NotTo(HaveKey("high"))
	})

	It("adds jitter to the retry-after delay within its bounds", func() {
		f := newFixture(1, func(c *scheduling.Config) { c.Rand = rand.New(rand.NewPCG(1, 2)) })
		f.placer.endpoints = 0
		for i := range 20 {
			f.submit(newRequest(fmt.Sprint(i), 1))
		}
		waits := lo.MapToSlice(f.refused, func(_ string, d scheduling.Decision) time.Duration { return d.Failure.RetryAfter })
		Expect(waits).To(HaveEach(BeNumerically(">=", time.Second)))
		Expect(waits).To(HaveEach(BeNumerically("<=", 1250*time.Millisecond)))
		Expect(len(lo.Uniq(waits))).To(BeNumerically(">", 10))
	})

	It("refuses at expiry, which is the target less the estimated service time", func() {
		f := newFixture(1, nil)
		saturate(f, 3, 400*time.Millisecond)
		complete := newRequest("complete", 1)
		complete.Class, complete.Target.FirstTokenMS, complete.Target.CompleteMS = "complete", 0, 4000
		complete.Waited = 500 * time.Millisecond
		f.submit(complete)
		f.advance(3400 * time.Millisecond)
		f.tick()
		Expect(f.refused).NotTo(HaveKey("complete"))
		f.advance(200 * time.Millisecond)
		f.tick()
		Expect(f.refused["complete"].Reason).To(Equal(scheduling.ReasonExpired))
		Expect(f.refused["complete"].Failure.Outcome).To(Equal(failure.NotRun))
		expectNoViolations(f, false)
	})

	It("refuses an expired request behind others that have not expired", func() {
		f := newFixture(1, nil)
		brief := newRequest("brief", 3)
		brief.Target.FirstTokenMS = 1000
		f.submit(newRequest("running", 1), newRequest("first", 1), brief)
		f.advance(1100 * time.Millisecond)
		f.tick()
		Expect(f.refused["brief"].Reason).To(Equal(scheduling.ReasonExpired))
		Expect(f.refused).To(HaveLen(1))
	})

	It("does not grant an expired request", func() {
		f := newFixture(1, nil)
		f.submit(newRequest("running", 1), newRequest("late", 1))
		f.advance(11 * time.Second)
		f.release("running", time.Second)
		Expect(f.grants).To(Equal([]string{"running"}))
		Expect(f.refused).To(HaveKey("late"))
	})

	It("bounds a repeated attempt by a new wait, not by a target that has passed", func() {
		f := newFixture(1, nil)
		repeated := newRequest("repeated", 1)
		repeated.Attempt, repeated.Waited, repeated.MaxWait = 2, time.Minute, time.Second
		f.submit(newRequest("running", 1), newRequest("first", 1), repeated)
		f.advance(20 * time.Second)
		f.tick()
		Expect(f.refused).NotTo(HaveKey("repeated"))
		f.release("running", time.Second)
		Expect(f.grants).To(Equal([]string{"running", "repeated"}), "its latest start is the earliest")
	})

	It("refuses with no_endpoint at once, and every waiting request when the last endpoint is removed", func() {
		f := newFixture(1, nil)
		f.submit(newRequest("running", 1), newRequest("waits", 1))
		f.placer.endpoints = 0
		f.advance(time.Second)
		f.submit(newRequest("new", 1))
		Expect(f.refused["new"].Failure.Code).To(Equal(failure.NoEndpoint))
		f.tick()
		Expect(f.refused["waits"].Failure.Code).To(Equal(failure.NoEndpoint))
		Expect(f.refused["waits"].Failure.Outcome).To(Equal(failure.NotRun))
	})

	It("sheds the lowest tier when the queue is full, and the largest workspace within it", func() {
		f := newFixture(1, func(c *scheduling.Config) { c.MaxQueueLength = 20 })
		f.submit(newRequest("running", 1))
		for i := range 19 {
			f.submit(newRequest(fmt.Sprint("large", i), 3))
		}
		small := func(id string) routing.PermitRequest {
			request := newRequest(id, 3)
			request.Workspace = "small"
			return request
		}
		f.submit(small("small0"), small("small1"))
		Expect(f.refused).To(HaveLen(1))
		f.submit(newRequest("large19", 3))
		Expect(f.refused["large19"].Reason).To(Equal(scheduling.ReasonQueueFull))
		for i := range 20 {
			f.submit(newRequest(fmt.Sprint("high", i), 1))
		}
		Expect(f.refused).NotTo(HaveKey(HavePrefix("high")))
		f.submit(newRequest("high20", 1))
		Expect(f.refused).To(HaveKey("high20"))
		shed := len(f.refused)
		for i := range 10 {
			f.submit(newRequest(fmt.Sprint("later", i), 3))
		}
		Expect(f.refused).To(HaveLen(shed + 10))
		Expect(f.refused).NotTo(HaveKey("high0"))
		Expect(f.refused["later9"].Reason).To(Equal(scheduling.ReasonQueueFull))
		expectNoViolations(f, false)
	})
})
