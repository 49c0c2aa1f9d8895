package dispatch_test

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/standin/engine"
)

// waitTimeout bounds the waits of the specs; it is not a latency target.
const waitTimeout = 10 * time.Second

func nonStreaming(r *dispatch.Request) {
	r.Stream = false
	r.Body = []byte(strings.Replace(string(r.Body), `"stream":true,"stream_options":{"include_usage":true},`, "", 1))
}

func asCompletion(r *dispatch.Request) {
	r.API = dispatch.Completions
	r.Body = []byte(`{"model":"standin","stream":true,"prompt":"hello"}`)
}

func withTools(r *dispatch.Request) {
	r.Body = []byte(strings.Replace(string(r.Body), `"messages"`, `"tools":[{"type":"function"}],"messages"`, 1))
}

// completeBody is a non-streamed response as parsed by its caller.
type completeBody struct {
	ID      string
	Object  string
	Choices []struct {
		Message      engine.Message
		FinishReason string `json:"finish_reason"`
	}
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	}
}

func completeBodyOf(sink *callerSink) completeBody {
	var b completeBody
	ExpectWithOffset(1, json.Unmarshal([]byte(sink.String()), &b)).To(Succeed())
	ExpectWithOffset(1, b.Choices).To(HaveLen(1))
	return b
}

func tokenCount(text string) int { return strings.Count(text, " ") }

