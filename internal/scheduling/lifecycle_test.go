package scheduling_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
)

var _ = Describe("Life of an ask", func() {
	It("leaves the queue at once when its caller leaves", func() {
		b := newBed(1, nil)
		b.submit(ask("running", 1), ask("gone", 1), ask("next", 1))
		b.take(b.pool.Cancel(b.now, "gone"))
		Expect(b.refused["gone"].Failure.Code).To(Equal(failure.ClientGone))
		Expect(b.refused["gone"].Failure.Outcome).To(Equal(failure.NotRun))
		b.take(b.pool.Cancel(b.now, "running"))
		b.drainAll()
		Expect(b.grants).To(Equal([]string{"running", "next"}))
		expectLawful(b, true)
	})

	It("refuses an ask whose cancellation came first", func() {
		b := newBed(1, nil)
		b.take(b.pool.Cancel(b.now, "crossed"))
		b.submit(ask("crossed", 1))
		Expect(b.grants).To(BeEmpty())
		Expect(b.refused["crossed"].Failure.Code).To(Equal(failure.ClientGone))
	})

	It("is idempotent for repeated submissions and releases", func() {
		b := newBed(1, nil)
		b.submit(ask("a", 1), ask("b", 1))
		b.submit(ask("a", 1), ask("b", 1))
		Expect(b.grants).To(Equal([]string{"a", "a"}))
		Expect(b.slots.busy).To(Equal(1))
		b.release("a", time.Second)
		b.release("a", time.Second)
		b.release("unknown", time.Second)
		Expect(b.slots.busy).To(Equal(1))
		b.submit(ask("a", 1))
		Expect(b.refused["a"].Failure.Outcome).To(Equal(failure.Unknown))
	})

	It("rebuilds its counts from progress, once for each grant", func() {
		b := newBed(2, nil)
		restored := routing.Progress{AskID: "old", Endpoint: "e", Ask: ask("old", 1)}
		b.pool.Restore(b.now, restored)
		b.pool.Restore(b.now, restored)
		b.submit(ask("a", 1), ask("b", 1))
		Expect(b.grants).To(Equal([]string{"a"}))
		b.release("old", time.Second)
		Expect(b.grants).To(Equal([]string{"a", "b"}))
		b.pool.Restore(b.now, restored)
		Expect(b.slots.busy).To(Equal(2))
	})

	It("grants only a share of the free slots while cautious, then the rest", func() {
		b := newBed(9, func(c *scheduling.Config) { c.CautiousShare = 0.25 })
		b.pool.Restore(b.now, routing.Progress{AskID: "old", Ask: ask("old", 1)})
		b.pool.SetCautious(b.now, b.now.Add(time.Second))
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			b.submit(ask(id, 1))
		}
		Expect(b.grants).To(HaveLen(2))
		Expect(b.refused).To(BeEmpty())
		b.pass(time.Second)
		b.tick()
		Expect(b.grants).To(HaveLen(5))
	})

	It("drops the asks and frees the grants of a daemon that is gone", func() {
		b := newBed(1, nil)
		other := ask("other", 1)
		other.Daemon = "d2"
		b.submit(ask("running", 1), ask("waits", 1), other)
		b.take(b.pool.Expire(b.now, "d1"))
		Expect(b.refused["waits"].Reason).To(Equal(scheduling.ReasonDaemonGone))
		Expect(b.grants).To(Equal([]string{"running", "other"}))
		Expect(b.slots.busy).To(Equal(1))
		b.release("running", time.Second)
		Expect(b.slots.busy).To(Equal(1))
		expectLawful(b, true)
	})

	It("shows its classes", func() {
		b := newBed(1, nil)
		b.submit(ask("a", 1), ask("b", 2), ask("c", 2))
		b.pass(time.Second)
		stats := b.pool.Stats(b.now)
		Expect(stats.Waiting).To(Equal(2))
		Expect(stats.Classes).To(HaveLen(2))
		Expect(stats.Classes[0].Running).To(Equal(1))
		Expect(stats.Classes[1].Waiting).To(Equal(2))
		Expect(stats.Classes[1].OldestWait).To(Equal(time.Second))
	})
})
