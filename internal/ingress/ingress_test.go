package ingress_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/ingress"
	"github.com/primrosewell/primrosewell/internal/settings"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

// fakeRunner is a dispatcher that runs the function given by a test.
type fakeRunner func(ctx context.Context, r dispatch.Request, sink dispatch.Sink) dispatch.Result

func (f fakeRunner) Run(ctx context.Context, r dispatch.Request, sink dispatch.Sink) dispatch.Result {
	return f(ctx, r, sink)
}

const apiKey = "caledonian-key"

func snapshot() *catalog.Snapshot {
	sum := sha256.Sum256([]byte(apiKey))
	s, skipped := catalog.NewSnapshot(1, []catalog.Record{
		{Kind: catalog.KindProfile, Name: "pilot", Spec: []byte(`{"name":"pilot","tier":1,"target":{"first_token_ms":380}}`)},
		{Kind: catalog.KindProfile, Name: "draft", Spec: []byte(`{"name":"draft","tier":3,"target":{"first_token_ms":5000}}`)},
		{Kind: catalog.KindWorkspace, Name: "harbour", Spec: []byte(`{"name":"harbour","profiles":["pilot"],"default_profile":"pilot","key_hashes":["` + hex.EncodeToString(sum[:]) + `"]}`)},
		{Kind: catalog.KindService, Name: "bulletin-llm", Spec: []byte(`{"name":"bulletin-llm","kind":"engine","models":["bulletin"]}`)},
		{Kind: catalog.KindService, Name: "receiver-api", Spec: []byte(`{"name":"receiver-api","kind":"plain"}`)},
	})
	Expect(skipped).To(BeEmpty())
	return s
}

// start starts a server with this dispatcher on loopback and returns its base URL.
func start(run fakeRunner) (base string, server *ingress.Server) {
	return startWith(func(*settings.Callers) {}, run)
}

// startWith starts a server with changed settings.
func startWith(change func(*settings.Callers), run fakeRunner) (base string, server *ingress.Server) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := settings.Defaults().Callers
	s.MaxBodyBytes = 4096
	s.ReadTimeout = 500 * time.Millisecond
	change(&s)
	server = ingress.New(ingress.Options{
		Settings: s,
		Catalog:  snapshot,
		Runner:   run,
		Ready:    func() error { return nil },
		Log:      log,
		Scope:    tally.NoopScope,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(ctx, listener) }()
	DeferCleanup(func() {
		cancel()
		shutdown, done := context.WithTimeout(context.Background(), 5*time.Second)
		defer done()
		_ = server.Shutdown(shutdown)
	})
	return "http://" + listener.Addr().String(), server
}

func send(base, path, body string, headers ...string) *http.Response {
	request, err := http.NewRequest(http.MethodPost, base+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Add(headers[i], headers[i+1])
	}
	transport := &http.Transport{}
	DeferCleanup(transport.CloseIdleConnections)
	response, err := (&http.Client{Transport: transport}).Do(request)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(response.Body.Close)
	return response
}

func errorOf(response *http.Response) (code, outcome, requestID string) {
	var body struct {
		Error struct {
			Code      string `json:"code"`
			Outcome   string `json:"outcome"`
			RequestID string `json:"request_id"`
		} `json:"error"`
	}
	Expect(json.NewDecoder(response.Body).Decode(&body)).To(Succeed())
	return body.Error.Code, body.Error.Outcome, body.Error.RequestID
}

func completed(_ context.Context, r dispatch.Request, sink dispatch.Sink) dispatch.Result {
	sink.Begin(http.StatusOK, "application/json")
	_ = sink.Write([]byte(`{"model":"` + r.Model + `"}`))
	return dispatch.Result{Outcome: failure.Completed, ResponseStarted: true}
}

const chat = `{"model":"bulletin","messages":[{"role":"user","content":"storm?"}]}`

