package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/standin/engine"
	"github.com/primrosewell/primrosewell/internal/standin/service"
)

func withKey(key string) func(*dispatch.Request) {
	return func(r *dispatch.Request) { r.IdempotencyKey = key }
}

func plainRequest(method, key string) func(*dispatch.Request) {
	return func(r *dispatch.Request) {
		r.API, r.Method, r.Path, r.Body = dispatch.PlainCall, method, "/certificates", []byte("joint 7")
		r.Service = catalog.Service{Name: "registry", Kind: catalog.Plain}
		r.IdempotencyKey, r.Stream = key, false
	}
}

// acceptedRunsByKey counts the calls that the engines accepted, by idempotency key.
func (f *fixture) acceptedRunsByKey() map[string]int {
	return lo.CountValuesBy(f.acceptedRuns(), func(r engine.Run) string { return r.IdempotencyKey })
}

var _ = Describe("keyed work", func() {
	DescribeTable("runs at most once on the engines under every fault",
		func(ctx SpecContext, faults engine.Faults, want failure.Outcome, runs int) {
			f := newFixture(3, engine.Options{})
			f.shortenSilence(faults.SilentOnArrival || faults.SilentAfterTokens > 0)
			f.setFaults(faults)
			d := dispatch.New(f.options)
			first := d.Run(ctx, f.request("push", withKey("k1")), &callerSink{})
			Expect(first.Outcome).To(Equal(want), "%v", first.Failure)
			f.setFaults(engine.Faults{})
			var resends sync.WaitGroup
			for range 3 {
				resends.Go(func() { d.Run(ctx, f.request("push", withKey("k1")), &callerSink{}) })
			}
			resends.Wait()
			Expect(f.acceptedRunsByKey()["k1"]).To(Equal(runs))
		},
		Entry("no fault", engine.Faults{}, failure.Completed, 1),
		Entry("refused by all, then resent", engine.Faults{Refuse: true}, failure.NotRun, 1),
		Entry("crash on arrival", engine.Faults{CrashOnArrival: true, DownMS: 10}, failure.Unknown, 1),
		Entry("crash mid-response", engine.Faults{CrashAfterTokens: 2, DownMS: 10}, failure.Unknown, 1),
		Entry("silence on arrival", engine.Faults{SilentOnArrival: true}, failure.Unknown, 1),
		Entry("silence mid-response", engine.Faults{SilentAfterTokens: 2}, failure.Unknown, 1),
		Entry("truncated response", engine.Faults{HalfAfterTokens: 2}, failure.Unknown, 1),
	)

	It("responds to a resend with the stored response, byte for byte, and to another body with a conflict", func(ctx SpecContext) {
		f := newFixture(1, engine.Options{})
		_, first := f.run(ctx, f.request("push", withKey("k1")))
		result, again := f.run(ctx, f.request("push", withKey("k1")))
		Expect(result.Outcome).To(Equal(failure.Completed))
		Expect(again.String()).To(Equal(first.String()))
		other, _ := f.run(ctx, f.request("other", withKey("k1")))
		Expect(other.Failure.Code).To(Equal(failure.KeyConflict))
		Expect(f.acceptedRunsByKey()["k1"]).To(Equal(1))
	})

	It("continues after its caller disconnects, so that a resend gets the response", func(ctx SpecContext) {
		f := newFixture(1, engine.Options{MinTokens: 100, MaxTokens: 100})
		callerCtx, leave := context.WithCancel(ctx)
		first := dispatch.New(f.options).Run(callerCtx, f.request("push", withKey("k1")), &callerSink{onWrite: leave})
		Expect(first.Outcome).To(Equal(failure.Completed))
		_, again := f.run(ctx, f.request("push", withKey("k1")))
		Expect(again.stream().text).To(Equal(f.chatResponse("push", 0)))
		Expect(f.acceptedRunsByKey()["k1"]).To(Equal(1))
	})

	It("is never hedged", func(ctx SpecContext) {
		f := newFixture(2, engine.Options{MinTokens: 30, MaxTokens: 30})
		f.setFaults(engine.Faults{Slowdown: 30})
		f.broker.hedgeAfter = time.Millisecond
		result, _ := f.run(ctx, f.request("push", withKey("k1")))
		Expect(result.Outcome).To(Equal(failure.Completed))
		Expect(f.acceptedRunsByKey()["k1"]).To(Equal(1))
	})

	It("is not dispatched when the claim is too old, as after a suspension, and may be sent again", func(ctx SpecContext) {
		f := newFixture(1, engine.Options{})
		f.claims.expired = true
		result, _ := f.run(ctx, f.request("push", withKey("k1")))
		Expect(result.Outcome).To(Equal(failure.NotRun))
		Expect(f.acceptedRuns()).To(BeEmpty())
		f.claims.expired = false
		result, _ = f.run(ctx, f.request("push", withKey("k1")))
		Expect(result.Outcome).To(Equal(failure.Completed))
		Expect(f.broker.grantsWithoutOneReport()).To(BeEmpty())
	})

	It("is not dispatched while the claim log is unavailable", func(ctx SpecContext) {
		f := newFixture(1, engine.Options{})
		f.claims.err = failure.New(failure.PlatformUnavailable, "the platform is unavailable")
		result, _ := f.run(ctx, f.request("push", withKey("k1")))
		Expect(result.Outcome).To(Equal(failure.NotRun))
		Expect(f.acceptedRuns()).To(BeEmpty())
	})
})

