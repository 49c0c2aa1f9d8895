package scheduling_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

var _ = Describe("Order", func() {
	It("orders by tier, then by latest start, then by size", func() {
		f := newFixture(1, nil)
		f.submit(newRequest("running", 3))
		laterStart, earlierStart, short := newRequest("late", 2), newRequest("soon", 2), newRequest("short", 2)
		laterStart.Target.FirstTokenMS = 9000
		earlierStart.Target.FirstTokenMS = 5000
		short.Target.FirstTokenMS, short.MaxOutputTokens = 9000, 4
		f.submit(newRequest("low", 3), laterStart, earlierStart, short, newRequest("high", 1))
		f.releaseAll()
		Expect(f.grants).To(Equal([]string{"running", "high", "soon", "short", "late", "low"}))
		expectNoViolations(f, true)
	})

	It("compares latest starts between the classes of a tier", func() {
		f := newFixture(1, nil)
		f.submit(newRequest("running", 1))
		first, second := newRequest("first", 1), newRequest("second", 1)
		second.Class, second.Waited = "other", 5*time.Second
		f.submit(first, second)
		f.releaseAll()
		Expect(f.grants).To(Equal([]string{"running", "second", "first"}))
	})

	It("gives each class its floor under a long burst of the top tier, and no more", func() {
		f := newFixture(1, nil)
		f.submit(newRequest("running", 1))
		for i := range 50 {
			low, middle := newRequest(fmt.Sprint("low", i), 3), newRequest(fmt.Sprint("middle", i), 2)
			low.FloorPercent, middle.FloorPercent = 5, 10
			f.submit(low, middle)
		}
		for i := range 200 {
			f.submit(newRequest(fmt.Sprint("high", i), 1))
		}
		for i := range 200 {
			f.release(f.grants[i], 10*time.Millisecond)
		}
		count := lo.CountValuesBy(f.grants, func(id string) string { return strings.TrimRight(id, "0123456789") })
		Expect(count["low"]).To(BeNumerically("~", 10, 1))
		Expect(count["middle"]).To(BeNumerically("~", 20, 1))
		expectNoViolations(f, false)
	})

	It("shares a class between workspaces by weight, so that a large one does not crowd out others", func() {
		f := newFixture(1, nil)
		f.submit(newRequest("running", 1))
		newRequests := func(workspace string, weight, n int) []routing.PermitRequest {
			return lo.Times(n, func(i int) routing.PermitRequest {
				request := newRequest(fmt.Sprint(workspace, i), 1)
				request.Workspace, request.Weight = workspace, weight
				return request
			})
		}
		f.submit(newRequests("large", 1, 300)...)
		f.submit(newRequests("small", 1, 10)...)
		f.submit(newRequests("heavy", 3, 300)...)
		for i := range 50 {
			f.release(f.grants[i], 10*time.Millisecond)
		}
		count := lo.CountValuesBy(f.grants, func(id string) string { return strings.TrimRight(id, "0123456789") })
		Expect(count["small"]).To(BeNumerically("~", 10, 1))
		Expect(count["large"]).To(BeNumerically("~", 10, 2))
		Expect(count["heavy"]).To(BeNumerically("~", 30, 2))
	})

	It("is not blocked by a request that the free endpoints can not take", func() {
		f := newFixture(1, nil)
		f.submit(newRequest("running", 1))
		suspect := newRequest("suspect", 1)
		suspect.Suspect = true
		f.placer.unplaceable["suspect"] = true
		f.submit(suspect, newRequest("next", 2))
		f.release("running", time.Second)
		Expect(f.grants).To(Equal([]string{"running", "next"}))
		f.placer.quarantined["other"] = true
		blocked := newRequest("blocked", 1)
		blocked.Digest = "other"
		f.submit(blocked)
		Expect(f.refused["blocked"].Failure.Code).To(Equal(failure.Quarantined))
		delete(f.placer.unplaceable, "suspect")
		f.release("next", time.Second)
		Expect(f.grants).To(HaveLen(3))
		expectNoViolations(f, true)
	})

	It("tries a parked request of a low tier while a higher tier waits for a full pool", func() {
		f := newFixture(1, nil)
		f.submit(newRequest("running", 1))
		suspect := newRequest("suspect", 3)
		suspect.Suspect = true
		f.placer.unplaceable["suspect"], f.placer.unplaceable["high"] = true, true
		f.submit(suspect)
		f.release("running", time.Second)
		f.submit(newRequest("high", 1))
		delete(f.placer.unplaceable, "suspect")
		f.tick()
		Expect(f.grants).To(Equal([]string{"running", "suspect"}))
	})

	It("tries every parked request in rotation", func() {
		f := newFixture(1, nil)
		f.submit(newRequest("running", 1))
		for i := range 30 {
			suspect := newRequest(fmt.Sprint("suspect", i), 1)
			suspect.Suspect = true
			f.placer.unplaceable[suspect.ID] = i < 29
			f.submit(suspect)
		}
		f.release("running", time.Second)
		for range 12 {
			f.tick()
		}
		Expect(f.grants).To(ContainElement("suspect29"))
	})

	It("keeps a few slots free for a higher tier with steady arrivals", func() {
		f := newFixture(50, nil)
		submitSteadily := func(n int) {
			for range n {
				f.submit(newRequest(fmt.Sprint("high", f.now.UnixNano()), 1))
				f.advance(100 * time.Millisecond)
				if len(f.grants) > 5 {
					f.release(f.grants[len(f.grants)-6], 500*time.Millisecond)
				}
			}
		}
		submitSteadily(60)
		for i := range 100 {
			f.submit(newRequest(fmt.Sprint("low", i), 3))
		}
		Expect(f.placer.busy).To(BeNumerically("<", 50))
		Expect(f.placer.busy).To(BeNumerically(">=", 45), "at most a tenth is kept free")
		f.submit(newRequest("urgent0", 1), newRequest("urgent1", 1))
		Expect(f.grants).To(ContainElements("urgent0", "urgent1"))
		f.advance(20 * time.Second)
		f.tick()
		f.submit(lo.Times(9, func(i int) routing.PermitRequest { return newRequest(fmt.Sprint("later", i), 3) })...)
		Expect(f.placer.busy).To(Equal(50), "no slot is kept free for a tier without arrivals")
	})
})
