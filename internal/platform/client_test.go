package platform_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/platform"
	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

const (
	collection = "config"
	token      = "secret"
)

func object(name, data string) platform.Object {
	return platform.Object{Collection: collection, Name: name, Data: []byte(data)}
}

// startStandIn runs a stand-in of the platform on loopback until the spec ends and returns its URL.
func startStandIn() (*platformstandin.Server, string) {
	server := platformstandin.New(platformstandin.Options{Token: token, History: 20, BookmarkInterval: 10 * time.Millisecond})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, l) }()
	DeferCleanup(func() {
		cancel()
		Expect(<-done).To(Succeed())
	})
	return server, "http://" + l.Addr().String()
}

// clientWithResponse returns a client whose calls all get the same status and body, and the number
// of calls so far.
func clientWithResponse(status int, body string) (*platform.Client, *atomic.Int64) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	DeferCleanup(server.Close)
	return platform.NewClient(platform.ClientOptions{BaseURL: server.URL}), &calls
}

var _ = Describe("Client", func() {
	var (
		ctx    context.Context
		server *platformstandin.Server
		url    string
		client *platform.Client
	)

	BeforeEach(func() {
		ctx = context.Background()
		server, url = startStandIn()
		client = platform.NewClient(platform.ClientOptions{BaseURL: url, Token: token})
	})

	create := func(name, data string) platform.Object {
		o, err := client.Create(ctx, object(name, data))
		Expect(err).NotTo(HaveOccurred())
		return o
	}

	It("creates, reads, updates, lists and deletes", func() {
		o := create("a/b?c", "1")
		Expect(client.Get(ctx, collection, "a/b?c")).To(Equal(o))
		o.Data = []byte("2")
		o, err := client.Update(ctx, o)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.List(ctx, collection, "a/")).To(Equal(platform.List{Era: 1, Version: o.Version, Items: []platform.Object{o}}))
		Expect(client.Delete(ctx, collection, o.Name, o.Version)).To(Succeed())
		_, err = client.Get(ctx, collection, o.Name)
		Expect(platform.ReasonOf(err)).To(Equal(platform.NotFound))
	})

	It("distinguishes Exists from Conflict", func() {
		o := create("a", "1")
		_, err := client.Create(ctx, object("a", "2"))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Exists))
		o.Version++
		_, err = client.Update(ctx, o)
		Expect(platform.ReasonOf(err)).To(Equal(platform.Conflict))
		Expect(platform.ReasonOf(client.Delete(ctx, collection, "a", o.Version))).To(Equal(platform.Conflict))
	})

	It("returns Denied for a wrong token", func() {
		_, err := platform.NewClient(platform.ClientOptions{BaseURL: url, Token: "other"}).Create(ctx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Denied))
	})

	It("returns Uncertain for a write whose response is lost, and sends it once", func() {
		create("warm", "") // The lost response is then on a reused connection, where a transport might resend.
		server.SetFaults(platformstandin.Faults{LoseReplies: 1})
		_, err := client.Create(ctx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Uncertain))
		Expect(server.Stats()["create"]).To(Equal(int64(2)))
		_, err = client.Get(ctx, collection, "a")
		Expect(err).NotTo(HaveOccurred())
	})

	It("returns Uncertain for a write that times out after it was sent and takes effect later", func() {
		server.SetFaults(platformstandin.Faults{DelayMS: 200})
		shortTimeout := platform.NewClient(platform.ClientOptions{BaseURL: url, Token: token, Timeout: 50 * time.Millisecond})
		_, err := shortTimeout.Create(ctx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Uncertain))
		Eventually(func() error { _, err := client.Get(ctx, collection, "a"); return err }).WithTimeout(10 * time.Second).Should(Succeed())
	})

	It("returns Unavailable when the platform refuses the call", func() {
		server.SetFaults(platformstandin.Faults{Outage: platformstandin.OutageRefuse})
		_, err := client.Create(ctx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Unavailable))
	})

	It("returns Unavailable when no connection was made", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		unreachable := platform.NewClient(platform.ClientOptions{BaseURL: "http://" + l.Addr().String()})
		_, err = unreachable.Create(ctx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Unavailable))
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, err = client.Create(cancelled, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Unavailable))
	})

	It("returns Uncertain for a write, but not for a read, while the platform hangs", func() {
		server.SetFaults(platformstandin.Faults{Outage: platformstandin.OutageHang})
		shortTimeout := platform.NewClient(platform.ClientOptions{BaseURL: url, Token: token, Timeout: 50 * time.Millisecond})
		_, err := shortTimeout.Create(ctx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Uncertain))
		_, err = shortTimeout.Get(ctx, collection, "a")
		Expect(platform.ReasonOf(err)).To(Equal(platform.Unavailable))
	})

	It("returns the retry-after delay of a rate limit", func() {
		server.SetFaults(platformstandin.Faults{WritesPerSecond: 0.5})
		create("a", "")
		_, err := client.Create(ctx, object("b", ""))
		var e *platform.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.Reason).To(Equal(platform.RateLimited))
		Expect(e.RetryAfter).To(BeNumerically(">", time.Second))
	})

	It("obeys its own rate limit and fails at once if the wait exceeds the timeout", func() {
		limited := platform.NewClient(platform.ClientOptions{BaseURL: url, Token: token, WritesPerSecond: 0.01})
		_, err := limited.Create(ctx, object("a", ""))
		Expect(err).NotTo(HaveOccurred())
		_, err = limited.Create(ctx, object("b", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.RateLimited))
		Expect(server.Stats()["create"]).To(Equal(int64(1)))
	})

	DescribeTable("maps responses to reasons",
		func(status int, body string, write, read platform.Reason) {
			client, calls := clientWithResponse(status, body)
			_, err := client.Create(ctx, object("a", ""))
			Expect(platform.ReasonOf(err)).To(Equal(write))
			_, err = client.Get(ctx, collection, "a")
			Expect(platform.ReasonOf(err)).To(Equal(read))
			Expect(calls.Load()).To(Equal(int64(2)))
		},
		Entry("a 502 from an intermediary", http.StatusBadGateway, "", platform.Uncertain, platform.Unavailable),
		Entry("a 503 that states no reason", http.StatusServiceUnavailable, "<html>", platform.Uncertain, platform.Unavailable),
		Entry("a 503 from the platform", http.StatusServiceUnavailable, `{"reason":"unavailable"}`, platform.Unavailable, platform.Unavailable),
		Entry("a 500", http.StatusInternalServerError, `{"reason":"unavailable"}`, platform.Uncertain, platform.Unavailable),
		Entry("a redirect", http.StatusTemporaryRedirect, "", platform.Uncertain, platform.Unavailable),
		Entry("a 409 without a reason", http.StatusConflict, "", platform.Exists, platform.Reason("")),
		Entry("a malformed call", http.StatusUnprocessableEntity, "", platform.Invalid, platform.Invalid),
		Entry("a truncated response", http.StatusOK, `{"collection":"con`, platform.Uncertain, platform.Unavailable),
		Entry("a response that holds another object", http.StatusOK, `{"collection":"config","name":"b","resourceVersion":1}`, platform.Uncertain, platform.Unavailable),
	)

	It("refuses an object over the size limit", func() {
		_, err := client.Create(ctx, object("a", string(make([]byte, platform.MaxObjectBytes+1))))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Invalid))
		_, err = client.Create(ctx, object("a", string(make([]byte, platform.MaxObjectBytes))))
		Expect(err).NotTo(HaveOccurred())
	})

	It("reads the lagging list of VMs", func() {
		vms := []platform.VM{{Name: "vm-1", Address: "127.0.0.1", DataCentre: "dc-1", Role: "entry", State: platform.VMLive}}
		server.SetVMs(vms, 0)
		Expect(client.VMs(ctx)).To(Equal(vms))
	})
})
