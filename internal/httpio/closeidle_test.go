package httpio_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/httpio"
)

// unreadConn is a connection whose first read returns only once its deadline has passed or it is closed, as if the
// reader had not been scheduled since bytes arrived.
type unreadConn struct {
	net.Conn
	ended chan struct{}
	once  sync.Once
}

func (c *unreadConn) Read(p []byte) (int, error) {
	select {
	case <-c.ended:
		return c.Conn.Read(p)
	default:
		<-c.ended
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *unreadConn) end() { c.once.Do(func() { close(c.ended) }) }

func (c *unreadConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		defer c.end()
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *unreadConn) Close() error {
	defer c.end()
	return c.Conn.Close()
}

type unreadListener struct {
	net.Listener
	accepted chan *unreadConn
}

func (l *unreadListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &unreadConn{Conn: conn, ended: make(chan struct{})}
	l.accepted <- c
	return c, nil
}

var _ = Describe("A server that closes its idle connections", func() {
	// Guards against a request that had arrived and was closed without a byte, because its connection still counted as idle.
	It("answers a request that has arrived, and closes the others", func() {
		const timeout = 20 * time.Second
		server := httpio.NewServer(httpio.Options{
			Handler: func(_ context.Context, _ *httpio.Request, w *httpio.Writer) { _ = w.WriteResponse(503, nil, nil) },
			Limits: func() httpio.Limits {
				return httpio.Limits{HeaderBytes: 4096, BodyBytes: 4096, HeaderTimeout: timeout, BodyTimeout: timeout, IdleTimeout: timeout}
			},
			OnReject: func(_ net.Addr, status int, _ httpio.RejectReason, _ *fasthttp.RequestHeader) httpio.Rejection {
				return httpio.Rejection{Status: status}
			},
		})
		inner, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := &unreadListener{inner, make(chan *unreadConn, 2)}
		DeferCleanup(listener.Close)
		go func() { _ = server.Serve(listener) }()
		open := func(text string) net.Conn {
			conn, err := net.Dial("tcp4", inner.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = conn.Close() })
			Expect(conn.SetDeadline(time.Now().Add(timeout))).To(Succeed())
			_, err = io.WriteString(conn, text)
			Expect(err).NotTo(HaveOccurred())
			return conn
		}
		idle, arrived := open(""), open("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		server.Drain()
		for range 2 {
			var c *unreadConn
			Eventually(listener.accepted, timeout).Should(Receive(&c))
			Eventually(func() <-chan struct{} {
				server.CloseIdle()
				return c.ended
			}, timeout).Should(BeClosed())
		}
		r, err := http.ReadResponse(bufio.NewReader(arrived), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(503))
		Expect(r.Body.Close()).To(Succeed())
		Expect(arrived.Close()).To(Succeed())
		rest, err := io.ReadAll(idle)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(BeEmpty())
		Eventually(server.Busy, timeout).Should(BeZero())
	})
})
