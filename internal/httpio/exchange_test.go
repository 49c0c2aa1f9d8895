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
	// endpoint accepts connections, counts them and hands each to serve.
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
	exchangeAs := func(d *httpio.Dialer, address, name string, body []byte) *httpio.Response {
		conn, err := d.Get(context.Background(), address, name, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		head := fmt.Appendf(nil, "POST /x HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", id, name, len(body))
		answer, err := conn.Exchange(head, body, id, name)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, answer.Body)
		Expect(err).NotTo(HaveOccurred())
		answer.Release(d, address)
		return answer
	}
	var sent atomic.Int32
	exchange := func(d *httpio.Dialer, address string, body []byte) *httpio.Response {
		return exchangeAs(d, address, fmt.Sprint(sent.Add(1)), body)
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

	It("uses a connection again after a clean exchange", func() {
		address, accepted := endpoint(serveAll(""))
		d := httpio.NewDialer()
		for range 3 {
			exchange(d, address, []byte("body"))
		}
		Expect(accepted.Load()).To(Equal(int32(1)))
	})

	It("does not, for an id that the connection has carried", func() {
		address, accepted := endpoint(serveAll(""))
		d := httpio.NewDialer()
		for _, name := range []string{"a", "b", "a", "b", "c"} {
			exchangeAs(d, address, name, nil)
		}
		Expect(accepted.Load()).To(Equal(int32(2)))
	})

	It("does not, after an answer that came before the whole body was sent", func() {
		done := make(chan struct{})
		DeferCleanup(func() { close(done) })
		address, accepted := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			if r, err := http.ReadRequest(reader); err == nil {
				reply(conn, r, "") // The rest of the body is left unread for now.
			}
			<-done
		})
		d := httpio.NewDialer()
		exchange(d, address, make([]byte, 64<<20))
		exchange(d, address, make([]byte, 64<<20))
		Expect(accepted.Load()).To(Equal(int32(2)), "the rest of a body must not be read as a next request")
	})

	DescribeTable("follows what the endpoint says of the connection",
		func(fields string, connections int32) {
			address, accepted := endpoint(serveAll(fields))
			d := httpio.NewDialer()
			exchange(d, address, nil)
			exchange(d, address, nil)
			Expect(accepted.Load()).To(Equal(connections))
		},
		Entry("it stays open", "Keep-Alive: timeout=5\r\n", int32(1)),
		Entry("it closes", "Connection: close\r\n", int32(2)),
		Entry("it stays open for less than a second", "Keep-Alive: timeout=0\r\n", int32(1)),
	)

	It("notices a connection that the endpoint closed while it was idle", func() {
		address, accepted := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			if r, err := http.ReadRequest(reader); err == nil {
				reply(conn, r, "")
			}
			_ = conn.Close()
		})
		d := httpio.NewDialer()
		exchange(d, address, nil)
		time.Sleep(50 * time.Millisecond) // The close crosses loopback.
		exchange(d, address, nil)
		Expect(accepted.Load()).To(Equal(int32(2)))
	})
})
