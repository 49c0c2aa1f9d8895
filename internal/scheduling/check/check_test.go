package check_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
	"github.com/primrosewell/primrosewell/internal/scheduling/check"
)

func TestCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "check")
}

// history builds a history by hand.
type history struct {
	check.History
	now time.Time
}

func ask(id string, tier catalog.Tier) routing.PermitRequest {
	return routing.PermitRequest{ID: id, Class: fmt.Sprint("class", tier), Tier: tier, FloorPercent: 10}
}

func (h *history) submit(asks ...routing.PermitRequest) {
	for _, a := range asks {
		h.Submitted(h.now, a)
	}
}

func (h *history) grant(asks ...routing.PermitRequest) {
	for _, a := range asks {
		h.Record(scheduling.Decision{At: h.now, Kind: scheduling.Granted, Request: a})
	}
}

func (h *history) refuse(a routing.PermitRequest, reason string) {
	h.Record(scheduling.Decision{At: h.now, Kind: scheduling.Refused, Request: a, Reason: reason})
}

func asks(prefix string, tier catalog.Tier, n int) []routing.PermitRequest {
	return lo.Times(n, func(i int) routing.PermitRequest { return ask(fmt.Sprint(prefix, i), tier) })
}

func rules(h *history, ended bool) []check.Rule {
	return lo.Uniq(lo.Map(h.Verify(ended), func(v check.Violation, _ int) check.Rule { return v.Rule }))
}

var _ = Describe("History", func() {
	It("accepts order by tier with the floors", func() {
		h := &history{}
		high, low := asks("high", 1, 90), asks("low", 3, 10)
		h.submit(high...)
		h.submit(low...)
		for i := range low {
			h.grant(high[9*i : 9*i+9]...)
			h.grant(low[i])
		}
		Expect(rules(h, true)).To(BeEmpty())
	})

	It("finds an ask that ends twice, or never", func() {
		h := &history{}
		h.submit(ask("twice", 1), ask("never", 1))
		h.grant(ask("twice", 1), ask("twice", 1))
		Expect(h.Verify(true)).To(HaveLen(2))
		Expect(rules(h, true)).To(Equal([]check.Rule{check.OneEnd}))
	})

	It("finds a higher tier that waits while lower ones run beyond their floors", func() {
		h := &history{}
		h.submit(ask("waits", 1))
		h.submit(asks("low", 3, 20)...)
		h.grant(asks("low", 3, 20)...)
		Expect(rules(h, false)).To(ContainElement(check.TierOrder))
	})

	It("does not count an ask that placement held back", func() {
		h := &history{}
		h.submit(ask("parked", 1))
		h.submit(asks("low", 3, 20)...)
		h.grant(asks("low", 3, 20)...)
		h.Record(scheduling.Decision{At: h.now, Kind: scheduling.Granted, Request: ask("parked", 1), Parked: true})
		Expect(rules(h, true)).To(BeEmpty())
	})

	It("finds a class that starves", func() {
		h := &history{}
		h.submit(ask("starves", 3))
		h.submit(asks("high", 1, 100)...)
		h.grant(asks("high", 1, 100)...)
		Expect(rules(h, false)).To(Equal([]check.Rule{check.Floor}))
	})

	It("finds a victim that is not of the lowest tier", func() {
		h := &history{}
		h.submit(asks("low", 3, 5)...)
		h.submit(ask("victim", 1))
		h.refuse(ask("victim", 1), scheduling.ReasonShed)
		Expect(rules(h, false)).To(Equal([]check.Rule{check.TierShed}))
	})
})