var _ = Describe("an engine call", func() {
	It("streams the complete response with its usage under one ID", func(ctx SpecContext) {
		f := newFixture(1, engine.Options{})
		result, sink := f.run(ctx, f.request("hello", nil))
		Expect(result.Outcome).To(Equal(failure.Completed))
		got, want := sink.stream(), f.chatResponse("hello", 0)
		Expect(got.text).To(Equal(want))
		Expect(got.done).To(BeTrue())
		Expect(got.finish).To(Equal("stop"))
		Expect(got.usage.CompletionTokens).To(Equal(tokenCount(want)))
		Expect(result.OutputTokens).To(Equal(tokenCount(want)))
		Expect(sink.kind).To(Equal("text/event-stream"))
	})

	It("reports the token count to the broker while the response streams", func(ctx SpecContext) {
		f := newFixture(1, engine.Options{MinTokens: 70, MaxTokens: 70})
		f.run(ctx, f.request("hello", nil))
		Expect(f.broker.progress).To(Equal(map[string]int{"r1/1": 64}))
	})

	It("counts attainment, goodput and waste by class", func(ctx SpecContext) {
		f := newFixture(1, engine.Options{})
		scope := tally.NewTestScope("", nil)
		f.options.Scope = scope
		f.options.RetryPolicy = retry.NewBudget(retry.Config{MaxAttempts: 1})
		timed := func(r *dispatch.Request) { r.Profile.Target.FirstTokenMS = int(waitTimeout.Milliseconds()) }
		f.run(ctx, f.request("hello", timed))
		f.setFaults(engine.Faults{HalfAfterTokens: 3})
		f.run(ctx, f.request("hello", timed))
		counts := lo.MapValues(scope.Snapshot().Counters(), func(c tally.CounterSnapshot, _ string) int64 { return c.Value() })
		Expect(counts).To(HaveKeyWithValue("dispatch.attainment_met+class=c,target=first_token", int64(1)))
		Expect(counts).To(HaveKeyWithValue("dispatch.attainment_missed+class=c,target=first_token", int64(1)))
		Expect(counts).To(HaveKeyWithValue("dispatch.answers_completed+class=c", int64(1)))
		Expect(counts).To(HaveKeyWithValue("dispatch.tokens_completed+class=c", int64(tokenCount(f.chatResponse("hello", 0)))))
		Expect(counts).To(HaveKeyWithValue("dispatch.wasted_tokens+class=c", int64(3)))
		Expect(counts).To(HaveKeyWithValue("dispatch.requests+class=c,outcome=unknown", int64(1)))
	})

	It("assembles a non-streamed response in the format of the OpenAI API", func(ctx SpecContext) {
		f := newFixture(1, engine.Options{})
		result, sink := f.run(ctx, f.request("hello", nonStreaming))
		Expect(result.Outcome).To(Equal(failure.Completed))
		got := completeBodyOf(sink)
		Expect(got.Object).To(Equal("chat.completion"))
		Expect(got.Choices[0].Message).To(Equal(engine.Message{Role: "assistant", Content: f.chatResponse("hello", 0)}))
		Expect(got.Choices[0].FinishReason).To(Equal("stop"))
		Expect(got.Usage.CompletionTokens).To(Equal(tokenCount(f.chatResponse("hello", 0))))
	})

	It("limits the response to the profile's token limit and forwards the priority", func(ctx SpecContext) {
		f := newFixture(1, engine.Options{})
		r := f.request("hello", nil)
		r.Profile.MaxOutputTokens, r.MaxOutputTokens = 3, 100
		_, sink := f.run(ctx, r)
		Expect(sink.stream().text).To(Equal(f.chatResponse("hello", 3)))
		Expect(sink.stream().finish).To(Equal("length"))
		Expect(f.acceptedRuns()[0].Priority).To(Equal(1))
	})

	DescribeTable("resumes the response on another endpoint after a crash, as one complete response",
		func(ctx SpecContext, change func(*dispatch.Request), limitTokens int) {
			f := newFixture(3, engine.Options{})
			f.engines[0].SetFaults(engine.Faults{CrashAfterTokens: 3, DownMS: 200})
			r := f.request("hello", change)
			r.MaxOutputTokens = limitTokens
			result, sink := f.run(ctx, r)
			Expect(result.Outcome).To(Equal(failure.Completed), "%v", result.Failure)
			Expect(result.Attempts).To(BeNumerically(">", 1))
			want := f.chatResponse("hello", limitTokens)
			if r.API == dispatch.Completions {
				want = f.engines[0].Options().CompletionResponse("hello", limitTokens)
			}
			if !r.Stream {
				Expect(completeBodyOf(sink).Choices[0].Message.Content).To(Equal(want))
				Expect(completeBodyOf(sink).Usage.CompletionTokens).To(Equal(tokenCount(want)))
				return
			}
			got := sink.stream()
			Expect(got.text).To(Equal(want))
			Expect(got.done).To(BeTrue())
			Expect(got.errors).To(BeEmpty())
			for _, id := range got.ids {
				Expect(id).To(Equal(got.ids[0]))
			}
			if got.usage != nil {
				Expect(got.usage.CompletionTokens).To(Equal(tokenCount(want)))
			}
		},
		Entry("streamed chat", nil, 0),
		Entry("streamed chat with a token limit", nil, 5),
		Entry("crash at the token limit", nil, 3),
		Entry("non-streamed chat", nonStreaming, 0),
		Entry("streamed completion", asCompletion, 0),
	)

	DescribeTable("never returns a corrupted or truncated response as a complete one",
		func(ctx SpecContext, faults engine.Faults, change func(*dispatch.Request)) {
			f := newFixture(3, engine.Options{})
			faults.Times = 1
			f.shortenSilence(faults.SilentAfterTokens > 0)
			f.engines[0].SetFaults(faults)
			result, sink := f.run(ctx, f.request("hello", change))
			Expect(result.Outcome).To(Equal(failure.Completed), "%v", result.Failure)
			if change != nil {
				Expect(completeBodyOf(sink).Choices[0].Message.Content).To(Equal(f.chatResponse("hello", 0)))
				return
			}
			Expect(sink.stream().text).To(Equal(f.chatResponse("hello", 0)))
			Expect(sink.stream().finish).To(Equal("stop"))
			Expect(sink.stream().done).To(BeTrue())
		},
		Entry("truncated", engine.Faults{HalfAfterTokens: 3}, nil),
		Entry("truncated, non-streamed", engine.Faults{HalfAfterTokens: 3}, nonStreaming),
		Entry("chunks with the ID of another response", engine.Faults{CrossedAfterTokens: 3}, nil),
		Entry("chunks with the ID of another response, non-streamed", engine.Faults{CrossedAfterTokens: 3}, nonStreaming),
		Entry("restarted mid-stream", engine.Faults{DoubledAfterTokens: 3}, nil),
		Entry("restarted after the finish reason", engine.Faults{Doubled: true}, nil),
		Entry("restarted after the finish reason, non-streamed", engine.Faults{Doubled: true}, nonStreaming),
		Entry("garbage", engine.Faults{GarbageAfterTokens: 3}, nil),
		Entry("silence", engine.Faults{SilentAfterTokens: 3}, nil),
		Entry("refusal", engine.Faults{Refuse: true}, nil),
	)

	It("ends a stream that can not continue with an error event and without [DONE]", func(ctx SpecContext) {
		f := newFixture(1, engine.Options{})
		f.options.RetryPolicy = retry.NewBudget(retry.Config{MaxAttempts: 1})
		f.setFaults(engine.Faults{HalfAfterTokens: 3})
		result, sink := f.run(ctx, f.request("hello", nil))
		Expect(result.Outcome).To(Equal(failure.Unknown))
		Expect(result.ErrorEventSent).To(BeTrue())
		Expect(result.WastedTokens).To(Equal(3))
		got := sink.stream()
		Expect(got.done).To(BeFalse())
		Expect(got.errors).To(HaveLen(1))
		Expect(got.errors[0]).To(ContainSubstring(`"code":"endpoint_failed","outcome":"unknown","request_id":"` + "r1"))
	})

	It("does not resume an unresumable response: a stream ends with an error, a non-streamed response is restarted", func(ctx SpecContext) {
		f := newFixture(2, engine.Options{})
		f.setFaults(engine.Faults{CrashAfterTokens: 3, Times: 1})
		result, sink := f.run(ctx, f.request("hello", withTools))
		Expect(result.Failure.Code).To(Equal(failure.EndpointFailed))
		Expect(sink.stream().done).To(BeFalse())
		Expect(sink.stream().errors).To(HaveLen(1))
		result, sink = f.run(ctx, f.request("again", func(r *dispatch.Request) { withTools(r); nonStreaming(r) }))
		Expect(result.Outcome).To(Equal(failure.Completed), "%v", result.Failure)
		Expect(completeBodyOf(sink).Choices[0].Message.Content).To(Equal(f.chatResponse("again", 0)))
	})

	It("reports not_run when every engine refused", func(ctx SpecContext) {
		f := newFixture(2, engine.Options{})
		f.setFaults(engine.Faults{Refuse: true})
		result, sink := f.run(ctx, f.request("hello", nil))
		Expect(result.Failure.Code).To(Equal(failure.NoEndpoint))
		Expect(result.Outcome).To(Equal(failure.NotRun))
		Expect(result.Failure.RetryAfter).To(Equal(time.Second))
		Expect(sink.status).To(BeZero())
	})

	It("returns the engine's rejection of an invalid request to the caller", func(ctx SpecContext) {
		f := newFixture(1, engine.Options{})
		r := f.request("hello", nil)
		r.Body = []byte(`{"messages":[{"role":5}]}`)
		result, _ := f.run(ctx, r)
		Expect(result.Failure.Code).To(Equal(failure.InvalidRequest))
		Expect(result.Outcome).To(Equal(failure.NotRun))
		Expect(result.Attempts).To(Equal(1))
	})

	It("cancels the engine's stream when the caller disconnects, detected by context or by a failed write", func(ctx SpecContext) {
		f := newFixture(1, engine.Options{MinTokens: 10_000, MaxTokens: 10_000})
		callerCtx, leave := context.WithCancel(ctx)
		result := dispatch.New(f.options).Run(callerCtx, f.request("hello", nil), &callerSink{onWrite: leave})
		Expect(result.Failure.Code).To(Equal(failure.ClientGone))
		Expect(result.Outcome).To(Equal(failure.Unknown))
		sink := &callerSink{leaveAfter: 3}
		result = dispatch.New(f.options).Run(ctx, f.request("hello", nil), sink)
		Expect(result.Failure.Code).To(Equal(failure.ClientGone))
		Expect(result.Outcome).To(Equal(failure.Unknown))
		Expect(result.WastedTokens).To(BeNumerically(">", 0))
		Eventually(func() bool { return f.acceptedRuns()[0].Cancelled && f.acceptedRuns()[1].Cancelled }).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(f.broker.results()).To(HaveEach(routing.ResultCancelled))
	})

	It("hedges a slow call once, uses the call with the first token and cancels the other", func(ctx SpecContext) {
		f := newFixture(2, engine.Options{MinTokens: 20, MaxTokens: 20})
		f.broker.hedgeAfter = 20 * time.Millisecond
		f.engines[0].SetFaults(engine.Faults{SilentOnArrival: true})
		result, sink := f.run(ctx, f.request("hello", nil))
		Expect(result.Outcome).To(Equal(failure.Completed))
		Expect(result.Endpoint).To(Equal("e1"))
		Expect(sink.stream().text).To(Equal(f.chatResponse("hello", 0)))
		Eventually(func() bool { return f.engines[0].Runs()[0].Cancelled }).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(f.broker.results()).To(ConsistOf(routing.ResultCancelled, routing.ResultCompleted))
	})
})

