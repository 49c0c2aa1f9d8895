package e2e_test

import (
	"fmt"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/soak"
)

// Environment of the rigs: how long one runs; SOAK_FLEET gives the fleet.
const rigVariable = "RIG_LENGTH"

// ciRigLength is that of CI: two windows of the users' rule on limits after it holds.
const ciRigLength = 11 * time.Second

func rigLength() time.Duration {
	if given, err := time.ParseDuration(os.Getenv(rigVariable)); err == nil {
		return given
	}
	return ciRigLength
}

// limitVariant selects the limit among limits.
const limitVariant = 2

var _ = Describe("Limits before gateways as processes", Label("limits"), func() {
	// run has the first endpoints name a limit for nearly the whole run, beside other faults.
	run := func(seed uint64, limited func(soak.Fleet) int, faults ...soak.Fault) (served, refused int) {
		length, fleet := rigLength(), fleetOf(soak.Generation)
		s := newSoakRun(seed, fleet, true)
		for i := range limited(fleet) {
			faults = append(faults, soak.Fault{Kind: soak.LimitEndpoint, Index: i, From: 500 * time.Millisecond, To: length, Variant: limitVariant})
		}
		s.play(faults, length)
		sent, served := s.history.Counts()
		refused, timeless := s.history.Refusals()
		uses := s.history.LimitUses()
		AddReportEntry(fmt.Sprintf("%d gateways, %d endpoints: %d sent, %d served, %d refused; %+v", fleet.Gateways, fleet.Endpoints, sent, served, refused, uses))
		Expect(s.history.Violations()).To(BeEmpty())
		Expect(s.faults.list()).To(BeEmpty())
		Expect(timeless).To(BeZero(), "refusals without a time to come back")
		Expect(uses).NotTo(BeEmpty())
		for _, use := range uses {
			Expect(use.Requests).To(BeNumerically(">", 0), use.Instance)
		}
		return served, refused
	}

	It("hold for all of them while some are killed, frozen and cut from the platform; the other endpoints take the rest", func() {
		half := rigLength() / 2
		served, refused := run(1, func(f soak.Fleet) int { return f.Endpoints / 3 },
			soak.Fault{Kind: soak.KillGateway, Index: 0, From: half, To: half + time.Second},
			soak.Fault{Kind: soak.FreezeGateway, Index: 1, From: half, To: half + 2*time.Second},
			soak.Fault{Kind: soak.CutFromPlatform, Index: 2, From: time.Second, To: half},
		)
		Expect(served).To(BeNumerically(">", refused))
	})

	It("hold if all endpoints name one; what is refused was not run and has a time to come back", func() {
		_, refused := run(2, func(f soak.Fleet) int { return f.Endpoints })
		Expect(refused).To(BeNumerically(">", 0))
	})
})
