package forward_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/drain"
)

// unanswered reads the request and does not answer until the connection ends.
func unanswered(_ *http.Request, _ string, conn net.Conn) bool {
	_, _ = io.Copy(io.Discard, conn)
	return false
}

var _ = Describe("A daemon that stops", func() {
	// ask sends a request whose answer comes after the server ends what is in progress.
	ask := func(fx *fixture, path string, inProgress func() bool) *http.Response {
		answered := make(chan *http.Response, 1)
		go func() {
			defer GinkgoRecover()
			answered <- fx.call(path)
		}()
		Eventually(inProgress, "20s", "2ms").Should(BeTrue())
		fx.server.Abort()
		var r *http.Response
		Eventually(answered, "20s").Should(Receive(&r))
		return r
	}

	DescribeTable("says of a request that an endpoint has that it may have run", func(path string) {
		endpoint := newEndpoint(unanswered)
		r := ask(newFixture(spec(), endpoint), path, func() bool { return len(endpoint.received()) == 1 })
		Expect(r.StatusCode).To(Equal(502))
		body, complete := readBody(r)
		Expect(body).To(ContainSubstring("unknown"))
		Expect(complete).To(BeTrue())
	},
		Entry("that may be repeated", "/safe/x"),
		Entry("that may not be repeated", "/unsafe/x"),
		Entry("for a stream that may be resumed", "/resume/x"),
	)

	It("says of a request that no endpoint has that it has not run", func() {
		fx := newFixture(spec(), newEndpoint(unanswered))
		fx.blocksKnown = make(chan struct{})
		r := ask(fx, "/unsafe/x", func() bool { return fx.server.Active() == 1 })
		Expect(r.StatusCode).To(Equal(503))
		Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("passes an endpoint's own failure on if another attempt is in progress", func() {
		var asked atomic.Int64
		either := func(r *http.Request, body string, conn net.Conn) bool {
			if asked.Add(1) == 1 {
				return reply(500, signatureField, "broken")(r, body, conn)
			}
			return unanswered(r, body, conn)
		}
		r := ask(newFixture(spec(), newEndpoint(either), newEndpoint(either)), "/safe/x", func() bool { return asked.Load() == 2 })
		body, _ := readBody(r)
		Expect(r.StatusCode).To(Equal(500))
		Expect(body).To(Equal("broken"))
	})

	It("does not let a stream that has begun look whole", func() {
		begun := make(chan struct{})
		fx := newFixture(spec(), newEndpoint(func(r *http.Request, body string, conn net.Conn) bool {
			streamOf(false, "", 1)(r, body, conn)
			close(begun)
			return unanswered(r, body, conn)
		}))
		r := fx.call("/resume/x")
		<-begun
		first := make([]byte, len(event(1)))
		_, err := io.ReadFull(r.Body, first)
		Expect(err).NotTo(HaveOccurred())
		fx.server.Abort()
		rest, complete := readBody(r)
		Expect(rest).To(BeEmpty())
		Expect(complete).To(BeFalse())
	})

	It("refuses what would not end in time, and says so before it is sent", func() {
		endpoint := newEndpoint(reply(200, signatureField, "done"))
		fx := newFixture(spec(), endpoint)
		fx.stop.Store(&drain.Stop{At: time.Now().Add(time.Second)})
		r := fx.call("/unsafe/x")
		Expect(r.StatusCode).To(Equal(503))
		Expect(endpoint.received()).To(BeEmpty())
		fx.stop.Store(nil)
		for range 10 {
			Expect(fx.call("/unsafe/x").StatusCode).To(Equal(200))
		}
		fx.stop.Store(&drain.Stop{At: time.Now().Add(20 * time.Second)})
		Expect(fx.call("/unsafe/x").StatusCode).To(Equal(200), "its requests are known to be short")
	})
})
