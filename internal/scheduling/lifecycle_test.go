package scheduling_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
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
		restored := routing.Progress{AttemptID: "old", Endpoint: "e", Request: ask("old", 1)}
		b.pool.Restore(b.now, restored)
		b.pool.Restore(b.now, restored)
		b.submit(ask("a", 1), ask("b", 1))
		Expect(b.grants).To(Equal([]string{"a"}))
		b.release("old", time.Second)
		Expect(b.grants).To(Equal([]string{"a", "b"}))
		b.pool.Restore(b.now, restored)
		Expect(b.slots.busy).To(Equal(2))
	})

	It("grants a share of the free slots while cautious, then a growing one", func() {
		b := newBed(9, nil)
		b.pool.Restore(b.now, routing.Progress{AttemptID: "old", Request: ask("old", 1)})
		b.pool.SetConservative(b.now, b.now.Add(time.Second))
		for i := range 9 {
			b.submit(ask(fmt.Sprint(i), catalog.Tier(1+i%2)))
		}
		Expect(b.grants).To(BeEmpty(), "asks that come again are put in order first")
		b.tick()
		Expect(b.grants).To(Equal([]string{"0", "2"}), "a quarter of eight, the higher tier first")
		b.pass(time.Second + scheduling.DefaultCautiousRamp/3)
		b.tick()
		Expect(b.grants).To(Equal([]string{"0", "2", "4", "6", "8"}), "the lower tier waits for its half of eight")
		b.pass(scheduling.DefaultCautiousRamp)
		b.tick()
		Expect(b.grants).To(HaveLen(8))
		Expect(b.refused).To(BeEmpty())
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