var _ = Describe("Invalid input", func() {
	DescribeTable("gets a typed error with the outcome not_run",
		func(path, body string, status int, code failure.Code, headers ...string) {
			base, _ := start(func(context.Context, dispatch.Request, dispatch.Sink) dispatch.Result {
				Fail("the request must not reach the dispatcher")
				return dispatch.Result{}
			})
			response := send(base, path, body, headers...)
			Expect(response.StatusCode).To(Equal(status))
			got, outcome, id := errorOf(response)
			Expect(got).To(Equal(string(code)))
			Expect(outcome).To(Equal("not_run"))
			Expect(id).NotTo(BeEmpty())
			Expect(id).To(Equal(response.Header.Get(ingress.RequestIDHeader)))
		},
		Entry("invalid JSON", "/v1/chat/completions", `{"model":`, 400, failure.InvalidRequest),
		Entry("no messages", "/v1/chat/completions", `{"model":"bulletin"}`, 400, failure.InvalidRequest),
		Entry("a prompt that is a list", "/v1/completions", `{"model":"bulletin","prompt":["a","b"]}`, 400, failure.InvalidRequest),
		Entry("two choices", "/v1/chat/completions", `{"model":"bulletin","n":2,"messages":[]}`, 400, failure.InvalidRequest),
		Entry("unknown model", "/v1/chat/completions", `{"model":"other","messages":[]}`, 404, failure.UnknownModel),
		Entry("unknown profile", "/v1/chat/completions", chat, 403, failure.Forbidden, ingress.ProfileHeader, "draft"),
		Entry("profile twice", "/v1/chat/completions", chat, 400, failure.InvalidRequest, ingress.ProfileHeader, "pilot", ingress.ProfileHeader, "draft"),
		Entry("wrong key", "/v1/chat/completions", chat, 400, failure.InvalidRequest, "Authorization", "Bearer other"),
		Entry("too large", "/v1/chat/completions", `{"model":"`+strings.Repeat("x", 5000)+`"}`, 413, failure.BodyTooLarge),
		Entry("not repeatable without a key", "/v1/chat/completions", chat, 400, failure.KeyRequired, ingress.NotRepeatableHeader, "true"),
		Entry("engine service called as a plain one", "/services/bulletin-llm/x", "", 400, failure.InvalidRequest),
		Entry("unknown service", "/services/none/x", "", 404, failure.UnknownService),
		Entry("unknown path", "/v2", "", 404, failure.NotFound),
	)

	It("refuses a wrong key", func() {
		base, _ := start(completed)
		request, _ := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(chat))
		request.Header.Set("Authorization", "Bearer wrong")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
	})

	It("closes the connection of a client that sends too slowly", func() {
		base, _ := start(completed)
		conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, _ = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n1"))
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred(), "the server closes the connection")
	})
})

var _ = Describe("Responses", func() {
	It("keeps nothing of the server's buffers", func() {
		requests := make(chan dispatch.Request, 2)
		base, _ := start(func(ctx context.Context, r dispatch.Request, sink dispatch.Sink) dispatch.Result {
			requests <- r
			return completed(ctx, r, sink)
		})
		for _, key := range []string{"first-key", "other-key"} {
			response := send(base, "/v1/chat/completions", chat, ingress.IdempotencyKeyHeader, key)
			Expect(io.ReadAll(response.Body)).To(ContainSubstring("bulletin"))
		}
		Expect((<-requests).IdempotencyKey).To(Equal("first-key"))
	})

	It("streams chunk by chunk", func() {
		next := make(chan struct{})
		base, _ := start(func(_ context.Context, _ dispatch.Request, sink dispatch.Sink) dispatch.Result {
			sink.Begin(http.StatusOK, "text/event-stream")
			_ = sink.Write([]byte("data: 1\n\n"))
			<-next
			_ = sink.Write([]byte("data: [DONE]\n\n"))
			return dispatch.Result{Outcome: failure.Completed, ResponseStarted: true}
		})
		response := send(base, "/v1/chat/completions", strings.Replace(chat, "{", `{"stream":true,`, 1))
		reader := bufio.NewReader(response.Body)
		line, err := reader.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(Equal("data: 1\n"))
		close(next)
		rest, err := io.ReadAll(reader)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(HaveSuffix("[DONE]\n\n"))
	})

	It("breaks the connection of a cut answer that has no typed end", func() {
		base, _ := start(func(_ context.Context, _ dispatch.Request, sink dispatch.Sink) dispatch.Result {
			sink.Begin(http.StatusOK, "text/plain")
			_ = sink.Write([]byte("half"))
			return dispatch.Result{ResponseStarted: true, Failure: failure.New(failure.EndpointFailed, "cut")}
		})
		response := send(base, "/services/receiver-api/push", "x")
		_, err := io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred(), "a truncated response must not look complete")
	})

	It("sends the retry-after delay", func() {
		base, _ := start(func(context.Context, dispatch.Request, dispatch.Sink) dispatch.Result {
			f := failure.New(failure.Overloaded, "full").WithRetryAfter(1500 * time.Millisecond)
			return dispatch.Result{Outcome: f.Outcome, Failure: f}
		})
		response := send(base, "/v1/chat/completions", chat)
		Expect(response.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(response.Header.Get("Retry-After")).To(Equal("2"))
		Expect(response.Header.Get("Retry-After-Ms")).To(Equal("1500"))
	})
})

