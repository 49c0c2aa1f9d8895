package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/standin/engine"
)

// wholeResponse as a cut sends the whole response.
const wholeResponse = -1

// cutEngine is an engine whose tokens bear its name. It sends the first cut bytes of each
// response and closes the connection.
type cutEngine struct {
	name string
	// tokens is the length of a response; lastWithFinish puts its last token in the chunk
	// with the finish reason, as published engines do.
	tokens         int
	lastWithFinish bool

	mu  sync.Mutex
	cut int
	// resumed is the text that the last request continued from.
	resumed string
	// arrived is the time of the last request.
	arrived time.Time
}

func (e *cutEngine) setCut(cut int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut, e.resumed = cut, ""
}

// token returns the text of the i-th token of a response.
func (e *cutEngine) token(i int) string { return fmt.Sprintf("%s%d ", e.name, i) }

// text returns the tokens from the first one on.
func (e *cutEngine) text(first int) string {
	return strings.Join(lo.Map(lo.RangeFrom(first, max(0, e.tokens-first)), func(i, _ int) string { return e.token(i) }), "")
}

// ServeHTTP implements http.Handler.
func (e *cutEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Messages []engine.Message `json:"messages"`
		Continue bool             `json:"continue_final_message"`
		Tools    []any            `json:"tools"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrived = time.Now()
	if body.Continue {
		e.resumed = lo.LastOrEmpty(body.Messages).Content
	}
	response := e.encode(strings.Count(e.resumed, " "), len(body.Tools) > 0)
	if e.cut >= 0 {
		response = response[:min(e.cut, len(response))]
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, response)
	_ = conn.Close()
}

// encode returns the whole HTTP response that begins with the given token.
func (e *cutEngine) encode(first int, logprobs bool) string {
	chunks := []string{e.chunk(`{"role":"assistant","content":""}`, "null", false)}
	last := e.tokens
	if e.lastWithFinish && first < e.tokens {
		last--
	}
	for i := first; i < last; i++ {
		chunks = append(chunks, e.chunk(`{"content":"`+e.token(i)+`"}`, "null", logprobs))
	}
	chunks = append(chunks, e.chunk(`{"content":"`+e.text(max(first, last))+`"}`, `"length"`, logprobs),
		fmt.Sprintf(`{"id":"%s","choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`, e.name, 10+first, e.tokens-first), "[DONE]")
	var body strings.Builder
	for _, chunk := range chunks {
		event := "data: " + chunk + "\n\n"
		_, _ = fmt.Fprintf(&body, "%x\r\n%s\r\n", len(event), event)
	}
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + body.String() + "0\r\n\r\n"
}

func (e *cutEngine) chunk(delta, finish string, logprobs bool) string {
	extra := lo.Ternary(logprobs, `,"logprobs":{"content":[{"token":"`+e.name+`"}]}`, "")
	return fmt.Sprintf(`{"id":"%s","created":1,"choices":[{"index":0,"delta":%s,"finish_reason":%s%s}]}`, e.name, delta, finish, extra)
}

func serveHandler(name string, h http.Handler) catalog.Endpoint {
	s := httptest.NewServer(h)
	DeferCleanup(func() { s.CloseClientConnections(); s.Close() })
	return catalog.Endpoint{Name: name, Service: "models", Address: strings.TrimPrefix(s.URL, "http://")}
}

// newCutFixture has one engine whose responses are cut, then one with whole responses.
func newCutFixture(tokens int, lastWithFinish bool) (f *fixture, cut, whole *cutEngine) {
	cut = &cutEngine{name: "first", tokens: tokens, lastWithFinish: lastWithFinish}
	whole = &cutEngine{name: "second", tokens: tokens, lastWithFinish: lastWithFinish, cut: wholeResponse}
	f = newFixture(0, engine.Options{})
	f.broker.endpoints = []catalog.Endpoint{serveHandler("e0", cut), serveHandler("e1", whole)}
	f.options.RetryPolicy = retry.NewBudget(retry.Config{Burst: 1e6})
	f.options.Logger.SetOutput(io.Discard)
	return f, cut, whole
}

// runCut runs a request whose first attempt is cut.
func (f *fixture) runCut(ctx context.Context, change func(*dispatch.Request)) (dispatch.Result, *callerSink) {
	f.options.Quarantine = quarantine.New(quarantine.Config{})
	return f.run(ctx, f.request("hello", change))
}

var _ = Describe("an attempt after one that was cut at any byte", func() {
	DescribeTable("joins whole events of a stream only",
		func(ctx SpecContext, tokens int, lastWithFinish bool, limit int) {
			f, cut, whole := newCutFixture(tokens, lastWithFinish)
			for n := range len(cut.encode(0, false)) {
				cut.setCut(n)
				whole.setCut(wholeResponse)
				result, sink := f.runCut(ctx, func(r *dispatch.Request) { r.MaxOutputTokens = limit })
				at := fmt.Sprintf("cut after %d bytes", n)
				Expect(result.Outcome).To(Equal(failure.Completed), "%s: %v", at, result.Failure)
				got := sink.stream()
				Expect(got.done).To(BeTrue(), at)
				Expect(got.errors).To(BeEmpty(), at)
				Expect(got.finish).To(Equal("length"), at)
				Expect(got.roles).To(Equal([]string{"assistant"}), at)
				Expect(lo.Uniq(got.ids)).To(HaveLen(1), at)
				firstTokens := strings.Count(got.text, cut.name)
				Expect(got.text).To(Equal(strings.TrimSuffix(cut.text(0), cut.text(firstTokens))+whole.text(firstTokens)), at)
				if result.Endpoint == "e1" && whole.resumed != "" {
					Expect(got.text).To(HavePrefix(whole.resumed), at)
				}
				if got.usage != nil {
					Expect(got.usage.CompletionTokens).To(Equal(tokens), at)
					Expect(got.usage.PromptTokens).To(Equal(10), at)
				}
			}
		},
		Entry("without a token limit", 3, false, 0),
		Entry("at the token limit", 3, false, 3),
		Entry("with the last token in the final chunk", 3, true, 0),
		Entry("with the only token in the final chunk", 1, true, 0),
		Entry("with the only token in the final chunk, at the token limit", 1, true, 1),
	)

	DescribeTable("starts a non-streamed response that can not be resumed from the beginning",
		func(ctx SpecContext, lastWithFinish bool) {
			f, cut, whole := newCutFixture(3, lastWithFinish)
			for n := range len(cut.encode(0, true)) {
				cut.setCut(n)
				whole.setCut(wholeResponse)
				result, sink := f.runCut(ctx, func(r *dispatch.Request) { withTools(r); nonStreaming(r) })
				at := fmt.Sprintf("cut after %d bytes", n)
				Expect(result.Outcome).To(Equal(failure.Completed), "%s: %v", at, result.Failure)
				answered := lo.Ternary(result.Endpoint == "e0", cut, whole)
				got := completeBodyOf(sink)
				Expect(got.ID).To(Equal(answered.name), at)
				Expect(got.Choices[0].Message.Content).To(Equal(answered.text(0)), at)
				Expect(got.Choices[0].Message.Role).To(Equal("assistant"), at)
				Expect(got.Usage.CompletionTokens).To(Equal(3), at)
				Expect(strings.Count(sink.String(), `{"token":"`+answered.name+`"}`)).To(Equal(lo.Ternary(lastWithFinish, 3, 4)), at)
			}
		},
		Entry("with the last token in a chunk of its own", false),
		Entry("with the last token in the final chunk", true),
	)

	It("resumes a non-streamed response after whole events", func(ctx SpecContext) {
		f, cut, whole := newCutFixture(3, false)
		for n := range len(cut.encode(0, false)) {
			cut.setCut(n)
			whole.setCut(wholeResponse)
			result, sink := f.runCut(ctx, nonStreaming)
			at := fmt.Sprintf("cut after %d bytes", n)
			Expect(result.Outcome).To(Equal(failure.Completed), "%s: %v", at, result.Failure)
			got := completeBodyOf(sink).Choices[0].Message
			firstTokens := strings.Count(got.Content, cut.name)
			Expect(got.Content).To(Equal(strings.TrimSuffix(cut.text(0), cut.text(firstTokens))+whole.text(firstTokens)), at)
			Expect(completeBodyOf(sink).Choices[0].FinishReason).To(Equal("length"), at)
			Expect(completeBodyOf(sink).Usage.CompletionTokens).To(Equal(3), at)
		}
	})
})

var _ = It("does not count the first token of a discarded response as that of the next one", func(ctx SpecContext) {
	f, cut, whole := newCutFixture(3, false)
	response := cut.encode(0, true)
	cut.setCut(strings.Index(response, "finish_reason\":\"length"))
	r := f.request("hello", func(r *dispatch.Request) { withTools(r); nonStreaming(r) })
	result, _ := f.run(ctx, r)
	Expect(result.Outcome).To(Equal(failure.Completed), "%v", result.Failure)
	Expect(r.Arrived.Add(result.FirstToken)).To(BeTemporally(">", whole.arrived))
})

var _ = It("joins whole events only if both calls of a hedged attempt run at once", func(ctx SpecContext) {
	f, cut, whole := newCutFixture(3, false)
	third := &cutEngine{name: "third", tokens: 3, cut: wholeResponse}
	f.broker.endpoints = append(f.broker.endpoints, serveHandler("e2", third))
	f.broker.hedgeAfter = time.Nanosecond
	f.options.RetryPolicy = retry.NewBudget(retry.Config{Burst: 1e6, HedgeBurst: 1e6})
	for n := range len(cut.encode(0, false)) {
		for _, e := range []*cutEngine{whole, third} {
			e.setCut(wholeResponse)
		}
		cut.setCut(n)
		result, sink := f.runCut(ctx, nil)
		at := fmt.Sprintf("cut after %d bytes", n)
		Expect(result.Outcome).To(Equal(failure.Completed), "%s: %v", at, result.Failure)
		got := sink.stream()
		Expect(got.done).To(BeTrue(), at)
		Expect(got.finish).To(Equal("length"), at)
		Expect(got.roles).To(Equal([]string{"assistant"}), at)
		Expect(lo.Uniq(got.ids)).To(HaveLen(1), at)
		firstTokens := strings.Count(got.text, cut.name)
		begin := strings.TrimSuffix(cut.text(0), cut.text(firstTokens))
		Expect(got.text).To(BeElementOf(begin+whole.text(firstTokens), begin+third.text(firstTokens)), at)
	}
})
