package httpio_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/httpio"
)

var _ = Describe("Exchange", func() {
	const id = "Id"
	var sent atomic.Int32
	// endpoint starts a listener that counts its connections and passes each to serve.
	endpoint := func(serve func(conn net.Conn, reader *bufio.Reader)) (address string, accepted *atomic.Int32) {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		accepted = new(atomic.Int32)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				accepted.Add(1)
				go serve(conn, bufio.NewReader(conn))
			}
		}()
		return listener.Addr().String(), accepted
	}
	// start sends a request on a connection of d and reads the header of its response.
	start := func(ctx context.Context, d *httpio.Dialer, address, method, name string, body []byte) (*httpio.Response, error) {
		conn, err := d.Get(context.Background(), address, name, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		head := fmt.Appendf(nil, "%s /x HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", method, id, name, len(body))
		return conn.Exchange(ctx, head, body, id, name)
	}
	exchangeWithID := func(d *httpio.Dialer, address, name string, body []byte) *httpio.Response {
		response, err := start(context.Background(), d, address, "POST", name, body)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
		response.Release(d, address)
		return response
	}
	exchange := func(d *httpio.Dialer, address string, body []byte) *httpio.Response {
		return exchangeWithID(d, address, fmt.Sprint(sent.Add(1)), body)
	}
	reply := func(conn net.Conn, r *http.Request, fields string) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: 2\r\n\r\nok", id, r.Header.Get(id), fields)
	}
	serveAll := func(fields string) func(net.Conn, *bufio.Reader) {
		return func(conn net.Conn, reader *bufio.Reader) {
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				reply(conn, r, fields)
			}
		}
	}

	It("reuses a connection after a clean exchange", func() {
		address, accepted := endpoint(serveAll(""))
		d := httpio.NewDialer()
		for range 3 {
			exchange(d, address, []byte("body"))
		}
		Expect(accepted.Load()).To(Equal(int32(1)))
	})

	It("does not reuse a connection for a request id that was sent on it before", func() {
		address, accepted := endpoint(serveAll(""))
		d := httpio.NewDialer()
		for _, name := range []string{"a", "b", "a", "b", "c"} {
			exchangeWithID(d, address, name, nil)
		}
		Expect(accepted.Load()).To(Equal(int32(2)))
	})

	It("does not reuse a connection for a request id that was sent on it long before", func() {
		address, accepted := endpoint(serveAll(""))
		d := httpio.NewDialer()
		exchangeWithID(d, address, "a", nil)
		for range 100 {
			exchange(d, address, nil)
		}
		Expect(accepted.Load()).To(Equal(int32(1)))
		exchangeWithID(d, address, "a", nil)
		Expect(accepted.Load()).To(Equal(int32(2)))
	})

	It("bounds the number of requests on a connection, which remembers all their ids", func() {
		address, accepted := endpoint(serveAll(""))
		d := httpio.NewDialer()
		for range 1024 {
			exchange(d, address, nil)
		}
		Expect(accepted.Load()).To(Equal(int32(1)))
		exchange(d, address, nil)
		Expect(accepted.Load()).To(Equal(int32(2)))
	})

	It("does not reuse a connection after a response that preceded the end of the request body", func() {
		done := make(chan struct{})
		DeferCleanup(func() { close(done) })
		address, accepted := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			if r, err := http.ReadRequest(reader); err == nil {
				reply(conn, r, "") // The rest of the body stays unread until the test ends.
			}
			<-done
		})
		d := httpio.NewDialer()
		exchange(d, address, make([]byte, 64<<20))
		exchange(d, address, make([]byte, 64<<20))
		Expect(accepted.Load()).To(Equal(int32(2)), "the rest of a body must not be read as another request")
	})

	It("is not disturbed by the cancellation of the exchange before it on the connection", func() {
		address, accepted := endpoint(serveAll(""))
		d := httpio.NewDialer()
		for range 1000 {
			ctx, cancel := context.WithCancel(context.Background())
			response, err := start(ctx, d, address, "POST", fmt.Sprint(sent.Add(1)), nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, response.Body)
			Expect(err).NotTo(HaveOccurred())
			cancel()
			response.Release(d, address)
		}
		Expect(accepted.Load()).To(Equal(int32(1)), "the response was complete, so the connection is reused")
	})

	DescribeTable("observes the Connection and Keep-Alive fields of the response",
		func(fields string, connections int32) {
			address, accepted := endpoint(serveAll(fields))
			d := httpio.NewDialer()
			exchange(d, address, nil)
			exchange(d, address, nil)
			Expect(accepted.Load()).To(Equal(connections))
		},
		Entry("keep-alive", "Keep-Alive: timeout=5\r\n", int32(1)),
		Entry("close", "Connection: close\r\n", int32(2)),
		Entry("keep-alive of less than a second", "Keep-Alive: timeout=0\r\n", int32(1)),
	)

	DescribeTable("limits how long an endpoint may have an idle connection kept",
		func(timeout string, want time.Duration) {
			address, _ := endpoint(serveAll("Keep-Alive: timeout=" + timeout + "\r\n"))
			Expect(exchange(httpio.NewDialer(), address, nil).KeepAliveTimeout()).To(Equal(want))
		},
		Entry("as stated", "5", 5*time.Second),
		Entry("a century", "3155760000", 2*time.Minute),
		Entry("more than a duration holds", "99999999999999", 2*time.Minute),
	)

	It("detects that the endpoint closed an idle connection", func() {
		address, accepted := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			if r, err := http.ReadRequest(reader); err == nil {
				reply(conn, r, "")
			}
			_ = conn.Close()
		})
		d := httpio.NewDialer()
		exchange(d, address, nil)
		time.Sleep(50 * time.Millisecond) // Lets the close arrive over loopback.
		exchange(d, address, nil)
		Expect(accepted.Load()).To(Equal(int32(2)))
	})
})