var _ = Describe("A caller that disconnects", func() {
	DescribeTable("cancels its request, waiting or mid-response",
		func(begin bool) {
			started, ended := make(chan struct{}), make(chan struct{})
			base, server := start(func(ctx context.Context, _ dispatch.Request, sink dispatch.Sink) dispatch.Result {
				if begin {
					sink.Begin(http.StatusOK, "text/event-stream")
					_ = sink.Write([]byte("data: 1\n\n"))
				}
				close(started)
				<-ctx.Done()
				close(ended)
				return dispatch.Result{Failure: failure.New(failure.ClientGone, "left"), ResponseStarted: begin}
			})
			conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
			Expect(err).NotTo(HaveOccurred())
			body := strings.Replace(chat, "{", `{"stream":true,`, 1)
			request, _ := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
			request.Header.Set("Authorization", "Bearer "+apiKey)
			Expect(request.Write(conn)).To(Succeed())
			Eventually(started, 5*time.Second).Should(BeClosed())
			Expect(conn.Close()).To(Succeed())
			Eventually(ended, 5*time.Second).Should(BeClosed())
			Eventually(server.InFlight, 5*time.Second).Should(BeZero())
		},
		Entry("while it waits", false),
		Entry("mid-answer", true),
	)
})

var _ = Describe("Shutdown", func() {
	It("waits for a response in progress", func() {
		release := make(chan struct{})
		began := make(chan struct{})
		base, server := start(func(_ context.Context, _ dispatch.Request, sink dispatch.Sink) dispatch.Result {
			sink.Begin(http.StatusOK, "text/event-stream")
			_ = sink.Write([]byte("data: 1\n\n"))
			close(began)
			<-release
			_ = sink.Write([]byte("data: [DONE]\n\n"))
			return dispatch.Result{Outcome: failure.Completed, ResponseStarted: true}
		})
		response := send(base, "/v1/chat/completions", strings.Replace(chat, "{", `{"stream":true,`, 1))
		<-began
		done := make(chan error, 1)
		go func() { done <- server.Shutdown(context.Background()) }()
		Consistently(done, "300ms").ShouldNot(Receive())
		close(release)
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(HaveSuffix("[DONE]\n\n"))
		Eventually(done, 5*time.Second).Should(Receive(BeNil()))
	})

	DescribeTable("waits for a request that continues after its caller has disconnected, as keyed requests do",
		func(begin bool) {
			release, started := make(chan struct{}), make(chan struct{})
			base, server := start(func(_ context.Context, _ dispatch.Request, sink dispatch.Sink) dispatch.Result {
				if begin {
					sink.Begin(http.StatusOK, "text/plain")
					_ = sink.Write([]byte("half"))
				}
				close(started)
				<-release
				return dispatch.Result{Outcome: failure.Completed, ResponseStarted: begin}
			})
			conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
			Expect(err).NotTo(HaveOccurred())
			request, _ := http.NewRequest(http.MethodPost, base+"/services/receiver-api/push", strings.NewReader("x"))
			request.Header.Set("Authorization", "Bearer "+apiKey)
			Expect(request.Write(conn)).To(Succeed())
			Eventually(started, 5*time.Second).Should(BeClosed())
			Expect(conn.Close()).To(Succeed())
			done := make(chan error, 1)
			go func() { done <- server.Shutdown(context.Background()) }()
			Consistently(done, "600ms").ShouldNot(Receive())
			close(release)
			Eventually(done, 5*time.Second).Should(Receive(BeNil()))
		},
		Entry("before the response started", false),
		Entry("mid-answer", true),
	)
})

