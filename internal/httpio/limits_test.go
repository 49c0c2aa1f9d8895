package httpio_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/httpio"
)

var _ = Describe("Limits that change while a connection is open", func() {
	const short, long = time.Second, 20 * time.Second
	var (
		limits atomic.Pointer[httpio.Limits]
		conn   net.Conn
		reader *bufio.Reader
	)
	lowLimits := httpio.Limits{HeaderBytes: 1024, BodyBytes: 1024, HeaderTimeout: long, BodyTimeout: long, IdleTimeout: long}
	send := func(text string) {
		_, err := io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
	}
	status := func() int {
		r, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, r.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Body.Close()).To(Succeed())
		return r.StatusCode
	}
	request := func(headerBytes, bodyBytes int) string {
		header := fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nPadding: ", bodyBytes)
		return header + strings.Repeat("x", headerBytes-len(header)-4) + "\r\n\r\n" + strings.Repeat("b", bodyBytes)
	}
	change := func(modify func(l *httpio.Limits)) {
		l := *limits.Load()
		modify(&l)
		limits.Store(&l)
	}
	BeforeEach(func() {
		limits.Store(&lowLimits)
		server := httpio.NewServer(httpio.Options{
			Handler: func(_ context.Context, r *httpio.Request, w *httpio.Writer) {
				Expect(w.WriteResponse(200, nil, r.Body)).To(Succeed())
			},
			Limits: func() httpio.Limits { return *limits.Load() },
			OnReject: func(_ net.Addr, status int, reason httpio.RejectReason, _ *fasthttp.RequestHeader) httpio.Rejection {
				return httpio.Rejection{Status: status, Body: []byte(reason)}
			},
		})
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() { _ = server.Serve(listener) }()
		conn, err = net.Dial("tcp4", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		Expect(conn.SetDeadline(time.Now().Add(2 * long))).To(Succeed())
		reader = bufio.NewReader(conn)
		send(request(200, 1))
		Expect(status()).To(Equal(200))
	})

	It("hold for the size of the next header, whether raised or lowered", func() {
		send(request(1024, 1))
		Expect(status()).To(Equal(200), "a header of exactly the limit")
		change(func(l *httpio.Limits) { l.HeaderBytes = 4096 })
		send(request(4096, 1))
		Expect(status()).To(Equal(200))
		change(func(l *httpio.Limits) { l.HeaderBytes = 16384 })
		send(request(200, 1000) + request(16384, 1000) + request(200, 1))
		for range 3 {
			Expect(status()).To(Equal(200), "pipelined requests")
		}
		change(func(l *httpio.Limits) { l.HeaderBytes = 2048 })
		send(request(2048, 1))
		Expect(status()).To(Equal(200))
		send(request(2049, 1))
		Expect(status()).To(Equal(431))
	})

	It("hold for the size of the next body, whether raised or lowered", func() {
		change(func(l *httpio.Limits) { l.BodyBytes = 8192 })
		send(request(200, 8192))
		Expect(status()).To(Equal(200))
		change(func(l *httpio.Limits) { l.BodyBytes = 512 })
		send(request(200, 513))
		Expect(status()).To(Equal(413))
	})

	It("hold for the time of the next header and body", func() {
		change(func(l *httpio.Limits) { l.HeaderTimeout, l.BodyTimeout = short, short })
		send(request(200, 1))
		Expect(status()).To(Equal(200))
		change(func(l *httpio.Limits) { l.HeaderTimeout, l.BodyTimeout = long, long })
		text := request(200, 10)
		for _, part := range []string{text[:50], text[50:205], text[205:]} {
			send(part)
			time.Sleep(short * 3 / 2)
		}
		Expect(status()).To(Equal(200))
	})

	// Guards against DENIED: kept connections went on with the limits of their beginning.
	It("deny no request that fits those before and after a change, also while it is read", func() {
		random := rand.New(rand.NewPCG(41, 1))
		address := conn.RemoteAddr().String()
		kept := make([]net.Conn, 4)
		for i := range kept {
			var err error
			kept[i], err = net.Dial("tcp4", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(kept[i].Close)
			Expect(kept[i].SetDeadline(time.Now().Add(2 * long))).To(Succeed())
		}
		readers := lo.Map(kept, func(c net.Conn, _ int) *bufio.Reader { return bufio.NewReader(c) })
		for step := range 300 {
			before := *limits.Load()
			after := before
			after.HeaderBytes, after.BodyBytes = 256+random.IntN(32<<10), 1+random.IntN(64<<10)
			i := random.IntN(len(kept))
			conn, reader = kept[i], readers[i]
			text := request(128+random.IntN(min(before.HeaderBytes, after.HeaderBytes)-127), 1+random.IntN(min(before.BodyBytes, after.BodyBytes)))
			cut := random.IntN(len(text))
			send(text[:cut])
			limits.Store(&after)
			send(text[cut:])
			Expect(status()).To(Equal(200), "step %d: from %+v to %+v", step, before, after)
		}
	})

	It("keep a connection that is idle when the idle timeout is raised", func() {
		change(func(l *httpio.Limits) { l.IdleTimeout = short })
		send(request(200, 1))
		Expect(status()).To(Equal(200))
		change(func(l *httpio.Limits) { l.IdleTimeout = long })
		time.Sleep(2 * short)
		send(request(200, 1))
		Expect(status()).To(Equal(200))
		change(func(l *httpio.Limits) { l.IdleTimeout = short })
		send(request(200, 1))
		Expect(status()).To(Equal(200))
		_, err := reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("keep a connection without a request that was opened before the idle timeout was raised", func() {
		change(func(l *httpio.Limits) { l.IdleTimeout = short })
		var err error
		conn, err = net.Dial("tcp4", conn.RemoteAddr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		reader = bufio.NewReader(conn)
		time.Sleep(short / 3)
		change(func(l *httpio.Limits) { l.IdleTimeout = long })
		time.Sleep(2 * short)
		send(request(200, 1))
		Expect(status()).To(Equal(200))
	})
})
