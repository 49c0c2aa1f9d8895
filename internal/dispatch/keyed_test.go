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

func keyed(key string) func(*dispatch.Request) {
	return func(r *dispatch.Request) { r.IdempotencyKey = key }
}

func plain(method, key string) func(*dispatch.Request) {
	return func(r *dispatch.Request) {
		r.API, r.Method, r.Path, r.Body = dispatch.PlainCall, method, "/certificates", []byte("joint 7")
		r.Service = catalog.Service{Name: "registry", Kind: catalog.Plain}
		r.IdempotencyKey, r.Stream = key, false
	}
}

// runsByKey counts what engines took under each key and did not refuse.
func (b *bed) runsByKey() map[string]int {
	return lo.CountValuesBy(b.runs(), func(r engine.Run) string { return r.IdempotencyKey })
}

var _ = Describe("keyed work", func() {
	DescribeTable("runs at most once at the engines, whatever happens",
		func(ctx SpecContext, faults engine.Faults, want failure.Outcome, runs int) {
			b := newBed(3, engine.Options{})
			b.shorten(faults.SilentOnArrival || faults.SilentAfterTokens > 0)
			b.setAll(faults)
			d := dispatch.New(b.options)
			first := d.Run(ctx, b.request("push", keyed("k1")), &recorder{})
			Expect(first.Outcome).To(Equal(want), "%v", first.Failure)
			b.setAll(engine.Faults{})
			var resends sync.WaitGroup
			for range 3 {
				resends.Go(func() { d.Run(ctx, b.request("push", keyed("k1")), &recorder{}) })
			}
			resends.Wait()
			Expect(b.runsByKey()["k1"]).To(Equal(runs))
		},
		Entry("sound", engine.Faults{}, failure.Completed, 1),
		Entry("refused by all, then resent", engine.Faults{Refuse: true}, failure.NotRun, 1),
		Entry("crash on arrival", engine.Faults{CrashOnArrival: true, DownMS: 10}, failure.Unknown, 1),
		Entry("crash mid-answer", engine.Faults{CrashAfterTokens: 2, DownMS: 10}, failure.Unknown, 1),
		Entry("silence on arrival", engine.Faults{SilentOnArrival: true}, failure.Unknown, 1),
		Entry("silence mid-answer", engine.Faults{SilentAfterTokens: 2}, failure.Unknown, 1),
		Entry("half an answer", engine.Faults{HalfAfterTokens: 2}, failure.Unknown, 1),
	)

	It("answers a resend by the kept answer, byte for byte, and another body by a conflict", func(ctx SpecContext) {
		b := newBed(1, engine.Options{})
		_, first := b.run(ctx, b.request("push", keyed("k1")))
		result, again := b.run(ctx, b.request("push", keyed("k1")))
		Expect(result.Outcome).To(Equal(failure.Completed))
		Expect(again.String()).To(Equal(first.String()))
		other, _ := b.run(ctx, b.request("other", keyed("k1")))
		Expect(other.Failure.Code).To(Equal(failure.KeyConflict))
		Expect(b.runsByKey()["k1"]).To(Equal(1))
	})

	It("goes on without its caller, so that the resend has the answer", func(ctx SpecContext) {
		b := newBed(1, engine.Options{MinTokens: 100, MaxTokens: 100})
		callerCtx, leave := context.WithCancel(ctx)
		first := dispatch.New(b.options).Run(callerCtx, b.request("push", keyed("k1")), &recorder{onWrite: leave})
		Expect(first.Outcome).To(Equal(failure.Completed))
		_, again := b.run(ctx, b.request("push", keyed("k1")))
		Expect(again.stream().text).To(Equal(b.chatAnswer("push", 0)))
		Expect(b.runsByKey()["k1"]).To(Equal(1))
	})

	It("is never hedged", func(ctx SpecContext) {
		b := newBed(2, engine.Options{MinTokens: 30, MaxTokens: 30})
		b.setAll(engine.Faults{Slowdown: 30})
		b.broker.hedgeAfter = time.Millisecond
		result, _ := b.run(ctx, b.request("push", keyed("k1")))
		Expect(result.Outcome).To(Equal(failure.Completed))
		Expect(b.runsByKey()["k1"]).To(Equal(1))
	})

	It("is not dispatched when the claim is too old, as after a freeze, and may be sent again", func(ctx SpecContext) {
		b := newBed(1, engine.Options{})
		b.claims.expired = true
		result, _ := b.run(ctx, b.request("push", keyed("k1")))
		Expect(result.Outcome).To(Equal(failure.NotRun))
		Expect(b.runs()).To(BeEmpty())
		b.claims.expired = false
		result, _ = b.run(ctx, b.request("push", keyed("k1")))
		Expect(result.Outcome).To(Equal(failure.Completed))
		Expect(b.broker.unbalanced()).To(BeEmpty())
	})

	It("is not dispatched while no claim can be had", func(ctx SpecContext) {
		b := newBed(1, engine.Options{})
		b.claims.down = failure.New(failure.PlatformUnavailable, "the platform is away")
		result, _ := b.run(ctx, b.request("push", keyed("k1")))
		Expect(result.Outcome).To(Equal(failure.NotRun))
		Expect(b.runs()).To(BeEmpty())
	})
})

