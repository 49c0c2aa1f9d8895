package httpio_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/httpio"
)

var _ = Describe("Server", func() {
	var (
		server       *httpio.Server
		address      string
		handled      atomic.Int32
		disconnected chan struct{}
	)

	BeforeEach(func() {
		handled.Store(0)
		disconnected = make(chan struct{}, 1)
		server = httpio.NewServer(httpio.Options{
			Handler: func(ctx context.Context, r *httpio.Request, w *httpio.Writer) {
				handled.Add(1)
				if strings.HasPrefix(r.Target, "/wait") {
					<-ctx.Done()
					disconnected <- struct{}{}
					return
				}
				Expect(w.WriteResponse(200, nil, append([]byte(r.Target+" "), r.Body...))).To(Succeed())
			},
			Limits: func() httpio.Limits {
				return httpio.Limits{HeaderBytes: 1024, BodyBytes: 2048, HeaderTimeout: 200 * time.Millisecond, BodyTimeout: 300 * time.Millisecond, IdleTimeout: 400 * time.Millisecond}
			},
			OnReject: func(_ net.Addr, status int, reason httpio.RejectReason, _ *fasthttp.RequestHeader) httpio.Rejection {
				return httpio.Rejection{Status: status, Body: []byte(reason)}
			},
		})
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		address = listener.Addr().String()
		go func() { _ = server.Serve(listener) }()
	})

	dial := func() net.Conn {
		conn, err := net.Dial("tcp4", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		return conn
	}
	readAll := func(conn net.Conn) string {
		data, _ := io.ReadAll(conn)
		return string(data)
	}

	DescribeTable("rejects an invalid request without calling the handler or repeating its content",
		func(request string, status int) {
			conn := dial()
			_, err := io.WriteString(conn, request)
			Expect(err).NotTo(HaveOccurred())
			response := readAll(conn)
			Expect(response).To(HavePrefix(fmt.Sprintf("HTTP/1.1 %d ", status)))
			Expect(response).To(ContainSubstring("Connection: close"))
			Expect(response).NotTo(ContainSubstring("secret"))
			Expect(handled.Load()).To(BeZero())
		},
		Entry("two lengths", "POST /x HTTP/1.1\r\nHost: h\r\nKey: secret\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400),
		Entry("Content-Length followed by Transfer-Encoding", "POST /x HTTP/1.1\r\nHost: h\r\nKey: secret\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", 400),
		Entry("Transfer-Encoding followed by Content-Length", "POST /x HTTP/1.1\r\nHost: h\r\nKey: secret\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400),
		Entry("two Host fields", "GET /x HTTP/1.1\r\nHost: h\r\nHost: i\r\nKey: secret\r\n\r\n", 400),
		Entry("no HTTP request line", "secret\r\n\r\n", 400),
		Entry("a header that is too large", "GET /x HTTP/1.1\r\nHost: h\r\nKey: secret"+strings.Repeat("x", 4096)+"\r\n\r\n", 431),
		Entry("a body that is too large", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\nsecret", 413),
		Entry("a chunked body that is too large", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n"+strings.Repeat("x", 4096)+"\r\n0\r\n\r\n", 413),
		Entry("a line that ends without a carriage return", "GET /x HTTP/1.1\r\nHost: h\nKey: secret\r\n\r\n", 400),
		Entry("a header that ends without carriage returns", "GET /x HTTP/1.1\r\nHost: h\r\nKey: secret\n\n", 400),
		Entry("a field that continues on the next line", "GET /x HTTP/1.1\r\nHost: h\r\nKey: a\r\n secret\r\n\r\n", 400),
		Entry("a field that continues on the next line after a tab", "GET /x HTTP/1.1\r\nHost: h\r\nKey: a\r\n\tsecret\r\n\r\n", 400),
		Entry("a header that does not end", "GET /x HTTP/1.1\r\nHost: h\r\nKey: secret", 408),
		Entry("a body that does not end", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nsecret", 408),
		Entry("a chunked body that does not end", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecret\r\n", 408),
	)

	It("states in the body why it rejected a request", func() {
		conn := dial()
		_, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\n")
		Expect(err).NotTo(HaveOccurred())
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = r.Body.Close() }()
		Expect(r.Header.Get("Content-Type")).To(Equal("application/json"))
		body, err := io.ReadAll(r.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal(string(httpio.Malformed)))
	})

	It("takes a header that arrives byte by byte", func() {
		conn := dial()
		for _, b := range []byte("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n") {
			_, err := conn.Write([]byte{b})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(readAll(conn)).To(HavePrefix("HTTP/1.1 200 "))
	})

	It("closes the connection at once after a response with Connection: close", func() {
		patient := httpio.NewServer(httpio.Options{
			Handler: func(_ context.Context, _ *httpio.Request, w *httpio.Writer) {
				Expect(w.WriteResponse(200, nil, []byte("done"))).To(Succeed())
			},
			Limits: func() httpio.Limits {
				return httpio.Limits{HeaderBytes: 1024, BodyBytes: 2048, HeaderTimeout: time.Hour, BodyTimeout: time.Hour, IdleTimeout: time.Hour}
			},
			OnReject: func(_ net.Addr, status int, _ httpio.RejectReason, _ *fasthttp.RequestHeader) httpio.Rejection {
				return httpio.Rejection{Status: status}
			},
		})
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() { _ = patient.Serve(listener) }()
		address = listener.Addr().String()
		conn := dial()
		_, err = io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		data, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred(), "the connection ends before the deadline of the read")
		Expect(string(data)).To(And(ContainSubstring("Connection: close"), HaveSuffix("done")))
	})

	It("answers pipelined requests of one connection in order", func() {
		conn := dial()
		_, err := io.WriteString(conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\naPOST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbc\r\n0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(conn)
		for _, want := range []string{"/1 a", "/2 bc"} {
			r, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(r.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Body.Close()).To(Succeed())
			Expect(string(body)).To(Equal(want))
		}
	})

	It("responds with 100 Continue to Expect: 100-continue", func() {
		conn := dial()
		_, err := io.WriteString(conn, "POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		line, err := bufio.NewReader(conn).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(HavePrefix("HTTP/1.1 100"))
	})

	It("cancels the handler's context when the caller disconnects", func() {
		conn := dial()
		_, err := io.WriteString(conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(server.Active).Should(Equal(1))
		Expect(conn.Close()).To(Succeed())
		Eventually(disconnected).Should(Receive())
		Eventually(server.Active).Should(BeZero())
	})

	It("closes a connection after the idle timeout, and after each response while draining", func() {
		idle := dial()
		Expect(readAll(idle)).To(BeEmpty())
		server.Drain()
		conn := dial()
		_, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(readAll(conn)).To(ContainSubstring("Connection: close"))
	})

	It("closes idle connections on demand, but none with a request in progress", func() {
		busy, idle := dial(), dial()
		_, err := io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(server.Active).Should(Equal(1))
		server.CloseIdle()
		Expect(readAll(idle)).To(BeEmpty())
		Expect(busy.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
		_, err = busy.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("timeout")))
	})

	It("sends no body in response to HEAD", func() {
		conn := dial()
		_, err := io.WriteString(conn, "HEAD /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(readAll(conn)).To(HaveSuffix("\r\n\r\n"))
	})
})