var _ = Describe("a request that crashes endpoints", func() {
	It("crashes at most two engines, and the unaffected requests running there complete", func(ctx SpecContext) {
		f := newFixture(5, engine.Options{MinTokens: 40, MaxTokens: 60})
		f.setFaults(engine.Faults{PoisonMarker: "POISON", DownMS: 300})
		const unaffected = 20
		type outcome struct {
			result dispatch.Result
			sink   *callerSink
			prompt string
		}
		results := make(chan outcome, unaffected)
		d := dispatch.New(f.options)
		for i := range unaffected {
			prompt := "innocent " + strings.Repeat("i", i)
			r := f.request(prompt, nil)
			go func() {
				defer GinkgoRecover()
				sink := &callerSink{}
				results <- outcome{d.Run(ctx, r, sink), sink, prompt}
			}()
		}
		Eventually(f.acceptedRuns).WithTimeout(waitTimeout).Should(HaveLen(unaffected))
		sink := &callerSink{}
		result := d.Run(ctx, f.request("POISON", nil), sink)
		Expect(result.Failure.Code).To(Equal(failure.Quarantined))
		Expect(result.Outcome).To(Equal(failure.Unknown))
		for range unaffected {
			var got outcome
			Eventually(results).WithTimeout(waitTimeout).Should(Receive(&got))
			Expect(got.result.Outcome).To(Equal(failure.Completed), "%v", got.result.Failure)
			Expect(got.sink.stream().text).To(Equal(f.chatResponse(got.prompt, 0)))
		}
		f.setFaults(engine.Faults{}) // from here on, only the quarantine keeps a resend from an engine.
		Eventually(f.unreachable).WithTimeout(waitTimeout).Should(BeEmpty())
		resent := d.Run(ctx, f.request("POISON", nil), &callerSink{})
		Expect(resent.Failure.Code).To(Equal(failure.Quarantined))
		Expect(resent.Outcome).To(Equal(failure.NotRun))
		poisonRuns := 0
		for _, run := range f.acceptedRuns() {
			if run.Digest == engine.Digest("user\nPOISON\n") {
				poisonRuns++
			}
		}
		Expect(poisonRuns).To(Equal(2))
		Expect(f.quarantine.State(time.Now(), "")).To(Equal(quarantine.Clear))
	})
})
