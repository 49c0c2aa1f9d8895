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

// historyBuilder records made-up submissions and decisions in a History.
type historyBuilder struct {
	check.History
	now time.Time
}

func newRequest(id string, tier catalog.Tier) routing.PermitRequest {
	return routing.PermitRequest{ID: id, Class: fmt.Sprint("class", tier), Tier: tier, FloorPercent: 10}
}

func (h *historyBuilder) submit(requests ...routing.PermitRequest) {
	for _, request := range requests {
		h.Submitted(h.now, request)
	}
}

func (h *historyBuilder) grant(requests ...routing.PermitRequest) {
	for _, request := range requests {
		h.Record(scheduling.Decision{At: h.now, Kind: scheduling.Granted, Request: request})
	}
}

func (h *historyBuilder) refuse(request routing.PermitRequest, reason string) {
	h.Record(scheduling.Decision{At: h.now, Kind: scheduling.Refused, Request: request, Reason: reason})
}

func newRequests(prefix string, tier catalog.Tier, n int) []routing.PermitRequest {
	return lo.Times(n, func(i int) routing.PermitRequest { return newRequest(fmt.Sprint(prefix, i), tier) })
}

func violatedRules(h *historyBuilder, complete bool) []check.Rule {
	return lo.Uniq(lo.Map(h.Verify(complete), func(v check.Violation, _ int) check.Rule { return v.Rule }))
}

var _ = Describe("History", func() {
	It("accepts dispatch by tier with floors", func() {
		h := &historyBuilder{}
		high, low := newRequests("high", 1, 90), newRequests("low", 3, 10)
		h.submit(high...)
		h.submit(low...)
		for i := range low {
			h.grant(high[9*i : 9*i+9]...)
			h.grant(low[i])
		}
		Expect(violatedRules(h, true)).To(BeEmpty())
	})

	It("finds a request that is decided twice, or never", func() {
		h := &historyBuilder{}
		h.submit(newRequest("twice", 1), newRequest("never", 1))
		h.grant(newRequest("twice", 1), newRequest("twice", 1))
		Expect(h.Verify(true)).To(HaveLen(2))
		Expect(violatedRules(h, true)).To(Equal([]check.Rule{check.OneDecision}))
	})

	It("finds lower tiers that exceed their floors while a higher tier waits", func() {
		h := &historyBuilder{}
		h.submit(newRequest("waits", 1))
		h.submit(newRequests("low", 3, 20)...)
		h.grant(newRequests("low", 3, 20)...)
		Expect(violatedRules(h, false)).To(ContainElement(check.TierOrder))
	})

	It("does not count a parked request as waiting", func() {
		h := &historyBuilder{}
		h.submit(newRequest("parked", 1))
		h.submit(newRequests("low", 3, 20)...)
		h.grant(newRequests("low", 3, 20)...)
		h.Record(scheduling.Decision{At: h.now, Kind: scheduling.Granted, Request: newRequest("parked", 1), Parked: true})
		Expect(violatedRules(h, true)).To(BeEmpty())
	})

	It("finds a class that does not get its floor", func() {
		h := &historyBuilder{}
		h.submit(newRequest("starves", 3))
		h.submit(newRequests("high", 1, 100)...)
		h.grant(newRequests("high", 1, 100)...)
		Expect(violatedRules(h, false)).To(Equal([]check.Rule{check.Floor}))
	})

	It("finds a shed request that is not of the lowest tier", func() {
		h := &historyBuilder{}
		h.submit(newRequests("low", 3, 5)...)
		h.submit(newRequest("shed", 1))
		h.refuse(newRequest("shed", 1), scheduling.ReasonShed)
		Expect(violatedRules(h, false)).To(Equal([]check.Rule{check.TierShed}))
	})
})
