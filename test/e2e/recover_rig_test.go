package e2e_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/soak"
)

var _ = Describe("Gateways as processes that reach no endpoint", Label("recover"), func() {
	DescribeTable("serve their callers as others do", func(seed uint64, cutShare float64, variant int, others ...soak.Kind) {
		length, fleet := rigLength(), fleetOf(soak.Generation)
		s := newSoakRun(seed, fleet, true)
		cut := int(cutShare * float64(fleet.Gateways))
		var faults []soak.Fault
		for i := range cut {
			faults = append(faults, soak.Fault{Kind: soak.CutFromEndpoints, Index: i, From: time.Second, To: length, Variant: variant})
		}
		for i, kind := range others {
			faults = append(faults, soak.Fault{Kind: kind, Index: cut + i, From: length / 2, To: length/2 + 2*time.Second})
		}
		s.play(faults, length)
		sent, served := s.history.Counts()
		counts := s.history.ReachCounts()
		AddReportEntry(fmt.Sprintf("%d gateways, %d endpoints: %d sent, %d served; %+v", fleet.Gateways, fleet.Endpoints, sent, served, counts))
		Expect(s.history.Violations()).To(BeEmpty())
		Expect(s.faults.list()).To(BeEmpty())
		Expect(counts.CutSent).To(BeNumerically(">", 0))
		Expect(counts.Violations()).To(BeEmpty())
	},
		Entry("half of them, refused; others are killed and drained", uint64(1), 0.5, 0, soak.KillGateway, soak.DrainGateway),
		Entry("two thirds of them, without an answer; another is frozen", uint64(2), 0.67, 1, soak.FreezeGateway))
})
