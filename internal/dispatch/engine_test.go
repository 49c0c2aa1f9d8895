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

// limit bounds the waits of specs; it is no target.
const limit = 10 * time.Second

func whole(r *dispatch.Request) {
	r.Stream = false
	r.Body = []byte(strings.Replace(string(r.Body), `"stream":true,"stream_options":{"include_usage":true},`, "", 1))
}

func completion(r *dispatch.Request) {
	r.API = dispatch.Completions
	r.Body = []byte(`{"model":"standin","stream":true,"prompt":"hello"}`)
}

func withTools(r *dispatch.Request) {
	r.Body = []byte(strings.Replace(string(r.Body), `"messages"`, `"tools":[{"type":"function"}],"messages"`, 1))
}

// wholeBody is a whole answer as its caller reads it.
type wholeBody struct {
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

func wholeOf(sink *recorder) wholeBody {
	var b wholeBody
	ExpectWithOffset(1, json.Unmarshal([]byte(sink.String()), &b)).To(Succeed())
	ExpectWithOffset(1, b.Choices).To(HaveLen(1))
	return b
}

func words(text string) int { return strings.Count(text, " ") }

var _ = Describe("an engine call", func() {
	It("streams the whole answer with its usage under one id", func(ctx SpecContext) {
		b := newBed(1, engine.Options{})
		result, sink := b.run(ctx, b.request("hello", nil))
		Expect(result.Outcome).To(Equal(failure.Completed))
		got, want := sink.stream(), b.chatAnswer("hello", 0)
		Expect(got.text).To(Equal(want))
		Expect(got.done).To(BeTrue())
		Expect(got.finish).To(Equal("stop"))
		Expect(got.usage.CompletionTokens).To(Equal(words(want)))
		Expect(result.OutputTokens).To(Equal(words(want)))
		Expect(sink.kind).To(Equal("text/event-stream"))
	})

	It("tells the broker of the tokens while the answer streams", func(ctx SpecContext) {
		b := newBed(1, engine.Options{MinTokens: 70, MaxTokens: 70})
		b.run(ctx, b.request("hello", nil))
		Expect(b.broker.progress).To(Equal(map[string]int{"r1/1": 64}))
	})

	It("counts attainment, goodput and waste by class", func(ctx SpecContext) {
		b := newBed(1, engine.Options{})
		scope := tally.NewTestScope("", nil)
		b.options.Scope = scope
		b.options.RetryPolicy = retry.NewBudget(retry.Config{MaxAttempts: 1})
		timed := func(r *dispatch.Request) { r.Profile.Target.FirstTokenMS = int(limit.Milliseconds()) }
		b.run(ctx, b.request("hello", timed))
		b.setAll(engine.Faults{HalfAfterTokens: 3})
		b.run(ctx, b.request("hello", timed))
		counts := lo.MapValues(scope.Snapshot().Counters(), func(c tally.CounterSnapshot, _ string) int64 { return c.Value() })
		Expect(counts).To(HaveKeyWithValue("dispatch.attainment_met+class=c,target=first_token", int64(1)))
		Expect(counts).To(HaveKeyWithValue("dispatch.attainment_missed+class=c,target=first_token", int64(1)))
		Expect(counts).To(HaveKeyWithValue("dispatch.answers_completed+class=c", int64(1)))
		Expect(counts).To(HaveKeyWithValue("dispatch.tokens_completed+class=c", int64(words(b.chatAnswer("hello", 0)))))
		Expect(counts).To(HaveKeyWithValue("dispatch.wasted_tokens+class=c", int64(3)))
		Expect(counts).To(HaveKeyWithValue("dispatch.requests+class=c,outcome=unknown", int64(1)))
	})

	It("assembles a whole answer in the published form", func(ctx SpecContext) {
		b := newBed(1, engine.Options{})
		result, sink := b.run(ctx, b.request("hello", whole))
		Expect(result.Outcome).To(Equal(failure.Completed))
		got := wholeOf(sink)
		Expect(got.Object).To(Equal("chat.completion"))
		Expect(got.Choices[0].Message).To(Equal(engine.Message{Role: "assistant", Content: b.chatAnswer("hello", 0)}))
		Expect(got.Choices[0].FinishReason).To(Equal("stop"))
		Expect(got.Usage.CompletionTokens).To(Equal(words(b.chatAnswer("hello", 0))))
	})

	It("caps the answer at the profile's limit and passes the priority on", func(ctx SpecContext) {
		b := newBed(1, engine.Options{})
		r := b.request("hello", nil)
		r.Profile.MaxOutputTokens, r.MaxOutputTokens = 3, 100
		_, sink := b.run(ctx, r)
		Expect(sink.stream().text).To(Equal(b.chatAnswer("hello", 3)))
		Expect(sink.stream().finish).To(Equal("length"))
		Expect(b.runs()[0].Priority).To(Equal(1))
	})

	DescribeTable("resumes a crashed answer elsewhere as one whole answer",
		func(ctx SpecContext, change func(*dispatch.Request), limitTokens int) {
			b := newBed(3, engine.Options{})
			b.engines[0].SetFaults(engine.Faults{CrashAfterTokens: 3, DownMS: 200})
			r := b.request("hello", change)
			r.MaxOutputTokens = limitTokens
			result, sink := b.run(ctx, r)
			Expect(result.Outcome).To(Equal(failure.Completed), "%v", result.Failure)
			Expect(result.Attempts).To(BeNumerically(">", 1))
			want := b.chatAnswer("hello", limitTokens)
			if r.API == dispatch.Completions {
				want = b.engines[0].Options().CompletionAnswer("hello", limitTokens)
			}
			if !r.Stream {
				Expect(wholeOf(sink).Choices[0].Message.Content).To(Equal(want))
				Expect(wholeOf(sink).Usage.CompletionTokens).To(Equal(words(want)))
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
				Expect(got.usage.CompletionTokens).To(Equal(words(want)))
			}
		},
		Entry("streamed chat", nil, 0),
		Entry("streamed chat with a token limit", nil, 5),
		Entry("crash at the token limit", nil, 3),
		Entry("whole chat", whole, 0),
		Entry("streamed completion", completion, 0),
	)

	DescribeTable("never passes a broken answer off as the whole of its own",
		func(ctx SpecContext, faults engine.Faults, change func(*dispatch.Request)) {
			b := newBed(3, engine.Options{})
			faults.Times = 1
			b.shorten(faults.SilentAfterTokens > 0)
			b.engines[0].SetFaults(faults)
			result, sink := b.run(ctx, b.request("hello", change))
			Expect(result.Outcome).To(Equal(failure.Completed), "%v", result.Failure)
			if change != nil {
				Expect(wholeOf(sink).Choices[0].Message.Content).To(Equal(b.chatAnswer("hello", 0)))
				return
			}
			Expect(sink.stream().text).To(Equal(b.chatAnswer("hello", 0)))
			Expect(sink.stream().finish).To(Equal("stop"))
			Expect(sink.stream().done).To(BeTrue())
		},
		Entry("half", engine.Faults{HalfAfterTokens: 3}, nil),
		Entry("half, whole", engine.Faults{HalfAfterTokens: 3}, whole),
		Entry("crossed", engine.Faults{CrossedAfterTokens: 3}, nil),
		Entry("crossed, whole", engine.Faults{CrossedAfterTokens: 3}, whole),
		Entry("doubled mid-way", engine.Faults{DoubledAfterTokens: 3}, nil),
		Entry("doubled at the end", engine.Faults{Doubled: true}, nil),
		Entry("doubled at the end, whole", engine.Faults{Doubled: true}, whole),
		Entry("garbage", engine.Faults{GarbageAfterTokens: 3}, nil),
		Entry("silence", engine.Faults{SilentAfterTokens: 3}, nil),
		Entry("refusal", engine.Faults{Refuse: true}, nil),
	)

	It("ends a stream that can not go on with a typed error and no end mark", func(ctx SpecContext) {
		b := newBed(1, engine.Options{})
		b.options.RetryPolicy = retry.NewBudget(retry.Config{MaxAttempts: 1})
		b.setAll(engine.Faults{HalfAfterTokens: 3})
		result, sink := b.run(ctx, b.request("hello", nil))
		Expect(result.Outcome).To(Equal(failure.Unknown))
		Expect(result.ErrorEventSent).To(BeTrue())
		Expect(result.WastedTokens).To(Equal(3))
		got := sink.stream()
		Expect(got.done).To(BeFalse())
		Expect(got.errors).To(HaveLen(1))
		Expect(got.errors[0]).To(ContainSubstring(`"code":"endpoint_failed","outcome":"unknown","request_id":"` + "r1"))
	})

	It("does not resume what can not be resumed: a stream ends, a whole answer starts again", func(ctx SpecContext) {
		b := newBed(2, engine.Options{})
		b.setAll(engine.Faults{CrashAfterTokens: 3, Times: 1})
		result, sink := b.run(ctx, b.request("hello", withTools))
		Expect(result.Failure.Code).To(Equal(failure.EndpointFailed))
		Expect(sink.stream().done).To(BeFalse())
		Expect(sink.stream().errors).To(HaveLen(1))
		result, sink = b.run(ctx, b.request("again", func(r *dispatch.Request) { withTools(r); whole(r) }))
		Expect(result.Outcome).To(Equal(failure.Completed), "%v", result.Failure)
		Expect(wholeOf(sink).Choices[0].Message.Content).To(Equal(b.chatAnswer("again", 0)))
	})

	It("says not_run when every engine refused", func(ctx SpecContext) {
		b := newBed(2, engine.Options{})
		b.setAll(engine.Faults{Refuse: true})
		result, sink := b.run(ctx, b.request("hello", nil))
		Expect(result.Failure.Code).To(Equal(failure.NoEndpoint))
		Expect(result.Outcome).To(Equal(failure.NotRun))
		Expect(result.Failure.RetryAfter).To(Equal(time.Second))
		Expect(sink.status).To(BeZero())
	})

	It("passes on that the engine found fault with the request", func(ctx SpecContext) {
		b := newBed(1, engine.Options{})
		r := b.request("hello", nil)
		r.Body = []byte(`{"messages":[{"role":5}]}`)
		result, _ := b.run(ctx, r)
		Expect(result.Failure.Code).To(Equal(failure.InvalidRequest))
		Expect(result.Outcome).To(Equal(failure.NotRun))
		Expect(result.Attempts).To(Equal(1))
	})

	It("cancels the engine's stream when the caller leaves, by context or by a failed write", func(ctx SpecContext) {
		b := newBed(1, engine.Options{MinTokens: 10_000, MaxTokens: 10_000})
		callerCtx, leave := context.WithCancel(ctx)
		result := dispatch.New(b.options).Run(callerCtx, b.request("hello", nil), &recorder{onWrite: leave})
		Expect(result.Failure.Code).To(Equal(failure.ClientGone))
		Expect(result.Outcome).To(Equal(failure.Unknown))
		sink := &recorder{leaveAfter: 3}
		result = dispatch.New(b.options).Run(ctx, b.request("hello", nil), sink)
		Expect(result.Failure.Code).To(Equal(failure.ClientGone))
		Expect(result.Outcome).To(Equal(failure.Unknown))
		Expect(result.WastedTokens).To(BeNumerically(">", 0))
		Eventually(func() bool { return b.runs()[0].Cancelled && b.runs()[1].Cancelled }).WithTimeout(limit).Should(BeTrue())
		Expect(b.broker.results()).To(HaveEach(routing.ResultCancelled))
	})

	It("hedges a straggler once, takes the first token, and cancels the other", func(ctx SpecContext) {
		b := newBed(2, engine.Options{MinTokens: 20, MaxTokens: 20})
		b.broker.hedgeAfter = 20 * time.Millisecond
		b.engines[0].SetFaults(engine.Faults{SilentOnArrival: true})
		result, sink := b.run(ctx, b.request("hello", nil))
		Expect(result.Outcome).To(Equal(failure.Completed))
		Expect(result.Endpoint).To(Equal("e1"))
		Expect(sink.stream().text).To(Equal(b.chatAnswer("hello", 0)))
		Eventually(func() bool { return b.engines[0].Runs()[0].Cancelled }).WithTimeout(limit).Should(BeTrue())
		Expect(b.broker.results()).To(ConsistOf(routing.ResultCancelled, routing.ResultCompleted))
	})
})

var _ = Describe("a request that crashes endpoints", func() {
	It("takes down two engines at most, and the innocent requests beside it are whole", func(ctx SpecContext) {
		b := newBed(5, engine.Options{MinTokens: 40, MaxTokens: 60})
		b.setAll(engine.Faults{PoisonMarker: "POISON", DownMS: 300})
		const innocents = 20
		type outcome struct {
			result dispatch.Result
			sink   *recorder
			prompt string
		}
		results := make(chan outcome, innocents)
		d := dispatch.New(b.options)
		for i := range innocents {
			prompt := "innocent " + strings.Repeat("i", i)
			r := b.request(prompt, nil)
			go func() {
				defer GinkgoRecover()
				sink := &recorder{}
				results <- outcome{d.Run(ctx, r, sink), sink, prompt}
			}()
		}
		Eventually(b.runs).WithTimeout(limit).Should(HaveLen(innocents))
		sink := &recorder{}
		result := d.Run(ctx, b.request("POISON", nil), sink)
		Expect(result.Failure.Code).To(Equal(failure.Quarantined))
		Expect(result.Outcome).To(Equal(failure.Unknown))
		for range innocents {
			var got outcome
			Eventually(results).WithTimeout(limit).Should(Receive(&got))
			Expect(got.result.Outcome).To(Equal(failure.Completed), "%v", got.result.Failure)
			Expect(got.sink.stream().text).To(Equal(b.chatAnswer(got.prompt, 0)))
		}
		b.setAll(engine.Faults{}) // nothing but the quarantine stands between a resend and an engine.
		Eventually(b.down).WithTimeout(limit).Should(BeEmpty())
		resent := d.Run(ctx, b.request("POISON", nil), &recorder{})
		Expect(resent.Failure.Code).To(Equal(failure.Quarantined))
		Expect(resent.Outcome).To(Equal(failure.NotRun))
		poisoned := 0
		for _, run := range b.runs() {
			if run.Digest == engine.Digest("user\nPOISON\n") {
				poisoned++
			}
		}
		Expect(poisoned).To(Equal(2))
		Expect(b.quarantine.State(time.Now(), "")).To(Equal(quarantine.Clear))
	})
})
