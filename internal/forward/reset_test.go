package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/httpio"
)

// Load pattern: half of the connections to the endpoints are reset at once, while each carries
// a request. The endpoints go on serving the others.
var _ = Describe("While half of the connections are reset", func() {
	const streams, unsafeRequests = 12, 12
	const waitTimeout = 10 * time.Second

	type answer struct {
		status   int
		outcome  string
		body     string
		complete bool
	}

	// run starts the requests at two endpoints, resets half of the connections once all are in
	// progress, and returns the responses to the streams and to the requests that may not be
	// repeated.
	var dials atomic.Int64
	run := func() (fx *fixture, endpoints []*fakeEndpoint, reset int, streamed, unsafe []answer) {
		finish := make(chan struct{})
		script := func(r *http.Request, _ string, conn net.Conn) bool {
			switch {
			case r.Header.Get("Last-Event-Id") != "":
				return streamOf(true, "", 3)(r, "", conn)
			case r.URL.Path == "/resume/x":
				streamOf(false, "", 1, 2)(r, "", conn)
				<-finish
				_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(event(3)), event(3))
				return err == nil
			case r.URL.Path == "/unsafe/x":
				<-finish
			}
			return ok("done")(r, "", conn)
		}
		endpoints = []*fakeEndpoint{newEndpoint(script).behindRelay(), newEndpoint(script).behindRelay()}
		var netDialer net.Dialer
		fx = newFixtureWith(httpio.NewDialerWith(func(ctx context.Context, address, _ string) (net.Conn, error) {
			dials.Add(1)
			return netDialer.DialContext(ctx, "tcp4", address)
		}), spec(), endpoints...)
		received := func() int { return len(endpoints[0].received()) + len(endpoints[1].received()) }
		streamed, unsafe = make([]answer, streams), make([]answer, unsafeRequests)
		var calls sync.WaitGroup
		start := func(path, id string, to *answer) {
			calls.Go(func() {
				defer GinkgoRecover()
				r := fx.call(path, requestIDField, id, "Primrosewell-Deadline-Ms", "10000")
				Expect(r).NotTo(BeNil(), id)
				to.status, to.outcome = r.StatusCode, r.Header.Get("Primrosewell-Outcome")
				to.body, to.complete = readBody(r)
			})
		}
		for i := range streams {
			start("/resume/x", fmt.Sprint("stream-", i), &streamed[i])
			start("/unsafe/x", fmt.Sprint("unsafe-", i), &unsafe[i])
		}
		Eventually(received, waitTimeout).Should(Equal(streams + unsafeRequests))
		// A stream that resumes at an endpoint must not meet the reset of that endpoint, since the
		// route allows two attempts.
		var resets []func()
		for _, e := range endpoints {
			count, resetChosen := e.relay.ChooseShare(0.5)
			reset += count
			resets = append(resets, resetChosen)
		}
		for _, resetChosen := range resets {
			resetChosen()
		}
		// The resets have arrived once the streams among them have begun to resume.
		Eventually(received, waitTimeout).Should(BeNumerically(">", streams+unsafeRequests))
		close(finish)
		calls.Wait()
		return fx, endpoints, reset, streamed, unsafe
	}

	It("resumes streams, repeats nothing that may not be repeated, and keeps the endpoints in use", func() {
		fx, endpoints, reset, streamed, unsafe := run()
		Expect(reset).To(BeNumerically(">=", (streams+unsafeRequests)/2-1))
		for i, a := range streamed {
			Expect(a).To(Equal(answer{status: http.StatusOK, outcome: a.outcome, body: event(1) + event(2) + event(3), complete: true}), "stream %d", i)
		}
		ids := lo.FlatMap(endpoints, func(e *fakeEndpoint, _ int) []string {
			return lo.Map(e.received(), func(r *http.Request, _ int) string { return r.Header.Get(requestIDField) })
		})
		broken := 0
		for i, a := range unsafe {
			Expect(lo.Count(ids, fmt.Sprint("unsafe-", i))).To(Equal(1), "sent once")
			if a.status == http.StatusOK {
				Expect(a.body).To(Equal("done"))
				continue
			}
			broken++
			Expect(a.status).To(Equal(http.StatusBadGateway))
			Expect(a.body).To(ContainSubstring("unknown"))
		}
		Expect(broken).To(BeNumerically(">", 0))
		Eventually(func() int { return fx.pool.Stats(time.Now()).Ejected }, waitTimeout).Should(BeZero())

		Eventually(fx.forwarder.CrashProbePending, waitTimeout).Should(BeFalse()) // A probe opens a connection too.
		opened := dials.Load()
		for i := range 2 * (streams + unsafeRequests) {
			r := fx.call("/safe/x", requestIDField, fmt.Sprint("safe-", i))
			Expect(r.StatusCode).To(Equal(http.StatusOK))
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
		}
		Expect(dials.Load()).To(Equal(opened), "the connections that were left are used")
	})
})