var _ = Describe("A connection that is used again", func() {
	It("carries nothing of one response into the next", func() {
		base, _ := start(func(ctx context.Context, r dispatch.Request, sink dispatch.Sink) dispatch.Result {
			if r.IdempotencyKey == "refused" {
				f := failure.New(failure.Overloaded, "full").WithRetryAfter(time.Second)
				return dispatch.Result{Outcome: f.Outcome, Failure: f}
			}
			return completed(ctx, r, sink)
		})
		conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		reader := bufio.NewReader(conn)
		ids := map[string]bool{}
		for i, key := range []string{"refused", "stream", "whole", "refused", "whole", "stream"} {
			body := chat
			if key == "stream" {
				body = strings.Replace(chat, "{", `{"stream":true,`, 1)
			}
			request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Authorization", "Bearer "+apiKey)
			request.Header.Set(ingress.IdempotencyKeyHeader, key)
			Expect(request.Write(conn)).To(Succeed())
			response, err := http.ReadResponse(reader, request)
			Expect(err).NotTo(HaveOccurred())
			data, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			ids[response.Header.Get(ingress.RequestIDHeader)] = true
			Expect(ids).To(HaveLen(i + 1))
			refused := key == "refused"
			Expect(response.Header.Get("Retry-After") != "").To(Equal(refused))
			Expect(response.StatusCode == http.StatusTooManyRequests).To(Equal(refused))
			Expect(strings.Contains(string(data), "overloaded")).To(Equal(refused))
			Expect(response.Header.Get(ingress.OutcomeHeader)).To(Equal(map[string]string{"refused": "not_run", "whole": "completed", "stream": ""}[key]))
		}
	})

	It("is not subject to the write deadline of the stream before", func() {
		stall := 50 * time.Millisecond
		base, _ := startWith(func(s *settings.Callers) { s.WriteStallTimeout = stall }, func(ctx context.Context, r dispatch.Request, sink dispatch.Sink) dispatch.Result {
			if r.IdempotencyKey == "later" {
				time.Sleep(4 * stall)
			}
			return completed(ctx, r, sink)
		})
		conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		reader := bufio.NewReader(conn)
		stream := strings.Replace(chat, "{", `{"stream":true,`, 1)
		for _, body := range []string{stream, chat, stream, stream} {
			request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Authorization", "Bearer "+apiKey)
			request.Header.Set(ingress.IdempotencyKeyHeader, "later")
			Expect(request.Write(conn)).To(Succeed())
			response, err := http.ReadResponse(reader, request)
			Expect(err).NotTo(HaveOccurred())
			Expect(io.ReadAll(response.Body)).To(ContainSubstring("bulletin"))
		}
	})
})

var _ = Describe("A stream whose end comes late", func() {
	It("is not subject to the write deadline of its last chunk", func() {
		stall := 50 * time.Millisecond
		base, _ := startWith(func(s *settings.Callers) { s.WriteStallTimeout = stall }, func(ctx context.Context, r dispatch.Request, sink dispatch.Sink) dispatch.Result {
			result := completed(ctx, r, sink)
			time.Sleep(4 * stall)
			return result
		})
		response := send(base, "/services/receiver-api/push", "x")
		_, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
	})
})
