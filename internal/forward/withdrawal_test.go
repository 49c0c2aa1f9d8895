package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/internal/httpio"
)

// leavingField is the field of an endpoint that says that it leaves.
var leavingField = headers.Default().Leaving + ": 1\r\n"

// callUntilReceived sends requests until the endpoint has got one.
func (fx *fixture) callUntilReceived(e *fakeEndpoint, path string) {
	for i := 0; len(e.received()) == 0; i++ {
		Expect(i).To(BeNumerically("<", 1000))
		if r := fx.call(path, requestIDField, fmt.Sprint("first-", i)); r != nil {
			_, _ = readBody(r)
		}
	}
}

var _ = Describe("An endpoint that says that it leaves", func() {
	const later = 24

	DescribeTable("gets no request after its answer, whatever the list says",
		func(path string, answer script) {
			leaving, other := newEndpoint(answer), newEndpoint(ok("fine"))
			fx := newFixture(spec(), leaving, other)
			fx.callUntilReceived(leaving, path)
			for i := range later {
				fx.relist()
				Expect(fx.call("/safe/x", requestIDField, fmt.Sprint("later-", i)).StatusCode).To(Equal(http.StatusOK))
			}
			Expect(leaving.received()).To(HaveLen(1))
			Eventually(leaving.closedConns).Should(Equal(leaving.acceptedConns()), "its idle connections are closed")
		},
		Entry("in a success", "/safe/x", reply(200, signatureField+leavingField, "fine")),
		Entry("in a failure", "/safe/x", reply(500, signatureField+leavingField, "broken")),
		Entry("in a refusal", "/safe/x", reply(503, "Primrosewell-Not-Run: 1\r\n"+leavingField, "")),
		Entry("in the header of a stream that breaks off", "/stream/x", script(func(r *http.Request, _ string, conn net.Conn) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", requestIDField, r.Header.Get(requestIDField), signatureField, leavingField)
			return false
		})),
	)

	It("is not one whose answers say that it stays", func() {
		e := newEndpoint(reply(200, signatureField+headers.Default().Leaving+": 0\r\n", "fine"))
		fx := newFixture(spec(), e)
		for range 2 {
			Expect(fx.call("/safe/x").StatusCode).To(Equal(http.StatusOK))
		}
	})

	It("does not pass that on to callers", func() {
		r := newFixture(spec(), newEndpoint(reply(200, signatureField+leavingField, "fine"))).call("/safe/x")
		Expect(r.Header).NotTo(HaveKey(headers.Default().Leaving))
	})

	It("completes what it runs, and gets nothing else, while many requests are in progress", func() {
		const inFlight = 64
		release := make(chan struct{})
		slow := func(r *http.Request, _ string, conn net.Conn) bool {
			if r.URL.Path == "/safe/first" {
				return reply(200, signatureField+leavingField, "fine")(r, "", conn)
			}
			<-release
			return reply(200, signatureField+leavingField, "fine")(r, "", conn)
		}
		leaving := newEndpoint(slow)
		fx := newFixture(spec(), leaving)
		var calls sync.WaitGroup
		statuses := make([]int, inFlight)
		for i := range inFlight {
			calls.Go(func() {
				defer GinkgoRecover()
				r := fx.call("/safe/x", requestIDField, fmt.Sprint("id-", i), "Primrosewell-Deadline-Ms", "20000")
				Expect(r).NotTo(BeNil())
				statuses[i] = r.StatusCode
			})
		}
		received := func() int { return len(leaving.received()) }
		Eventually(received, 10*time.Second).Should(Equal(inFlight))
		Expect(fx.call("/safe/first", requestIDField, "first").StatusCode).To(Equal(http.StatusOK))
		for i := range later {
			r := fx.call("/unsafe/x", requestIDField, fmt.Sprint("later-", i))
			Expect(r.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(received()).To(Equal(inFlight + 1))
		close(release)
		calls.Wait()
		Expect(statuses).To(HaveEach(http.StatusOK))
	})

	DescribeTable("gets no request whose connection was being opened when it said so",
		func(firstResponse script, status int) {
			connected, sayIt, goOn := make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
			dials := 0
			dialer := httpio.NewDialerWith(func(ctx context.Context, address, _ string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, "tcp4", address)
				if dials++; dials == 2 { // The second request has chosen the endpoint.
					connected <- struct{}{}
					<-goOn
				}
				return conn, err
			})
			e := newEndpoint(func(r *http.Request, _ string, conn net.Conn) bool {
				<-sayIt
				return firstResponse(r, "", conn)
			})
			fx := newFixtureWith(dialer, spec(), e)
			first, second := make(chan *http.Response, 1), make(chan *http.Response, 1)
			go func() { first <- fx.call("/unsafe/x", requestIDField, "first") }()
			Eventually(e.received, 5*time.Second).Should(HaveLen(1))
			go func() { second <- fx.call("/unsafe/x", requestIDField, "second") }()
			Eventually(connected, 5*time.Second).Should(Receive())
			close(sayIt)
			Eventually(first, 5*time.Second).Should(Receive(HaveField("StatusCode", status)))
			close(goOn)
			Eventually(second, 5*time.Second).Should(Receive(HaveField("StatusCode", http.StatusServiceUnavailable)))
			Expect(e.received()).To(HaveLen(1))
		},
		Entry("in a success", reply(200, signatureField+leavingField, "fine"), 200),
		Entry("in a failure", reply(500, signatureField+leavingField, "failed"), 500),
		Entry("in a refusal with a time to come back", reply(503, "Primrosewell-Not-Run: 1\r\nRetry-After: 5\r\n", ""), 503),
	)

	It("does not continue streams, nor do its callers resume them there", func() {
		s := spec()
		s.Routes[3].MaxAttempts = 1
		leaving := versioned("v1", 1)[0]
		breaking := leaving.scripts[0]
		leaving.scripts = []script{func(r *http.Request, body string, conn net.Conn) bool {
			if r.URL.Path == "/safe/x" {
				return reply(200, signatureField+leavingField, "fine")(r, body, conn)
			}
			return breaking(r, body, conn)
		}}
		fx := newFixture(s, append(versioned("v2", 1), leaving)...)
		for i := 0; len(leaving.received()) == 0; i++ {
			_, _ = readBody(fx.call("/resume/x", requestIDField, fmt.Sprint("id-", i)))
		}
		began := leaving.received()[0].Header.Get(requestIDField)
		for i := 0; len(leaving.received()) < 2; i++ {
			_, _ = readBody(fx.call("/safe/x", requestIDField, fmt.Sprint("safe-", i)))
		}
		r := fx.call("/resume/x", requestIDField, "again", "Last-Event-Id", "1", headers.Default().Resumes, began)
		Expect(r.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(leaving.received()).To(HaveLen(2))
	})

	It("is used at once as another process at the same address", func() {
		e := newEndpoint(reply(200, signatureField+leavingField, "fine"), ok("fine"))
		fx := newFixture(spec(), e)
		Expect(fx.call("/safe/x").StatusCode).To(Equal(http.StatusOK))
		Expect(fx.call("/safe/x").StatusCode).To(Equal(http.StatusServiceUnavailable))
		fx.listed[0].ID = "another"
		fx.relist()
		Expect(fx.call("/safe/x").StatusCode).To(Equal(http.StatusOK))
	})
})

// refuseFor refuses a request and asks for no others for a time, given as a Retry-After field.
func refuseFor(retryAfter string) script {
	return reply(503, "Primrosewell-Not-Run: 1\r\nRetry-After: "+retryAfter+"\r\n", "")
}

var _ = Describe("An endpoint that refuses with a time to come back", func() {
	const later = 24

	It("gets no request before, and is used again after", func() {
		quiet, other := newEndpoint(refuseFor("1.5"), ok("back")), newEndpoint(ok("fine"))
		fx := newFixture(spec(), quiet, other)
		fx.callUntilReceived(quiet, "/safe/x")
		for i := range later {
			fx.relist()
			Expect(fx.call("/safe/x", requestIDField, fmt.Sprint("later-", i)).StatusCode).To(Equal(http.StatusOK))
		}
		Expect(quiet.received()).To(HaveLen(1))
		Expect(fx.pool.Stats(time.Now()).Ejected).To(BeZero(), "it has no fault")
		Eventually(func() int {
			fx.call("/safe/x", requestIDField, strconv.FormatInt(time.Now().UnixNano(), 10))
			return len(quiet.received())
		}, 10*time.Second).Should(BeNumerically(">", 1))
	})

	It("has its time stated to callers while all endpoints do so", func() {
		endpoints := []*fakeEndpoint{newEndpoint(refuseFor("30")), newEndpoint(refuseFor("20"))}
		fx := newFixture(spec(), endpoints...)
		for i := range later {
			r := fx.call("/unsafe/x", requestIDField, fmt.Sprint("id-", i))
			Expect(r.StatusCode).To(Equal(http.StatusServiceUnavailable))
			delay, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(delay).To(And(BeNumerically(">", 10), BeNumerically("<=", 21)), "the first is back after 20 s, and callers are spread")
		}
		Expect(len(endpoints[0].received()) + len(endpoints[1].received())).To(Equal(2))
	})

	DescribeTable("is left alone as its field says",
		func(retryAfter string, left bool) {
			quiet, other := newEndpoint(refuseFor(retryAfter)), newEndpoint(ok("fine"))
			fx := newFixture(spec(), quiet, other)
			fx.callUntilReceived(quiet, "/safe/x")
			Expect(fx.pool.Stats(time.Now()).InBackoff == 1).To(Equal(left))
		},
		Entry("whole seconds", "3", true), Entry("a fraction", "1.5", true), Entry("an hour", "3600", true),
		Entry("more than a duration holds", "1e300", true),
		Entry("zero", "0", false), Entry("negative", "-5", false), Entry("no number", "soon", false), Entry("NaN", "NaN", false),
		Entry("a date in a response without its own", "Fri, 04 Dec 2099 09:00:00 GMT", false),
		Entry("a date after that of the response", "Fri, 04 Dec 2099 09:00:30 GMT\r\nDate: Fri, 04 Dec 2099 09:00:00 GMT", true),
		Entry("a date before that of the response", "Fri, 04 Dec 2099 09:00:00 GMT\r\nDate: Fri, 04 Dec 2099 09:00:30 GMT", false),
	)
})
