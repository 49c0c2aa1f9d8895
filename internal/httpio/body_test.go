package httpio_test

import (
	"context"
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/httpio"
)

// stalledConn sends its response as soon as a request is being written. The write ends after
// the connection has been closed and endWrite is closed.
type stalledConn struct {
	net.Conn
	response                  io.Reader
	writing, closed, endWrite chan struct{}
}

func newStalledConn(response string) *stalledConn {
	return &stalledConn{
		response: strings.NewReader(response),
		writing:  make(chan struct{}, 2), closed: make(chan struct{}), endWrite: make(chan struct{}),
	}
}

func (c *stalledConn) Write([]byte) (int, error) {
	c.writing <- struct{}{}
	<-c.closed
	<-c.endWrite
	return 0, net.ErrClosed
}

func (c *stalledConn) Read(p []byte) (int, error) {
	<-c.writing
	c.writing <- struct{}{}
	return c.response.Read(p)
}

func (c *stalledConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

func (*stalledConn) SetDeadline(time.Time) error { return nil }

var _ = Describe("A long request body", func() {
	body := make([]byte, 1<<20)

	// The caller of Exchange may change the body once the exchange has ended.
	DescribeTable("is not read any more after the end of the exchange",
		func(response string) {
			conn := newStalledConn(response)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				r, err := httpio.NewConn(conn).Exchange(context.Background(), []byte("POST /x HTTP/1.1\r\n\r\n"), body, idField, "a")
				if err == nil {
					r.Release(httpio.NewDialer(), "")
				}
			}()
			Eventually(conn.closed).Should(BeClosed())
			Consistently(ended).ShouldNot(BeClosed())
			close(conn.endWrite)
			Eventually(ended).Should(BeClosed())
		},
		Entry("by an early response", answer("a", "", "")),
		Entry("by an error", "no response\r\n\r\n"),
	)
})