var _ = Describe("a plain call", func() {
	It("forwards the response", func(ctx SpecContext) {
		f, _ := newServiceFixture(service.Options{})
		result, sink := f.run(ctx, f.request("", plainRequest(http.MethodPut, "")))
		Expect(result.Outcome).To(Equal(failure.Completed))
		Expect(sink.status).To(Equal(http.StatusOK))
		Expect(sink.String()).To(ContainSubstring(service.Digest([]byte("joint 7"))))
	})

	It("rejects a malformed path", func(ctx SpecContext) {
		f, s := newServiceFixture(service.Options{})
		r := f.request("", plainRequest(http.MethodGet, ""))
		r.Path = "/%zz"
		result, _ := f.run(ctx, r)
		Expect(result.Failure.Code).To(Equal(failure.InvalidRequest))
		Expect(result.Outcome).To(Equal(failure.NotRun))
		Expect(s.Runs()).To(BeEmpty())
	})

	It("reports not_run with a retry-after delay while no endpoint can be reached", func(ctx SpecContext) {
		f, s := newServiceFixture(service.Options{})
		s.Crash(waitTimeout)
		Eventually(f.unreachable).WithTimeout(waitTimeout).ShouldNot(BeEmpty())
		result, _ := f.run(ctx, f.request("", plainRequest(http.MethodPost, "k1")))
		Expect(result.Failure.Code).To(Equal(failure.NoEndpoint))
		Expect(result.Outcome).To(Equal(failure.NotRun))
		Expect(result.Failure.RetryAfter).To(Equal(time.Second))
		Expect(f.claims.held).To(BeEmpty(), "the claim must be released")
	})

	DescribeTable("repeats only repeatable requests",
		func(ctx SpecContext, method, key string, faults service.Faults, want failure.Outcome, runs int) {
			f, s := newServiceFixture(service.Options{})
			f.shortenSilence(faults.Silent)
			faults.Times = 1
			s.SetFaults(faults)
			result, _ := f.run(ctx, f.request("", plainRequest(method, key)))
			Expect(result.Outcome).To(Equal(want), "%v", result.Failure)
			Expect(result.ErrorEventSent).To(BeFalse())
			if key != "" {
				f.run(ctx, f.request("", plainRequest(method, key)))
			}
			taken := lo.Reject(s.Runs(), func(r service.Run, _ int) bool { return r.Refused })
			Expect(taken).To(HaveLen(runs))
		},
		Entry("GET, silent, is repeated", http.MethodGet, "", service.Faults{Silent: true}, failure.Completed, 2),
		Entry("POST, silent", http.MethodPost, "", service.Faults{Silent: true}, failure.Unknown, 1),
		Entry("POST, refused, is repeated", http.MethodPost, "", service.Faults{Refuse: true}, failure.Completed, 1),
		Entry("POST, crash after it ran", http.MethodPost, "", service.Faults{CrashAfterRun: true}, failure.Unknown, 1),
		Entry("keyed, crash after it ran", http.MethodPost, "k1", service.Faults{CrashAfterRun: true}, failure.Unknown, 1),
		Entry("keyed, truncated response", http.MethodPost, "k1", service.Faults{Half: true}, failure.Unknown, 1),
		Entry("keyed GET, silent", http.MethodGet, "k1", service.Faults{Silent: true}, failure.Unknown, 1),
		Entry("keyed, refused", http.MethodPost, "k1", service.Faults{Refuse: true}, failure.Completed, 1),
	)
})

