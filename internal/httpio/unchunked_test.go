package httpio_test

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/httpio"
)

// lingerConn records in order which writes and linger settings its connection gets. A kernel
// applies the last setting when it closes the connections of a process that has ended.
type lingerConn struct {
	*net.TCPConn
	mu     sync.Mutex
	linger int
	atEnd  []int
}

func (c *lingerConn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = seconds
	return c.TCPConn.SetLinger(seconds)
}

func (c *lingerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.atEnd = append(c.atEnd, c.linger)
	return c.TCPConn.Write(p)
}

type lingerListener struct {
	net.Listener
	accepted chan *lingerConn
}

func (l lingerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &lingerConn{TCPConn: conn.(*net.TCPConn), linger: -1}
	l.accepted <- c
	return c, nil
}

var _ = Describe("A stream to a caller that uses HTTP/1.0", func() {
	It("does not look whole if the process ends within it", func() {
		server := httpio.NewServer(httpio.Options{
			Handler: func(_ context.Context, _ *httpio.Request, w *httpio.Writer) {
				defer GinkgoRecover()
				Expect(streamAll(w, 200)).To(Succeed())
			},
			Limits: func() httpio.Limits {
				return httpio.Limits{HeaderBytes: 1024, BodyBytes: 2048, HeaderTimeout: time.Hour, BodyTimeout: time.Hour, IdleTimeout: time.Hour}
			},
			OnReject: func(_ net.Addr, status int, _ httpio.RejectReason, _ *fasthttp.RequestHeader) httpio.Rejection {
				return httpio.Rejection{Status: status}
			},
		})
		inner, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(inner.Close)
		listener := lingerListener{Listener: inner, accepted: make(chan *lingerConn, 1)}
		go func() { _ = server.Serve(listener) }()
		caller, err := net.Dial("tcp4", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		_, err = io.WriteString(caller, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		data, err := io.ReadAll(caller)
		Expect(err).NotTo(HaveOccurred(), "a finished stream ends in order")
		Expect(string(data)).To(HaveSuffix("firstsecond"))

		conn := <-listener.accepted
		conn.mu.Lock()
		defer conn.mu.Unlock()
		Expect(conn.atEnd).NotTo(BeEmpty())
		Expect(conn.atEnd).To(HaveEach(0), "the connection would be reset")
		Expect(conn.linger).To(Equal(-1), "once it is finished, the rest is still sent")
	})
})
