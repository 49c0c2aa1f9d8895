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

// serve runs a stand-in on loopback until the spec ends.
func serve() (*platformstandin.Server, string) {
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

// replying answers every call with one status and body, and counts the calls.
func replying(status int, body string) (*platform.Client, *atomic.Int64) {
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
		server, url = serve()
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
		Expect(client.List(ctx, collection, "a/")).To(Equal(platform.List{Version: o.Version, Items: []platform.Object{o}}))
		Expect(client.Delete(ctx, collection, o.Name, o.Version)).To(Succeed())
		_, err = client.Get(ctx, collection, o.Name)
		Expect(platform.ReasonOf(err)).To(Equal(platform.NotFound))
	})

	It("tells exists from conflict", func() {
		o := create("a", "1")
		_, err := client.Create(ctx, object("a", "2"))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Exists))
		o.Version++
		_, err = client.Update(ctx, o)
		Expect(platform.ReasonOf(err)).To(Equal(platform.Conflict))
		Expect(platform.ReasonOf(client.Delete(ctx, collection, "a", o.Version))).To(Equal(platform.Conflict))
	})

	It("is denied with a wrong token", func() {
		_, err := platform.NewClient(platform.ClientOptions{BaseURL: url, Token: "other"}).Create(ctx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Denied))
	})

	It("is uncertain of a write whose reply is lost, and sends it once", func() {
		create("warm", "") // The lost reply comes on a kept connection, where a transport might resend.
		server.SetFaults(platformstandin.Faults{LoseReplies: 1})
		_, err := client.Create(ctx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Uncertain))
		Expect(server.Stats()["create"]).To(Equal(int64(2)))
		_, err = client.Get(ctx, collection, "a")
		Expect(err).NotTo(HaveOccurred())
	})

	It("is uncertain of a write that times out after sending, and the write lands late", func() {
		server.SetFaults(platformstandin.Faults{DelayMS: 200})
		hasty := platform.NewClient(platform.ClientOptions{BaseURL: url, Token: token, Timeout: 50 * time.Millisecond})
		_, err := hasty.Create(ctx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Uncertain))
		Eventually(func() error { _, err := client.Get(ctx, collection, "a"); return err }).WithTimeout(10 * time.Second).Should(Succeed())
	})

	It("is certain that nothing took effect when the platform refuses", func() {
		server.SetFaults(platformstandin.Faults{Outage: platformstandin.OutageRefuse})
		_, err := client.Create(ctx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Unavailable))
	})

	It("is certain that nothing took effect when no connection was made", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		gone := platform.NewClient(platform.ClientOptions{BaseURL: "http://" + l.Addr().String()})
		_, err = gone.Create(ctx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Unavailable))
		ended, cancel := context.WithCancel(ctx)
		cancel()
		_, err = client.Create(ended, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Unavailable))
	})

	It("is uncertain of a write during an outage that hangs, and not of a read", func() {
		server.SetFaults(platformstandin.Faults{Outage: platformstandin.OutageHang})
		hasty := platform.NewClient(platform.ClientOptions{BaseURL: url, Token: token, Timeout: 50 * time.Millisecond})
		_, err := hasty.Create(ctx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Uncertain))
		_, err = hasty.Get(ctx, collection, "a")
		Expect(platform.ReasonOf(err)).To(Equal(platform.Unavailable))
	})

	It("passes on when to come back from a rate limit", func() {
		server.SetFaults(platformstandin.Faults{WritesPerSecond: 0.5})
		create("a", "")
		_, err := client.Create(ctx, object("b", ""))
		var e *platform.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.Reason).To(Equal(platform.RateLimited))
		Expect(e.RetryAfter).To(BeNumerically(">", time.Second))
	})

	It("keeps to its own rate limit and fails at once where the wait exceeds the timeout", func() {
		slow := platform.NewClient(platform.ClientOptions{BaseURL: url, Token: token, WritesPerSecond: 0.01})
		_, err := slow.Create(ctx, object("a", ""))
		Expect(err).NotTo(HaveOccurred())
		_, err = slow.Create(ctx, object("b", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.RateLimited))
		Expect(server.Stats()["create"]).To(Equal(int64(1)))
	})

	DescribeTable("maps replies to reasons",
		func(status int, body string, write, read platform.Reason) {
			client, calls := replying(status, body)
			_, err := client.Create(ctx, object("a", ""))
			Expect(platform.ReasonOf(err)).To(Equal(write))
			_, err = client.Get(ctx, collection, "a")
			Expect(platform.ReasonOf(err)).To(Equal(read))
			Expect(calls.Load()).To(Equal(int64(2)))
		},
		Entry("a gateway's 502", http.StatusBadGateway, "", platform.Uncertain, platform.Unavailable),
		Entry("a 503 that states no reason", http.StatusServiceUnavailable, "<html>", platform.Uncertain, platform.Unavailable),
		Entry("a 503 of the platform's own", http.StatusServiceUnavailable, `{"reason":"unavailable"}`, platform.Unavailable, platform.Unavailable),
		Entry("a 500", http.StatusInternalServerError, `{"reason":"unavailable"}`, platform.Uncertain, platform.Unavailable),
		Entry("a redirect", http.StatusTemporaryRedirect, "", platform.Uncertain, platform.Unavailable),
		Entry("a 409 without a reason", http.StatusConflict, "", platform.Exists, platform.Reason("")),
		Entry("a malformed call", http.StatusUnprocessableEntity, "", platform.Invalid, platform.Invalid),
		Entry("a cut reply", http.StatusOK, `{"collection":"con`, platform.Uncertain, platform.Unavailable),
		Entry("a reply about another object", http.StatusOK, `{"collection":"config","name":"b","resourceVersion":1}`, platform.Uncertain, platform.Unavailable),
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
