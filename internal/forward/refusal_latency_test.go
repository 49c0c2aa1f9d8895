package forward_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/headers"
)

// Load pattern: an engine with a long backlog refuses a request within a millisecond.
var _ = Describe("A refusal by an endpoint", func() {
	It("does not count as the time in which a prompt is prefilled", func() {
		s := spec()
		s.Routes[1].PromptAffinity = true
		e := newEndpoint(refuseNotRun())
		fx := newFixture(s, e)
		now := time.Now()
		c := fx.pool.Pick(now, balance.Request{PromptTokens: 20000})
		c.ResponseStarted(now.Add(100 * time.Millisecond))
		c.Done(now, balance.Succeeded)
		for range 30 {
			fx.pool.Pick(now, balance.Request{PromptTokens: 20000})
		}
		before := fx.pool.Pick(now, balance.Request{PromptTokens: 1000})
		Expect(fx.call("/unsafe/x", headers.Default().PromptSize, "20000,10").StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(e.received()).To(HaveLen(1))
		after := fx.pool.Pick(now, balance.Request{PromptTokens: 1000})
		Expect(after.PredictedWait).To(BeNumerically(">=", before.PredictedWait))
	})
})