var _ = Describe("outcomes under random faults", func() {
	const (
		seed     = 20261203
		requests = 400
		callers  = 16
	)

	DescribeTable("are not_run only if no engine ran the request, and completed only if the response is complete", func(ctx SpecContext, hedgeAfter time.Duration) {
		f := newFixture(4, engine.Options{})
		f.broker.hedgeAfter = hedgeAfter
		f.options.SilenceTimeout = 150 * time.Millisecond
		h := &outcomeRecorder{fixture: f, dispatcher: dispatch.New(f.options), outcomes: map[failure.Outcome]int{}}
		f.setFaults(engine.Faults{Refuse: true})
		h.call(ctx, requests, "")
		f.setFaults(engine.Faults{HalfAfterTokens: 1})
		h.call(ctx, requests+1, "half")
		stop := make(chan struct{})
		var chaos, work sync.WaitGroup
		chaos.Go(func() { f.injectRandomFaults(seed, stop) })
		var next atomic.Int64
		for range callers {
			work.Go(func() {
				defer GinkgoRecover()
				for i := int(next.Add(1)); i <= requests; i = int(next.Add(1)) {
					callCtx, cancel := context.WithCancel(ctx)
					if i%10 == 9 {
						time.AfterFunc(5*time.Millisecond, cancel)
					}
					h.call(callCtx, i, lo.Ternary(i%4 == 0, fmt.Sprintf("k%d", i), ""))
					cancel()
				}
			})
		}
		work.Wait()
		close(stop)
		chaos.Wait()
		Eventually(f.unreachable).WithTimeout(waitTimeout).Should(BeEmpty())
		h.call(ctx, requests+2, "")
		notRunIDs, outcomes := h.notRun, h.outcomes
		ran := lo.GroupBy(f.acceptedRuns(), func(r engine.Run) string { return r.RequestID })
		for _, id := range notRunIDs {
			Expect(ran).NotTo(HaveKey(id), "reported as not_run, but an engine accepted it")
		}
		for key, count := range f.acceptedRunsByKey() {
			if key != "" {
				Expect(count).To(Equal(1), "key %s", key)
			}
		}
		GinkgoWriter.Printf("outcomes: %v\n", outcomes)
		Expect(outcomes[failure.Completed]).To(BeNumerically(">", 0))
		Expect(outcomes[failure.NotRun]).To(BeNumerically(">", 0))
		Expect(outcomes[failure.Unknown]).To(BeNumerically(">", 0))
	},
		Entry("without hedges", time.Duration(0)),
		Entry("with hedges", 3*time.Millisecond),
	)
})

// outcomeRecorder makes calls and records the outcomes reported to their callers.
type outcomeRecorder struct {
	fixture    *fixture
	dispatcher *dispatch.Dispatcher

	mu       sync.Mutex
	outcomes map[failure.Outcome]int
	notRun   []string
}

func (h *outcomeRecorder) call(ctx context.Context, i int, key string) {
	prompt := fmt.Sprintf("prompt %d", i)
	r := h.fixture.request(prompt, withKey(key))
	sink := &callerSink{}
	result := h.dispatcher.Run(ctx, r, sink)
	h.mu.Lock()
	h.outcomes[result.Outcome]++
	if result.Outcome == failure.NotRun {
		h.notRun = append(h.notRun, r.ID)
	}
	h.mu.Unlock()
	checkResponse(result, sink, h.fixture.chatResponse(prompt, 0))
}

// checkResponse checks that the bytes a caller received belong to its own response.
func checkResponse(result dispatch.Result, sink *callerSink, want string) {
	if sink.String() == "" {
		return
	}
	got := sink.stream()
	Expect(want).To(HavePrefix(got.text), "contains bytes of another response")
	if got.done {
		Expect(got.text).To(Equal(want))
		Expect(got.errors).To(BeEmpty())
		return
	}
	Expect(result.Failure).NotTo(BeNil())
	if result.Failure.Code != failure.ClientGone {
		Expect(got.errors).To(HaveLen(1))
	}
}
