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

// saturate fills the slots and lets one of them come free every period.
func saturate(b *bed, n int, period time.Duration) {
	for i := range n + b.slots.total {
		b.submit(ask(fmt.Sprint("load", i), 1))
	}
	for i := range n {
		b.pass(period)
		b.release(b.grants[i], period*time.Duration(b.slots.total))
		b.submit(ask(fmt.Sprint("more", i), 1))
	}
}

var _ = Describe("Admission", func() {
	It("refuses at once what can not start in time, with a time to come back from the drain rate", func() {
		b := newBed(4, nil)
		saturate(b, 20, 100*time.Millisecond)
		hasty := ask("hasty", 1)
		hasty.Target.FirstTokenMS = 1000
		b.submit(hasty)
		Expect(b.refused).To(HaveKey("hasty"))
		got := b.refused["hasty"]
		Expect(got.Reason).To(Equal(scheduling.ReasonLateOnArrival))
		Expect(got.Failure.Code).To(Equal(failure.Overloaded))
		Expect(got.Failure.Outcome).To(Equal(failure.NotRun))
		Expect(got.Failure.RetryAfter).To(BeNumerically("~", 2*time.Second, 500*time.Millisecond))
		Expect(lo.Must(lo.Find(b.pool.Stats(b.now).Classes, func(c scheduling.ClassStats) bool { return c.Class == "tier1" })).Waiting).
			To(Equal(20))
		Expect(b.pool.Stats(b.now).DrainRate).To(BeNumerically("~", 10, 1))
	})

	It("counts only what runs before: a higher tier and a small workspace are admitted", func() {
		b := newBed(4, nil)
		for i := range 24 {
			b.submit(ask(fmt.Sprint("load", i), 2))
		}
		for i := range 10 {
			b.pass(100 * time.Millisecond)
			b.release(b.grants[i], 400*time.Millisecond)
			b.submit(ask(fmt.Sprint("more", i), 2))
		}
		same, small, high := ask("same", 2), ask("small", 2), ask("high", 1)
		same.Target.FirstTokenMS, small.Target.FirstTokenMS, high.Target.FirstTokenMS = 1000, 1000, 1000
		small.Workspace = "small"
		b.submit(same, small, high)
		Expect(b.refused).To(HaveKey("same"))
		Expect(b.refused).NotTo(HaveKey("small"))
		Expect(b.refused).NotTo(HaveKey("high"))
	})

	It("spreads the time to come back within its floor and cap", func() {
		b := newBed(1, func(c *scheduling.Config) { c.Rand = rand.New(rand.NewPCG(1, 2)) })
		b.slots.endpoints = 0
		for i := range 20 {
			b.submit(ask(fmt.Sprint(i), 1))
		}
		waits := lo.MapToSlice(b.refused, func(_ string, d scheduling.Decision) time.Duration { return d.Failure.RetryAfter })
		Expect(waits).To(HaveEach(BeNumerically(">=", time.Second)))
		Expect(waits).To(HaveEach(BeNumerically("<=", 1250*time.Millisecond)))
		Expect(len(lo.Uniq(waits))).To(BeNumerically(">", 10))
	})

	It("refuses at expiry, by the target less what the service takes", func() {
		b := newBed(1, nil)
		saturate(b, 3, 400*time.Millisecond)
		whole := ask("whole", 1)
		whole.Class, whole.Target.FirstTokenMS, whole.Target.CompleteMS = "whole", 0, 4000
		whole.Waited = 500 * time.Millisecond
		b.submit(whole)
		b.pass(3400 * time.Millisecond)
		b.tick()
		Expect(b.refused).NotTo(HaveKey("whole"))
		b.pass(200 * time.Millisecond)
		b.tick()
		Expect(b.refused["whole"].Reason).To(Equal(scheduling.ReasonExpired))
		Expect(b.refused["whole"].Failure.Outcome).To(Equal(failure.NotRun))
		expectLawful(b, false)
	})

	It("refuses at expiry behind others that still have time", func() {
		b := newBed(1, nil)
		brief := ask("brief", 3)
		brief.Target.FirstTokenMS = 1000
		b.submit(ask("running", 1), ask("first", 1), brief)
		b.pass(1100 * time.Millisecond)
		b.tick()
		Expect(b.refused["brief"].Reason).To(Equal(scheduling.ReasonExpired))
		Expect(b.refused).To(HaveLen(1))
	})

	It("grants nothing whose time is over", func() {
		b := newBed(1, nil)
		b.submit(ask("running", 1), ask("late", 1))
		b.pass(11 * time.Second)
		b.release("running", time.Second)
		Expect(b.grants).To(Equal([]string{"running"}))
		Expect(b.refused).To(HaveKey("late"))
	})

	It("bounds a further attempt by a fresh wait, not by a target that has passed", func() {
		b := newBed(1, nil)
		again := ask("again", 1)
		again.Attempt, again.Waited, again.MaxWait = 2, time.Minute, time.Second
		b.submit(ask("running", 1), ask("first", 1), again)
		b.pass(20 * time.Second)
		b.tick()
		Expect(b.refused).NotTo(HaveKey("again"))
		b.release("running", time.Second)
		Expect(b.grants).To(Equal([]string{"running", "again"}), "its target is the most urgent")
	})

	It("answers no_endpoint at once, and to all who wait when the last one goes", func() {
		b := newBed(1, nil)
		b.submit(ask("running", 1), ask("waits", 1))
		b.slots.endpoints = 0
		b.pass(time.Second)
		b.submit(ask("new", 1))
		Expect(b.refused["new"].Failure.Code).To(Equal(failure.NoEndpoint))
		b.tick()
		Expect(b.refused["waits"].Failure.Code).To(Equal(failure.NoEndpoint))
		Expect(b.refused["waits"].Failure.Outcome).To(Equal(failure.NotRun))
	})

	It("sheds the lowest tier when the queue is full, and the largest workspace within it", func() {
		b := newBed(1, func(c *scheduling.Config) { c.MaxWaiting = 20 })
		b.submit(ask("running", 1))
		for i := range 19 {
			b.submit(ask(fmt.Sprint("large", i), 3))
		}
		small := func(id string) routing.PermitRequest {
			a := ask(id, 3)
			a.Workspace = "small"
			return a
		}
		b.submit(small("small0"), small("small1"))
		Expect(b.refused).To(HaveLen(1))
		b.submit(ask("large19", 3))
		Expect(b.refused["large19"].Reason).To(Equal(scheduling.ReasonQueueFull))
		for i := range 20 {
			b.submit(ask(fmt.Sprint("high", i), 1))
		}
		Expect(b.refused).NotTo(HaveKey(HavePrefix("high")))
		b.submit(ask("high20", 1))
		Expect(b.refused).To(HaveKey("high20"))
		shed := len(b.refused)
		for i := range 10 {
			b.submit(ask(fmt.Sprint("later", i), 3))
		}
		Expect(b.refused).To(HaveLen(shed + 10))
		Expect(b.refused).NotTo(HaveKey("high0"))
		Expect(b.refused["later9"].Reason).To(Equal(scheduling.ReasonQueueFull))
		expectLawful(b, false)
	})
})
