package httpio_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/httpio"
)

var _ = Describe("A server that ends the requests in progress", func() {
	const timeout = 20 * time.Second
	var (
		server   *httpio.Server
		listener net.Listener
		handling chan struct{}
	)
	BeforeEach(func() {
		handling = make(chan struct{}, 10)
		server = httpio.NewServer(httpio.Options{
			Handler: func(ctx context.Context, _ *httpio.Request, w *httpio.Writer) {
				handling <- struct{}{}
				<-ctx.Done()
				status := 499
				if errors.Is(context.Cause(ctx), httpio.ErrAborted) {
					status = 502
				}
				_ = w.WriteResponse(status, nil, nil)
			},
			Limits: func() httpio.Limits {
				return httpio.Limits{HeaderBytes: 4096, BodyBytes: 4096, HeaderTimeout: timeout, BodyTimeout: timeout, IdleTimeout: timeout}
			},
			OnReject: func(_ net.Addr, _ int, reason httpio.RejectReason, _ *fasthttp.RequestHeader) httpio.Rejection {
				return httpio.Rejection{Status: map[httpio.RejectReason]int{httpio.TooSlow: 503}[reason]}
			},
		})
		var err error
		listener, err = net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() { _ = server.Serve(listener) }()
	})
	send := func(text string) net.Conn {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		Expect(conn.SetDeadline(time.Now().Add(timeout))).To(Succeed())
		_, err = io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
		return conn
	}
	expect := func(conn net.Conn, status int) {
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		ExpectWithOffset(1, r.StatusCode).To(Equal(status))
		ExpectWithOffset(1, r.Close).To(BeTrue())
		ExpectWithOffset(1, r.Body.Close()).To(Succeed())
		_ = conn.Close()
	}

	It("has each of them answered, whether it is handled, being read or comes later", func() {
		const header, body = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "body"
		idle := send("")
		handled := send(header + body)
		Eventually(handling, timeout).Should(Receive())
		inHeader, inBody := send(header[:20]), send(header+body[:2])
		Eventually(server.Busy, timeout).Should(Equal(3))
		server.Abort()
		expect(handled, 502)
		expect(inHeader, 503)
		expect(inBody, 503)
		_, err := io.WriteString(idle, header+body)
		Expect(err).NotTo(HaveOccurred())
		expect(idle, 502)
		expect(send(header+body), 502)
		Eventually(server.Busy, timeout).Should(BeZero())
	})

	It("tells a caller that left from its own end", func() {
		conn := send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(handling, timeout).Should(Receive())
		Expect(conn.Close()).To(Succeed())
		Eventually(server.Active, timeout).Should(BeZero())
		server.Abort()
	})
})
