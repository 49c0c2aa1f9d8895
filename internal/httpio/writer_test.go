package httpio_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/httpio"
)

// received returns all bytes that a caller receives for a request line until its connection
// is closed.
func received(requestLine string, handler httpio.Handler) string {
	data, _ := receive(requestLine, handler) // An unfinished response may end with a reset.
	return data
}

func receive(requestLine string, handler httpio.Handler) (string, error) {
	server := httpio.NewServer(httpio.Options{
		Handler: handler,
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
	go func() { _ = server.Serve(listener) }()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err = io.WriteString(conn, requestLine+"\r\nHost: h\r\nConnection: close\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(conn)
	return string(data), err
}

func respond(w *httpio.Writer, status int) error { return w.WriteResponse(status, nil, []byte("body")) }

func streamAll(w *httpio.Writer, status int) error {
	return errors.Join(w.StartStream(status, nil, []byte("first")), w.WriteChunk([]byte("second")), w.Finish())
}

var _ = Describe("Writer", func() {
	writeResponse := func(w *httpio.Writer) error { return w.WriteResponse(502, nil, []byte("second")) }
	startStream := func(w *httpio.Writer) error { return w.StartStream(502, nil, []byte("second")) }
	writeChunk := func(w *httpio.Writer) error { return w.WriteChunk([]byte("second")) }
	finish := func(w *httpio.Writer) error { return w.Finish() }
	whole := func(w *httpio.Writer) error { return w.WriteResponse(200, nil, []byte("first")) }
	stream := func(w *httpio.Writer) error { return w.StartStream(200, nil, []byte("first")) }
	finished := func(w *httpio.Writer) error {
		if err := stream(w); err != nil {
			return err
		}
		return w.Finish()
	}
	nothing := func(*httpio.Writer) error { return nil }

	DescribeTable("sends nothing that does not belong to the response at this point",
		func(first, second func(*httpio.Writer) error, want error) {
			secondErr := make(chan error, 1)
			run := func(withSecond bool) string {
				return received("GET / HTTP/1.1", func(_ context.Context, _ *httpio.Request, w *httpio.Writer) {
					defer GinkgoRecover()
					Expect(first(w)).To(Succeed())
					if withSecond {
						secondErr <- second(w)
					}
				})
			}
			alone := run(false)
			Expect(run(true)).To(Equal(alone))
			Expect(<-secondErr).To(MatchError(want))
		},
		Entry("a response after a response", whole, writeResponse, httpio.ErrResponseStarted),
		Entry("a stream after a response", whole, startStream, httpio.ErrResponseStarted),
		Entry("a response within a stream", stream, writeResponse, httpio.ErrResponseStarted),
		Entry("a stream within a stream", stream, startStream, httpio.ErrResponseStarted),
		Entry("a response after a stream", finished, writeResponse, httpio.ErrResponseStarted),
		Entry("a chunk after a response", whole, writeChunk, httpio.ErrNoStream),
		Entry("a chunk after a stream", finished, writeChunk, httpio.ErrNoStream),
		Entry("a chunk before a response", nothing, writeChunk, httpio.ErrNoStream),
		Entry("the end of a stream after a response", whole, finish, httpio.ErrNoStream),
		Entry("the end of a stream after its end", finished, finish, httpio.ErrNoStream),
		Entry("the end of a stream before a response", nothing, finish, httpio.ErrNoStream),
	)

	DescribeTable("sends no bytes behind the header of a response that has no body",
		func(method string, status int, send func(*httpio.Writer, int) error) {
			data := received(method+" / HTTP/1.1", func(_ context.Context, _ *httpio.Request, w *httpio.Writer) {
				defer GinkgoRecover()
				Expect(send(w, status)).To(Succeed())
			})
			Expect(data).To(HavePrefix(fmt.Sprintf("HTTP/1.1 %d ", status)))
			_, body, _ := strings.Cut(data, "\r\n\r\n")
			Expect(body).To(BeEmpty())
		},
		Entry("a stream in response to HEAD", "HEAD", 200, streamAll),
		Entry("a stream with status 204", "GET", 204, streamAll),
		Entry("a stream with status 304", "GET", 304, streamAll),
		Entry("a response with status 204", "GET", 204, respond),
		Entry("a response with status 304", "GET", 304, respond),
	)
})

var _ = Describe("A stream to an HTTP/1.0 caller", func() {
	It("has no chunks, which that version does not know, and ends with the connection", func() {
		data := received("GET / HTTP/1.0", func(_ context.Context, _ *httpio.Request, w *httpio.Writer) {
			defer GinkgoRecover()
			Expect(streamAll(w, 200)).To(Succeed())
		})
		header, body, _ := strings.Cut(data, "\r\n\r\n")
		Expect(header).To(ContainSubstring("Connection: close"))
		Expect(header).NotTo(ContainSubstring("chunked"))
		Expect(body).To(Equal("firstsecond"))
	})

	It("ends with a reset if it is not finished", func() {
		_, err := receive("GET / HTTP/1.0", func(_ context.Context, _ *httpio.Request, w *httpio.Writer) {
			defer GinkgoRecover()
			Expect(w.StartStream(200, nil, []byte("first"))).To(Succeed())
		})
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})
})
