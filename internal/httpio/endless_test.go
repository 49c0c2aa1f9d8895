package httpio_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/httpio"
)

const (
	// endlessBytes is where an endless response ends if the client goes on reading.
	endlessBytes = 64 << 20
	// maxAcceptedBytes bounds the bytes of it that the sockets' buffers and the client take.
	maxAcceptedBytes = endlessBytes / 4
)

// endlessEndpoint responds to a request with the prefix and then repeats unit until the client
// closes the connection. It returns how many bytes it has sent by then.
func endlessEndpoint(prefix, unit string) (address string, sent chan int) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	sent = make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		total, err := io.WriteString(conn, prefix)
		block := bytes.Repeat([]byte(unit), 64<<10/len(unit)+1)
		for err == nil && total < endlessBytes {
			var n int
			n, err = conn.Write(block)
			total += n
		}
		sent <- total
	}()
	return listener.Addr().String(), sent
}

var _ = Describe("An endpoint that never stops sending", func() {
	chunked := "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"

	DescribeTable("is cut off, and its response is not complete",
		func(prefix, unit string) {
			address, sent := endlessEndpoint(prefix, unit)
			_, _, err := call(httpio.NewDialer(), address, "GET", "a")
			Expect(err).To(HaveOccurred())
			Expect(<-sent).To(BeNumerically("<", maxAcceptedBytes))
		},
		Entry("bytes instead of a response", "", "x"),
		Entry("empty lines instead of a response", "", "\r\n"),
		Entry("zero bytes instead of a response", "", "\x00"),
		Entry("a reason phrase", "HTTP/1.1 200 ", "x"),
		Entry("informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
		Entry("informational responses with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: "+strings.Repeat("x", 4000)+"\r\n\r\n"),
		Entry("a field value", "HTTP/1.1 200 OK\r\nId: a\r\nX: ", "x"),
		Entry("fields", "HTTP/1.1 200 OK\r\nId: a\r\n", "X: y\r\n"),
		Entry("a chunk extension", chunked+"1;", "x"),
		Entry("chunk extensions", chunked, "1;"+strings.Repeat("x", 4000)+"\r\ny\r\n"),
		Entry("a chunk size", chunked, "0"),
		Entry("a trailer field", chunked+"2\r\nok\r\n0\r\nX: ", "x"),
		Entry("trailer fields", chunked+"2\r\nok\r\n0\r\n", "X: y\r\n"),
		Entry("responses to other requests", "", answer("b", "", "1")),
		Entry("a response to another request that ends with the connection", "HTTP/1.1 200 OK\r\nId: b\r\n\r\n", "x"),
		Entry("a response to another request with a length", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 99999999999\r\n\r\n", "x"),
		Entry("a response to another request in chunks", strings.Replace(chunked, "Id: a", "Id: b", 1), "1\r\nx\r\n"),
	)

	DescribeTable("is cut off after a complete response, at the latest when the next request needs a connection",
		func(response string) {
			address, sent := endlessEndpoint(response, "x")
			d := httpio.NewDialer()
			_, body, err := call(d, address, "GET", "a")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("ok"))
			conn, err := d.Get(context.Background(), address, "b", time.Second)
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.Close()).To(Succeed()) // It is the first connection if no further byte has arrived yet.
			Expect(<-sent).To(BeNumerically("<", maxAcceptedBytes))
		},
		Entry("with a length", answer("a", "", "ok")),
		Entry("in chunks", chunked+"2\r\nok\r\n0\r\n\r\n"),
	)
})
