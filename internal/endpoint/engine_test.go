package endpoint_test

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/standin/engine"
)

const helloBody = `{"model":"standin","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"hello"}]}`

func newCall(e catalog.Endpoint, body string) endpoint.Call {
	return endpoint.Call{Endpoint: e, Path: "/v1/chat/completions", RequestID: "r1", Body: []byte(body), SilenceTimeout: 5 * time.Second}
}

// readAll returns the complete text, or the text up to the error.
func readAll(ctx context.Context, c *endpoint.Client, call endpoint.Call) (text string, usage *endpoint.Usage, err error) {
	s, err := c.Open(ctx, call)
	if err != nil {
		return "", nil, err
	}
	defer s.Close()
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text, usage, nil
		}
		if err != nil {
			return text, usage, err
		}
		text += chunk.Text
		if chunk.Usage != nil {
			usage = chunk.Usage
		}
	}
}

func causeOf(err error) endpoint.Cause {
	var e *endpoint.Error
	ExpectWithOffset(1, errors.As(err, &e)).To(BeTrue(), "%v", err)
	return e.Cause
}

var _ = Describe("the engine client", func() {
	var client *endpoint.Client

	BeforeEach(func() {
		client = endpoint.NewClient(endpoint.Options{})
		DeferCleanup(client.Close)
	})

	It("reads a complete response with its usage and sends the request ID to the engine", func(ctx SpecContext) {
		s := engine.New(engine.Options{})
		e := serve(s)
		text, usage, err := readAll(ctx, client, newCall(e, helloBody))
		Expect(err).NotTo(HaveOccurred())
		want := s.Options().ChatResponse([]engine.Message{{Role: "user", Content: "hello"}}, 0)
		Expect(text).To(Equal(want))
		Expect(usage.CompletionTokens).To(BeNumerically(">=", 8))
		Expect(s.Runs()[0].RequestID).To(Equal("r1"))
	})

	DescribeTable("classifies the failure of a call",
		func(ctx SpecContext, faults engine.Faults, cause endpoint.Cause, result routing.Result, mayHaveStarted bool) {
			s := engine.New(engine.Options{})
			e := serve(s)
			s.SetFaults(faults)
			call := newCall(e, helloBody)
			call.SilenceTimeout = 300 * time.Millisecond
			_, _, err := readAll(ctx, client, call)
			Expect(causeOf(err)).To(Equal(cause), "%v", err)
			var failed *endpoint.Error
			Expect(errors.As(err, &failed)).To(BeTrue())
			Expect(failed.Result()).To(Equal(result))
			Expect(failed.MayHaveStarted()).To(Equal(mayHaveStarted))
		},
		Entry("refused", engine.Faults{Refuse: true}, endpoint.Refused, routing.ResultNotStarted, false),
		Entry("crash on arrival", engine.Faults{CrashOnArrival: true}, endpoint.ConnectionBroken, routing.ResultCrashed, true),
		Entry("crash mid-response", engine.Faults{CrashAfterTokens: 3}, endpoint.ConnectionBroken, routing.ResultCrashed, true),
		Entry("silent on arrival", engine.Faults{SilentOnArrival: true}, endpoint.TimedOut, routing.ResultTimedOut, true),
		Entry("silent mid-response", engine.Faults{SilentAfterTokens: 3}, endpoint.TimedOut, routing.ResultTimedOut, true),
		Entry("truncated", engine.Faults{HalfAfterTokens: 3}, endpoint.Malformed, routing.ResultCrashed, true),
		Entry("mixed with another response", engine.Faults{CrossedAfterTokens: 3}, endpoint.Malformed, routing.ResultCrashed, true),
		Entry("restarted mid-response", engine.Faults{DoubledAfterTokens: 3}, endpoint.Malformed, routing.ResultCrashed, true),
		Entry("restarted after the finish reason", engine.Faults{Doubled: true}, endpoint.Malformed, routing.ResultCrashed, true),
		Entry("invalid chunk", engine.Faults{GarbageAfterTokens: 3}, endpoint.Malformed, routing.ResultCrashed, true),
	)

	It("reports that a request did not reach the endpoint", func(ctx SpecContext) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := ln.Addr().String()
		Expect(ln.Close()).To(Succeed())
		_, _, err = readAll(ctx, client, newCall(catalog.Endpoint{Name: "gone", Address: address}, helloBody))
		Expect(causeOf(err)).To(Equal(endpoint.NotReached))
	})

	It("reports that the engine rejected a request as invalid", func(ctx SpecContext) {
		e := serve(engine.New(engine.Options{}))
		_, _, err := readAll(ctx, client, newCall(e, `{"messages":5}`))
		Expect(causeOf(err)).To(Equal(endpoint.Rejected))
	})

	It("closes the connection to the engine immediately when the call is cancelled", func(ctx SpecContext) {
		s := engine.New(engine.Options{MinTokens: 10_000, MaxTokens: 10_000})
		e := serve(s)
		callCtx, cancel := context.WithCancel(ctx)
		stream, err := client.Open(callCtx, newCall(e, helloBody))
		Expect(err).NotTo(HaveOccurred())
		defer stream.Close()
		_, err = stream.Next()
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Eventually(func() bool { return s.Runs()[0].Cancelled }).WithTimeout(5 * time.Second).Should(BeTrue())
	})

	It("sends a request with an idempotency key only once when its connection is closed", func(ctx SpecContext) {
		s := engine.New(engine.Options{})
		e := serve(s)
		call := newCall(e, helloBody)
		_, _, err := readAll(ctx, client, call)
		Expect(err).NotTo(HaveOccurred())
		s.SetFaults(engine.Faults{CrashOnArrival: true, Times: 1})
		call.IdempotencyKey = "k1"
		_, _, err = readAll(ctx, client, call)
		Expect(causeOf(err)).To(Equal(endpoint.ConnectionBroken))
		Expect(s.Runs()).To(HaveLen(2))
		Expect(s.Runs()[1].IdempotencyKey).To(Equal("k1"))
	})

	It("reads load reports and finds gaps in cache events", func(ctx SpecContext) {
		s := engine.New(engine.Options{CacheBlocks: 2, EventGapEvery: 2})
		e := serve(s)
		s.Leave()
		load, err := client.Load(ctx, e)
		Expect(err).NotTo(HaveOccurred())
		Expect(load.Leaving).To(BeTrue())
		long := make([]byte, 4096)
		for i := range long {
			long[i] = 'a'
		}
		body := `{"stream":true,"messages":[{"role":"user","content":"` + string(long) + `"}]}`
		_, _, err = readAll(ctx, client, newCall(e, body))
		Expect(err).NotTo(HaveOccurred())
		events, gap, err := client.CacheEvents(ctx, e, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).NotTo(BeEmpty())
		Expect(gap).To(BeTrue())
	})
})
