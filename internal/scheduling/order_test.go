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
	It("goes by tier, then by time left, then by size", func() {
		b := newBed(1, nil)
		b.submit(ask("running", 3))
		late, soon, short := ask("late", 2), ask("soon", 2), ask("short", 2)
		late.Target.FirstTokenMS = 9000
		soon.Target.FirstTokenMS = 5000
		short.Target.FirstTokenMS, short.MaxOutputTokens = 9000, 4
		b.submit(ask("low", 3), late, soon, short, ask("high", 1))
		b.drainAll()
		Expect(b.grants).To(Equal([]string{"running", "high", "soon", "short", "late", "low"}))
		expectLawful(b, true)
	})

	It("compares time left between the classes of a tier", func() {
		b := newBed(1, nil)
		b.submit(ask("running", 1))
		first, second := ask("first", 1), ask("second", 1)
		second.Class, second.Waited = "other", 5*time.Second
		b.submit(first, second)
		b.drainAll()
		Expect(b.grants).To(Equal([]string{"running", "second", "first"}))
	})

	It("gives each class its floor under a long burst of the top tier, and no more", func() {
		b := newBed(1, nil)
		b.submit(ask("running", 1))
		for i := range 50 {
			low, middle := ask(fmt.Sprint("low", i), 3), ask(fmt.Sprint("middle", i), 2)
			low.FloorPercent, middle.FloorPercent = 5, 10
			b.submit(low, middle)
		}
		for i := range 200 {
			b.submit(ask(fmt.Sprint("high", i), 1))
		}
		for i := range 200 {
			b.release(b.grants[i], 10*time.Millisecond)
		}
		count := lo.CountValuesBy(b.grants, func(id string) string { return strings.TrimRight(id, "0123456789") })
		Expect(count["low"]).To(BeNumerically("~", 10, 1))
		Expect(count["middle"]).To(BeNumerically("~", 20, 1))
		expectLawful(b, false)
	})

	It("shares a class between workspaces by weight, so that a large one crowds out none", func() {
		b := newBed(1, nil)
		b.submit(ask("running", 1))
		of := func(workspace string, weight, n int) []routing.PermitRequest {
			return lo.Times(n, func(i int) routing.PermitRequest {
				a := ask(fmt.Sprint(workspace, i), 1)
				a.Workspace, a.Weight = workspace, weight
				return a
			})
		}
		b.submit(of("large", 1, 300)...)
		b.submit(of("small", 1, 10)...)
		b.submit(of("heavy", 3, 300)...)
		for i := range 50 {
			b.release(b.grants[i], 10*time.Millisecond)
		}
		count := lo.CountValuesBy(b.grants, func(id string) string { return strings.TrimRight(id, "0123456789") })
		Expect(count["small"]).To(BeNumerically("~", 10, 1))
		Expect(count["large"]).To(BeNumerically("~", 10, 2))
		Expect(count["heavy"]).To(BeNumerically("~", 30, 2))
	})

	It("is not held up by an ask that the free endpoints can not take", func() {
		b := newBed(1, nil)
		b.submit(ask("running", 1))
		suspect := ask("suspect", 1)
		suspect.Suspect = true
		b.slots.refuses["suspect"] = true
		b.submit(suspect, ask("next", 2))
		b.release("running", time.Second)
		Expect(b.grants).To(Equal([]string{"running", "next"}))
		b.slots.blocked["other"] = true
		blocked := ask("blocked", 1)
		blocked.Digest = "other"
		b.submit(blocked)
		Expect(b.refused["blocked"].Failure.Code).To(Equal(failure.Quarantined))
		delete(b.slots.refuses, "suspect")
		b.release("next", time.Second)
		Expect(b.grants).To(HaveLen(3))
		expectLawful(b, true)
	})

	It("tries a set-aside ask of a low tier while a higher tier waits for a full pool", func() {
		b := newBed(1, nil)
		b.submit(ask("running", 1))
		suspect := ask("suspect", 3)
		suspect.Suspect = true
		b.slots.refuses["suspect"], b.slots.refuses["high"] = true, true
		b.submit(suspect)
		b.release("running", time.Second)
		b.submit(ask("high", 1))
		delete(b.slots.refuses, "suspect")
		b.tick()
		Expect(b.grants).To(Equal([]string{"running", "suspect"}))
	})

	It("tries every set-aside ask in turn", func() {
		b := newBed(1, nil)
		b.submit(ask("running", 1))
		for i := range 30 {
			suspect := ask(fmt.Sprint("suspect", i), 1)
			suspect.Suspect = true
			b.slots.refuses[suspect.ID] = i < 29
			b.submit(suspect)
		}
		b.release("running", time.Second)
		for range 12 {
			b.tick()
		}
		Expect(b.grants).To(ContainElement("suspect29"))
	})

	It("keeps a few slots free for a higher tier that comes steadily", func() {
		b := newBed(50, nil)
		steady := func(n int) {
			for range n {
				b.submit(ask(fmt.Sprint("high", b.now.UnixNano()), 1))
				b.pass(100 * time.Millisecond)
				if len(b.grants) > 5 {
					b.release(b.grants[len(b.grants)-6], 500*time.Millisecond)
				}
			}
		}
		steady(60)
		for i := range 100 {
			b.submit(ask(fmt.Sprint("low", i), 3))
		}
		Expect(b.slots.busy).To(BeNumerically("<", 50))
		Expect(b.slots.busy).To(BeNumerically(">=", 45), "at most a tenth is kept free")
		b.submit(ask("urgent0", 1), ask("urgent1", 1))
		Expect(b.grants).To(ContainElements("urgent0", "urgent1"))
		b.pass(20 * time.Second)
		b.tick()
		b.submit(lo.Times(9, func(i int) routing.PermitRequest { return ask(fmt.Sprint("later", i), 3) })...)
		Expect(b.slots.busy).To(Equal(50), "nothing is kept free for a tier that stays away")
	})
})
