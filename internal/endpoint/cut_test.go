package endpoint_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/endpoint"
)

// cutAfter sends the first bytes of a response, and closes the connection in order or resets it.
func cutAfter(response string, cut int, reset bool) func(net.Conn) {
	return func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, response[:cut])
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// Guards against MIXED and ORDER: a response whose head or body stops taken for a whole one.
var _ = Describe("a response that stops", func() {
	const early = "HTTP/1.1 103 Early Hints\r\n\r\n"
	var client *endpoint.Client
	BeforeEach(func() {
		client = endpoint.NewClient(endpoint.Options{})
		DeferCleanup(client.Close)
	})
	DescribeTable("is no whole response of an engine, wherever it does", func(ctx SpecContext, response string) {
		done := strings.Index(response, "[DONE]\n\n")
		for cut := range len(response) {
			for _, reset := range []bool{false, true} {
				text, _, err := readAll(ctx, client, newCall((&connStandin{handle: cutAfter(response, cut, reset)}).serve(), helloBody))
				if done >= 0 && cut >= done+len("[DONE]") {
					continue // The marker ends the response, whatever follows.
				}
				Expect(err).To(HaveOccurred(), "cut after %d, reset %t: %q", cut, reset, text)
				Expect(text).To(Or(BeEmpty(), Equal("for r")))
			}
		}
	},
		Entry("that begins at once", streamOf("r")),
		Entry("behind an informational one", early+streamOf("r")),
		Entry("with an error", "HTTP/1.1 500 X\r\nContent-Type: text/event-stream\r\nContent-Length: 4\r\n\r\noops"),
	)
	DescribeTable("is no whole response of a plain service, wherever it does", func(ctx SpecContext, response string) {
		head := strings.LastIndex(response, "\r\n\r\n") + 4
		if chunked := strings.Index(response, "chunked\r\n\r\n"); chunked >= 0 {
			head = chunked + len("chunked\r\n\r\n")
		}
		for cut := range len(response) {
			for _, reset := range []bool{false, true} {
				note := fmt.Sprintf("cut after %d of %d, reset %t", cut, len(response), reset)
				r, err := client.Do(ctx, endpoint.PlainCall{Endpoint: (&connStandin{handle: cutAfter(response, cut, reset)}).serve(), Method: "POST", Path: "/x", RequestID: "r"})
				if err != nil {
					continue
				}
				Expect(cut).To(BeNumerically(">=", head), note)
				_, err = io.ReadAll(r)
				r.Close()
				Expect(err).To(HaveOccurred(), note)
			}
		}
	},
		Entry("with a length", bodyOf("r")),
		Entry("in chunks, behind an informational one", early+"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nfor\r\n2\r\n r\r\n0\r\n\r\n"),
		Entry("with an error", "HTTP/1.1 502 X\r\nContent-Length: 4\r\n\r\noops"),
	)
})
