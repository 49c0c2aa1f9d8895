package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// framedStream sends data as a stream of one chunk with its end.
func framedStream(data string) script {
	return func(r *http.Request, _ string, conn net.Conn) bool {
		return streamOf(true, data)(r, "", conn)
	}
}

// answerBody returns the body that a caller gets, and whether it is complete.
func answerBody(fx *fixture, path string, fields ...string) (body string, complete bool) {
	r := fx.call(path, fields...)
	Expect(r).NotTo(BeNil())
	return readBody(r)
}

var _ = Describe("A resumable stream that does not break", func() {
	It("is forwarded unchanged, whatever its event ids are", func() {
		for _, stream := range []string{
			"id: 1\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n",
			"id: 2\ndata: a\n\nid: 1\ndata: b\n\n",
			"id: x\ndata: a\n\nid: x\ndata: b\n\n",
			"data: a\n\n: keep-alive\n\ndata: b\n\n",
			"weight-versions: 3\nid: 7\ndata: a\n\nweight-versions: 4\nid: 8\ndata: b\n\n",
			"id: 1\r\ndata: a\r\n\r\nweight-versions: 4\r\nid: 2\r\ndata: b\r\n\r\n",
		} {
			body, complete := answerBody(newFixture(spec(), newEndpoint(framedStream(stream))), "/resume/x")
			Expect(body).To(Equal(stream))
			Expect(complete).To(BeTrue())
		}
	})

	It("is forwarded unchanged if it has events before the one after which the caller resumes", func() {
		stream := event(1) + event(2) + event(3)
		body, complete := answerBody(newFixture(spec(), newEndpoint(framedStream(stream))), "/resume/x", "Last-Event-Id", "2")
		Expect(body).To(Equal(stream))
		Expect(complete).To(BeTrue())
	})

	It("is whole with an event larger than the buffer for incomplete events", func() {
		stream := event(1) + "id: 2\ndata: " + strings.Repeat("x", 300<<10) + "\n\n" + event(3)
		body, complete := answerBody(newFixture(spec(), newEndpoint(framedStream(stream))), "/resume/x")
		Expect(complete).To(BeTrue(), "%d of %d bytes", len(body), len(stream))
		Expect(body).To(Equal(stream))
	})
})

var _ = Describe("A stream that continues at another endpoint", func() {
	It("does not end with a part of an event that the caller already has", func() {
		body, _ := answerBody(newFixture(spec(), inTurn(2, brokenStream(event(1)+event(2)), framedStream("id: 2\ndata: e2\n"))...), "/resume/x")
		Expect(body).To(Equal(event(1) + event(2)))
	})

	It("does not repeat events without an id", func() {
		first, rest := "data: a\n\n", "data: b\n\n"
		body, complete := answerBody(newFixture(spec(), inTurn(2, brokenStream(first+"da"), framedStream(first+rest))...), "/resume/x")
		Expect(body).To(Equal(first))
		Expect(complete).To(BeFalse(), "there is no id to go on after")
	})

	It("does not repeat an event without an id after one with an id", func() {
		first := event(1) + "data: a\n\n"
		body, complete := answerBody(newFixture(spec(), inTurn(2, brokenStream(first+"da"), framedStream("data: a\n\n"+event(2)))...), "/resume/x")
		Expect(body).To(Equal(first))
		Expect(complete).To(BeFalse())
	})

	It("continues after comments, with CR LF and with version lines", func() {
		crlf := func(s string) string { return strings.ReplaceAll(s, "\n", "\r\n") }
		versioned := "weight-versions: 3\n" + event(1) + event(2) + "weight-versions: 4\n" + event(3)
		for _, stream := range []string{crlf(event(1) + event(2) + event(3)), versioned, crlf(versioned)} {
			first, rest, _ := strings.Cut(stream, "id: 2")
			second := "id: 2" + rest
			for cut := len(first); cut < strings.Index(stream, "e2"); cut++ {
				body, complete := answerBody(newFixture(spec(), inTurn(2, brokenStream(": hello\n\n"+stream[:cut]), framedStream(": hello\n\n"+second))...), "/resume/x")
				Expect(strings.ReplaceAll(body, ": hello\n\n", "")).To(Equal(stream), "cut at %d", cut)
				Expect(complete).To(BeTrue())
			}
		}
	})

	// The first endpoint's error response is kept while the stream is tried at two others.
	It("does not end as complete with an error response, whichever came first", func() {
		for _, scripts := range [][]script{
			{reply(500, signatureField, "broken"), brokenStream(event(1)), reply(500, signatureField, "again")},
			{brokenStream(event(1)), reply(500, signatureField, "broken"), reply(404, signatureField, "missing")},
			{brokenStream(event(1)), reply(503, signatureField, "no"), closeWithoutResponse},
			{brokenStream(event(1)), refuseNotRun(), refuseNotRun(), refuseNotRun()},
		} {
			raw := newFixture(threeAttempts(), inTurn(4, scripts...)...).rawCall("/resume/x")
			Expect(strings.Count(raw, "HTTP/1.1 ")).To(Equal(1), raw)
			Expect(raw).NotTo(HaveSuffix("0\r\n\r\n"))
		}
	})
})

var _ = Describe("A response of unknown length that is no event stream", func() {
	large := strings.Repeat("x", 300<<10)

	It("is forwarded if it is larger than the response buffer", func() {
		chunked := func(r *http.Request, _ string, conn net.Conn) bool {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", requestIDField, r.Header.Get(requestIDField), signatureField, len(large), large)
			return err == nil
		}
		unframed := func(r *http.Request, _ string, conn net.Conn) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sConnection: close\r\n\r\n%s", requestIDField, r.Header.Get(requestIDField), signatureField, large)
			return false
		}
		for _, s := range []script{chunked, unframed} {
			r := newFixture(spec(), newEndpoint(s)).call("/unsafe/x")
			Expect(r.StatusCode).To(Equal(http.StatusOK))
			body, complete := readBody(r)
			Expect(body).To(Equal(large))
			Expect(complete).To(BeTrue())
		}
	})
})

var _ = Describe("An endpoint that has not run a request", func() {
	It("does not hold the request with a body that has no end", func() {
		open := make(chan struct{})
		DeferCleanup(func() { close(open) })
		unfinished := func(r *http.Request, _ string, conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\n"+requestIDField+": "+r.Header.Get(requestIDField)+"\r\nPrimrosewell-Not-Run: 1\r\nContent-Length: 9\r\n\r\nfu")
			select {
			case <-open:
			case <-time.After(10 * time.Second):
			}
			return false
		}
		r := newFixture(spec(), inTurn(2, unfinished, ok("done"))...).call("/unsafe/x")
		Expect(r.StatusCode).To(Equal(http.StatusOK))
	})
})
