package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/estimate"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/routing"
)

var _ = Describe("A pool brokered here", func() {
	It("refuses a request whose content is blocked in the daemon's quarantine register", func() {
		register := quarantine.New(quarantine.Config{})
		parts := newPoolFactory(estimate.New(estimate.Config{}), register).newPool("s", false)
		now := time.Now()
		backend := catalog.Endpoint{Name: "a", Service: "s", Address: "192.0.2.1:1"}
		parts.Fleet.Update(now, []catalog.Endpoint{backend.WithDefaults()}, nil)
		register.Crashed(now, "x", []string{"poison"})
		register.Crashed(now, "y", []string{"poison"})
		decisions := parts.Pool.Submit(now, routing.PermitRequest{ID: "1", Pool: "s", Class: "c", Tier: 1, Weight: 1, Digest: "poison"})
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Failure).NotTo(BeNil())
		Expect(decisions[0].Failure.Code).To(Equal(failure.Quarantined))
	})
})