var _ = Describe("a plain call", func() {
	It("passes the answer on", func(ctx SpecContext) {
		b, _ := newServiceBed(service.Options{})
		result, sink := b.run(ctx, b.request("", plain(http.MethodPut, "")))
		Expect(result.Outcome).To(Equal(failure.Completed))
		Expect(sink.status).To(Equal(http.StatusOK))
		Expect(sink.String()).To(ContainSubstring(service.Digest([]byte("joint 7"))))
	})

	It("refuses a path that can not be sent", func(ctx SpecContext) {
		b, s := newServiceBed(service.Options{})
		r := b.request("", plain(http.MethodGet, ""))
		r.Path = "/%zz"
		result, _ := b.run(ctx, r)
		Expect(result.Failure.Code).To(Equal(failure.InvalidRequest))
		Expect(result.Outcome).To(Equal(failure.NotRun))
		Expect(s.Runs()).To(BeEmpty())
	})

	It("says not_run and when to come back while no endpoint can be reached", func(ctx SpecContext) {
		b, s := newServiceBed(service.Options{})
		s.Crash(limit)
		Eventually(b.down).WithTimeout(limit).ShouldNot(BeEmpty())
		result, _ := b.run(ctx, b.request("", plain(http.MethodPost, "k1")))
		Expect(result.Failure.Code).To(Equal(failure.NoEndpoint))
		Expect(result.Outcome).To(Equal(failure.NotRun))
		Expect(result.Failure.RetryAfter).To(Equal(time.Second))
		Expect(b.claims.held).To(BeEmpty(), "the claim is given back")
	})

	DescribeTable("repeats only what may be repeated",
		func(ctx SpecContext, method, key string, faults service.Faults, want failure.Outcome, runs int) {
			b, s := newServiceBed(service.Options{})
			b.shorten(faults.Silent)
			faults.Times = 1
			s.SetFaults(faults)
			result, _ := b.run(ctx, b.request("", plain(method, key)))
			Expect(result.Outcome).To(Equal(want), "%v", result.Failure)
			Expect(result.ErrorEventSent).To(BeFalse())
			if key != "" {
				b.run(ctx, b.request("", plain(method, key)))
			}
			taken := lo.Reject(s.Runs(), func(r service.Run, _ int) bool { return r.Refused })
			Expect(taken).To(HaveLen(runs))
		},
		Entry("GET, silent, is repeated", http.MethodGet, "", service.Faults{Silent: true}, failure.Completed, 2),
		Entry("POST, silent", http.MethodPost, "", service.Faults{Silent: true}, failure.Unknown, 1),
		Entry("POST, refused, is repeated", http.MethodPost, "", service.Faults{Refuse: true}, failure.Completed, 1),
		Entry("POST, crash after it ran", http.MethodPost, "", service.Faults{CrashAfterRun: true}, failure.Unknown, 1),
		Entry("keyed, crash after it ran", http.MethodPost, "k1", service.Faults{CrashAfterRun: true}, failure.Unknown, 1),
		Entry("keyed, half an answer", http.MethodPost, "k1", service.Faults{Half: true}, failure.Unknown, 1),
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

	DescribeTable("say not_run only of what no engine ran, and completed only of whole answers", func(ctx SpecContext, hedgeAfter time.Duration) {
		b := newBed(4, engine.Options{})
		b.broker.hedgeAfter = hedgeAfter
		b.options.SilenceTimeout = 150 * time.Millisecond
		h := &history{bed: b, dispatcher: dispatch.New(b.options), outcomes: map[failure.Outcome]int{}}
		b.setAll(engine.Faults{Refuse: true})
		h.call(ctx, requests, "")
		b.setAll(engine.Faults{HalfAfterTokens: 1})
		h.call(ctx, requests+1, "half")
		stop := make(chan struct{})
		var chaos, work sync.WaitGroup
		chaos.Go(func() { b.disturb(seed, stop) })
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
		Eventually(b.down).WithTimeout(limit).Should(BeEmpty())
		h.call(ctx, requests+2, "")
		notRun, outcomes := h.notRun, h.outcomes
		ran := lo.GroupBy(b.runs(), func(r engine.Run) string { return r.RequestID })
		for _, id := range notRun {
			Expect(ran).NotTo(HaveKey(id), "not_run, yet an engine took it")
		}
		for key, count := range b.runsByKey() {
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

// history makes calls and keeps what callers were told.
type history struct {
	bed        *bed
	dispatcher *dispatch.Dispatcher

	mu       sync.Mutex
	outcomes map[failure.Outcome]int
	notRun   []string
}

func (h *history) call(ctx context.Context, i int, key string) {
	prompt := fmt.Sprintf("prompt %d", i)
	r := h.bed.request(prompt, keyed(key))
	sink := &recorder{}
	result := h.dispatcher.Run(ctx, r, sink)
	h.mu.Lock()
	h.outcomes[result.Outcome]++
	if result.Outcome == failure.NotRun {
		h.notRun = append(h.notRun, r.ID)
	}
	h.mu.Unlock()
	checkAnswer(result, sink, h.bed.chatAnswer(prompt, 0))
}

// checkAnswer holds a caller's bytes against its own answer.
func checkAnswer(result dispatch.Result, sink *recorder, want string) {
	if sink.String() == "" {
		return
	}
	got := sink.stream()
	Expect(want).To(HavePrefix(got.text), "bytes of another answer")
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
