package dispatch_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/standin/engine"
)

// hookedClaims calls onClaim before it claims a key.
type hookedClaims struct {
	*fakeClaims
	onClaim func(claim.Claim)
}

func (h hookedClaims) Claim(ctx context.Context, c claim.Claim) (claim.Outcome, claim.Claim, error) {
	h.onClaim(c)
	return h.fakeClaims.Claim(ctx, c)
}

// hookedBroker calls onGrant before it returns a grant.
type hookedBroker struct {
	*fakeBroker
	onGrant func(routing.PermitRequest)
}

func (h hookedBroker) Acquire(ctx context.Context, permitRequest routing.PermitRequest) (routing.Grant, error) {
	grant, err := h.fakeBroker.Acquire(ctx, permitRequest)
	if err == nil {
		h.onGrant(permitRequest)
	}
	return grant, err
}

// runsOf returns the accepted runs of a chat with one user message.
func (f *fixture) runsOf(prompt string) []engine.Run {
	return lo.Filter(f.acceptedRuns(), func(run engine.Run, _ int) bool { return run.Digest == engine.Digest("user\n"+prompt+"\n") })
}

var _ = Describe("evidence recorded between a grant and its call", func() {
	It("keeps a request that waits for its claim from being the third run of a poison request", func(ctx SpecContext) {
		f := newFixture(3, engine.Options{})
		f.setFaults(engine.Faults{PoisonMarker: "POISON"})
		f.options.Claims = hookedClaims{f.claims, func(claim.Claim) {
			result, _ := f.run(ctx, f.request("POISON", nil))
			Expect(result.Failure.Code).To(Equal(failure.Quarantined))
			Eventually(f.unreachable).WithTimeout(waitTimeout).Should(BeEmpty())
		}}
		result, _ := f.run(ctx, f.request("POISON", func(r *dispatch.Request) { r.IdempotencyKey = "k" }))
		Expect(f.runsOf("POISON")).To(HaveLen(2))
		Expect(result.Failure.Code).To(Equal(failure.Quarantined))
		Expect(result.Outcome).To(Equal(failure.NotRun))
		Expect(f.claims.held).To(BeEmpty())
	})

	It("isolates a request that became a suspect while it waited for its claim", func(ctx SpecContext) {
		f := newFixture(2, engine.Options{})
		f.options.Claims = hookedClaims{f.claims, func(c claim.Claim) {
			f.quarantine.Crashed(time.Now(), "e1", []string{c.Digest})
		}}
		result, _ := f.run(ctx, f.request("hello", func(r *dispatch.Request) { r.IdempotencyKey = "k" }))
		Expect(result.Outcome).To(Equal(failure.Completed), "%v", result.Failure)
		Expect(result.Attempts).To(Equal(1))
		Expect(f.broker.granted["r1/1"].Suspect).To(BeFalse())
		Expect(f.broker.granted["r1/2"].Suspect).To(BeTrue())
		Expect(f.runsOf("hello")).To(HaveLen(1))
	})

	It("keeps a hedge from being the third run of a poison request", func(ctx SpecContext) {
		f := newFixture(2, engine.Options{})
		f.broker.hedgeAfter = time.Millisecond
		f.engines[0].SetFaults(engine.Faults{SilentOnArrival: true})
		f.options.Broker = hookedBroker{f.broker, func(permitRequest routing.PermitRequest) {
			defer GinkgoRecover()
			if len(permitRequest.Avoid) == 0 {
				return
			}
			Eventually(f.engines[0].Runs).WithTimeout(waitTimeout).Should(HaveLen(1))
			f.quarantine.Crashed(time.Now(), "e1", []string{permitRequest.Digest}) // another copy's run.
			f.engines[0].Crash(-1)
			Eventually(func() quarantine.State { return f.quarantine.State(time.Now(), permitRequest.Digest) }).
				WithTimeout(waitTimeout).Should(Equal(quarantine.Blocked))
		}}
		result, _ := f.run(ctx, f.request("POISON", nil))
		Expect(f.engines[1].Runs()).To(BeEmpty())
		Expect(result.Failure.Code).To(Equal(failure.Quarantined))
		Expect(result.Outcome).To(Equal(failure.Unknown))
	})
})
