package dispatch_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/endpoint"
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

func (b *fakeBroker) grants() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.granted)
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

	It("ends a hedged request at the second crash; the run that lost the race is none", func(ctx SpecContext) {
		f := newFixture(3, engine.Options{})
		f.broker.hedgeAfter = time.Millisecond
		f.engines[0].SetFaults(engine.Faults{SilentOnArrival: true})
		f.engines[1].SetFaults(engine.Faults{CrashAfterTokens: 1, DownMS: -1})
		f.engines[2].SetFaults(engine.Faults{CrashOnArrival: true, DownMS: -1})
		f.options.Broker = hookedBroker{f.broker, func(routing.PermitRequest) {
			defer GinkgoRecover()
			if f.broker.grants() == 2 { // the hedge's.
				Eventually(f.engines[0].Runs).WithTimeout(waitTimeout).Should(HaveLen(1))
			}
		}}
		result, _ := f.run(ctx, f.request("POISON", nil))
		Expect(result.Failure.Code).To(Equal(failure.Quarantined))
		Expect(f.runsOf("POISON")).To(HaveLen(3))
		Expect(lo.CountBy(f.broker.results(), func(r routing.Result) bool { return r == routing.ResultCrashed })).To(Equal(2))
	})
})

// scriptedClient fails each call with the next cause, before it returns to the dispatcher.
type scriptedClient struct {
	dispatch.EndpointClient
	causes []endpoint.Cause
	calls  int
}

func (c *scriptedClient) Open(_ context.Context, call endpoint.Call) (*endpoint.Stream, error) {
	cause := c.causes[c.calls]
	c.calls++
	return nil, &endpoint.Error{Cause: cause, Endpoint: call.Endpoint.Name, Sent: cause != endpoint.NotReached, Message: "scripted"}
}

var _ = DescribeTable("a request ends at the second broken connection, and each retry is placed after the evidence of the attempt before",
	func(ctx SpecContext, suspects []bool, causes ...endpoint.Cause) {
		f := newFixture(0, engine.Options{})
		for _, name := range []string{"e0", "e1", "e2", "e3", "e4"} {
			f.broker.endpoints = append(f.broker.endpoints, catalog.Endpoint{Name: name, Service: "models"})
		}
		client := &scriptedClient{causes: causes}
		f.options.EndpointClient = client
		result, _ := f.run(ctx, f.request("POISON", nil))
		Expect(result.Failure.Code).To(Equal(failure.Quarantined))
		Expect(client.calls).To(Equal(len(causes)))
		for i, suspect := range suspects {
			Expect(f.broker.granted[fmt.Sprintf("r1/%d", i+1)].Suspect).To(Equal(suspect), "attempt %d", i+1)
		}
	},
	Entry("two crashes", []bool{false, true}, endpoint.ConnectionBroken, endpoint.ConnectionBroken),
	Entry("an endpoint that is not reached before them", []bool{false, false, true}, endpoint.NotReached, endpoint.ConnectionBroken, endpoint.ConnectionBroken),
	Entry("a refusal between them", []bool{false, true, true}, endpoint.ConnectionBroken, endpoint.Refused, endpoint.ConnectionBroken),
	Entry("a silent endpoint before them, which is no crash", []bool{false, false, true}, endpoint.TimedOut, endpoint.ConnectionBroken, endpoint.ConnectionBroken),
	Entry("a silent endpoint between them, which is no crash", []bool{false, true, true}, endpoint.ConnectionBroken, endpoint.TimedOut, endpoint.ConnectionBroken),
)
