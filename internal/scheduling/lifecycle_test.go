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

var _ = Describe("Lifecycle of a request", func() {
	It("leaves the queue at once when its caller disconnects", func() {
		f := newFixture(1, nil)
		f.submit(newRequest("running", 1), newRequest("gone", 1), newRequest("next", 1))
		f.collect(f.pool.Cancel(f.now, "gone"))
		Expect(f.refused["gone"].Failure.Code).To(Equal(failure.ClientGone))
		Expect(f.refused["gone"].Failure.Outcome).To(Equal(failure.NotRun))
		f.collect(f.pool.Cancel(f.now, "running"))
		f.releaseAll()
		Expect(f.grants).To(Equal([]string{"running", "next"}))
		expectNoViolations(f, true)
	})

	It("refuses a request whose cancellation arrived first", func() {
		f := newFixture(1, nil)
		f.collect(f.pool.Cancel(f.now, "crossed"))
		f.submit(newRequest("crossed", 1))
		Expect(f.grants).To(BeEmpty())
		Expect(f.refused["crossed"].Failure.Code).To(Equal(failure.ClientGone))
	})

	It("is idempotent for repeated submissions and releases", func() {
		f := newFixture(1, nil)
		f.submit(newRequest("a", 1), newRequest("b", 1))
		f.submit(newRequest("a", 1), newRequest("b", 1))
		Expect(f.grants).To(Equal([]string{"a", "a"}))
		Expect(f.placer.busy).To(Equal(1))
		f.release("a", time.Second)
		f.release("a", time.Second)
		f.release("unknown", time.Second)
		Expect(f.placer.busy).To(Equal(1))
		f.submit(newRequest("a", 1))
		Expect(f.refused["a"].Failure.Outcome).To(Equal(failure.Unknown))
	})

	It("rebuilds its counts from progress, once for each grant", func() {
		f := newFixture(2, nil)
		restored := routing.Progress{AttemptID: "old", Endpoint: "e", Request: newRequest("old", 1)}
		f.pool.Restore(f.now, restored)
		f.pool.Restore(f.now, restored)
		f.submit(newRequest("a", 1), newRequest("b", 1))
		Expect(f.grants).To(Equal([]string{"a"}))
		f.release("old", time.Second)
		Expect(f.grants).To(Equal([]string{"a", "b"}))
		f.pool.Restore(f.now, restored)
		Expect(f.placer.busy).To(Equal(2))
	})

	It("grants a share of the free slots in conservative mode, then a growing one", func() {
		f := newFixture(9, nil)
		f.pool.Restore(f.now, routing.Progress{AttemptID: "old", Request: newRequest("old", 1)})
		f.pool.SetConservative(f.now, f.now.Add(time.Second))
		for i := range 9 {
			f.submit(newRequest(fmt.Sprint(i), catalog.Tier(1+i%2)))
		}
		Expect(f.grants).To(BeEmpty(), "resubmitted requests are ordered first")
		f.tick()
		Expect(f.grants).To(Equal([]string{"0", "2"}), "a quarter of eight, the higher tier first")
		f.advance(time.Second + scheduling.DefaultConservativeRamp/3)
		f.tick()
		Expect(f.grants).To(Equal([]string{"0", "2", "4", "6", "8"}), "the lower tier waits for its half of eight")
		f.advance(scheduling.DefaultConservativeRamp)
		f.tick()
		Expect(f.grants).To(HaveLen(8))
		Expect(f.refused).To(BeEmpty())
	})

	It("drops the requests and frees the grants of a lost daemon", func() {
		f := newFixture(1, nil)
		other := newRequest("other", 1)
		other.Daemon = "d2"
		f.submit(newRequest("running", 1), newRequest("waits", 1), other)
		f.collect(f.pool.Expire(f.now, "d1"))
		Expect(f.refused["waits"].Reason).To(Equal(scheduling.ReasonDaemonGone))
		Expect(f.grants).To(Equal([]string{"running", "other"}))
		Expect(f.placer.busy).To(Equal(1))
		f.release("running", time.Second)
		Expect(f.placer.busy).To(Equal(1))
		expectNoViolations(f, true)
	})

	It("reports statistics by class", func() {
		f := newFixture(1, nil)
		f.submit(newRequest("a", 1), newRequest("b", 2), newRequest("c", 2))
		f.advance(time.Second)
		stats := f.pool.Stats(f.now)
		Expect(stats.Waiting).To(Equal(2))
		Expect(stats.Classes).To(HaveLen(2))
		Expect(stats.Classes[0].Running).To(Equal(1))
		Expect(stats.Classes[1].Waiting).To(Equal(2))
		Expect(stats.Classes[1].OldestWait).To(Equal(time.Second))
	})
})
