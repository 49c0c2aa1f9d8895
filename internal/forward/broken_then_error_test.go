package forward_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const generatedEvents = 4

// eventsFrom returns the events of the generated stream that follow one.
func eventsFrom(after int) (text string) {
	for n := after + 1; n <= generatedEvents; n++ {
		text += event(n)
	}
	return text
}

// drawAnswer draws the bytes that an endpoint sends which is asked to go on after an event, and how it
// ends the connection: with an error response, within its head, within the stream, or rightly.
func drawAnswer(t *rapid.T, id string, after int) (answer string, reset bool) {
	echo := requestIDField + ": " + id + "\r\n"
	front := rapid.SampledFrom([]string{"", "", "HTTP/1.1 103 Early Hints\r\n\r\n"}).Draw(t, "front")
	framed := func(body string) string {
		if rapid.Bool().Draw(t, "chunks") {
			if body == "" {
				return "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
			}
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	stream := front + "HTTP/1.1 200 OK\r\n" + echo + signatureField + "Content-Type: text/event-stream\r\n" + framed(eventsFrom(after))
	sealed := rapid.SampledFrom([]string{"", signatureField}).Draw(t, "seal")
	failure := front + "HTTP/1.1 " + rapid.SampledFrom([]string{"500 X", "502 X", "503 X", "504 X", "429 X", "404 X", "302 X", "200 OK", "204 X"}).Draw(t, "status") + "\r\n" + echo + sealed +
		rapid.SampledFrom([]string{"", "Content-Type: text/event-stream\r\n", "Content-Type: application/json\r\n"}).Draw(t, "type")
	text := rapid.SampledFrom([]string{"", "oops", "event: error\ndata: oops\n\n", "HTTP/1.1 500 oops\r\n\r\n", strings.Repeat("oops", 100<<10)}).Draw(t, "error")
	streamHead := len(front) + strings.Index(stream[len(front):], "\r\n\r\n") + 2
	head := rapid.SampledFrom([]string{stream[:streamHead], failure}).Draw(t, "head")
	reset = rapid.Bool().Draw(t, "reset")
	kinds := []string{"rest", "broken", "broken", "failure", "head", "refused"}
	if after > 0 {
		kinds = append(kinds, "event")
	}
	switch rapid.SampledFrom(kinds).Draw(t, "kind") {
	case "broken":
		return stream[:rapid.IntRange(streamHead, len(stream)-1).Draw(t, "cut")], reset
	case "failure":
		if strings.Contains(failure, " 200 OK") {
			failure = strings.ReplaceAll(failure, signatureField, "") // A sealed success is the endpoint's answer.
		}
		return failure + framed(text), false
	case "head":
		return head[:rapid.IntRange(0, len(head)).Draw(t, "cut")], reset
	case "refused":
		return "HTTP/1.1 503 X\r\n" + echo + "Primrosewell-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false
	case "event":
		return "HTTP/1.1 200 OK\r\n" + echo + signatureField + "Content-Type: text/event-stream\r\n" + framed("event: error\ndata: oops\n\n"), false
	}
	return stream, false
}

// callerBytes sends a request of this protocol version and returns what the caller receives, and
// whether its connection ended in order.
func (fx *fixture) callerBytes(protocol string) (data []byte, inOrder bool) {
	conn, err := net.Dial("tcp4", fx.address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /resume/x %s\r\nHost: h\r\nConnection: close\r\n%s: id-1\r\nPrimrosewell-Key: key\r\nPrimrosewell-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n", protocol, requestIDField)
	Expect(err).NotTo(HaveOccurred())
	data, err = io.ReadAll(conn)
	return data, err == nil
}

var _ = Describe("A stream that breaks off before an endpoint that fails", func() {
	// Guards against MIXED and ORDER: an error's text or head within a stream, a stream that looks whole,
	// and a head that stops taken for an answer.
	It("has no bytes of the failure in it, and looks whole only behind its last event", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			protocol := rapid.SampledFrom([]string{"HTTP/1.1", "HTTP/1.1", "HTTP/1.0"}).Draw(t, "protocol")
			asked, answers := make(chan *http.Request), make(chan script)
			serve := func(r *http.Request, body string, conn net.Conn) bool {
				asked <- r
				return (<-answers)(r, body, conn)
			}
			fx := newFixture(threeAttempts(), newEndpoint(serve), newEndpoint(serve), newEndpoint(serve), newEndpoint(serve))
			type result struct {
				data    []byte
				inOrder bool
			}
			ended := make(chan result, 1)
			go func() {
				defer GinkgoRecover()
				data, inOrder := fx.callerBytes(protocol)
				ended <- result{data, inOrder}
			}()
			var got result
			var sent []string
			for open := true; open; {
				select {
				case got = <-ended:
					open = false
				case r := <-asked:
					after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
					answer, reset := drawAnswer(t, r.Header.Get(requestIDField), after)
					sent = append(sent, fmt.Sprintf("after %d, reset %t: %.300q", after, reset, answer))
					answers <- func(_ *http.Request, _ string, conn net.Conn) bool {
						_, _ = io.WriteString(conn, answer)
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						return false
					}
				}
			}
			note := fmt.Sprintf("%s %s\ngot %.400q, in order %t", protocol, strings.Join(sent, "\n"), got.data, got.inOrder)
			if len(got.data) == 0 {
				return // A closed connection without an answer promises nothing.
			}
			rest := bufio.NewReader(bytes.NewReader(got.data))
			r, err := http.ReadResponse(rest, nil)
			Expect(err).NotTo(HaveOccurred(), note)
			body, err := io.ReadAll(r.Body)
			Expect(rest.Buffered()).To(BeZero(), note)
			complete := err == nil && (protocol == "HTTP/1.1" || got.inOrder)
			if r.StatusCode != http.StatusOK {
				Expect(string(body)).NotTo(ContainSubstring("data: e"), note)
				return
			}
			Expect(eventsFrom(0)).To(HavePrefix(string(body)), note)
			if complete {
				Expect(string(body)).To(Equal(eventsFrom(0)), note)
			}
		})
	})
})
