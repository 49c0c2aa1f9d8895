package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/platform"
	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

var _ = Describe("Watch", func() {
	var (
		ctx    context.Context
		server *platformstandin.Server
		url    string
		client *platform.Client
	)

	BeforeEach(func() {
		ctx = context.Background()
		server, url = startStandIn()
		client = platform.NewClient(platform.ClientOptions{BaseURL: url, Token: token, WatchIdleTimeout: time.Second})
	})

	openWatch := func(version int64) platform.Watch {
		w, err := client.Watch(ctx, collection, version)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(w.Close)
		return w
	}

	It("delivers changes in order between bookmarks, and stays open after a call of Next timed out", func() {
		w := openWatch(0)
		shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := w.Next(shortCtx)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		o, err := server.Store().Create(ctx, object("a", "1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Next(ctx)).To(Equal(platform.Event{Type: platform.Put, Era: 1, Object: o}))
		Expect(server.Store().Delete(ctx, collection, "a", o.Version)).To(Succeed())
		e, err := w.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Type).To(Equal(platform.Deleted))
		Expect(e.Object.Version).To(Equal(o.Version + 1))
	})

	It("returns TooOld for a version that was compacted away", func() {
		for range 25 {
			o, err := server.Store().Create(ctx, object("a", ""))
			Expect(err).NotTo(HaveOccurred())
			Expect(server.Store().Delete(ctx, collection, "a", o.Version)).To(Succeed())
		}
		_, err := client.Watch(ctx, collection, 1)
		Expect(platform.ReasonOf(err)).To(Equal(platform.TooOld))
	})

	It("ends when it is cut or closed, or when the platform stops sending", func() {
		w := openWatch(0)
		server.SetFaults(platformstandin.Faults{CutWatches: true})
		_, err := w.Next(ctx)
		Expect(platform.ReasonOf(err)).To(Equal(platform.WatchEnded))
		w = openWatch(0)
		server.SetFaults(platformstandin.Faults{Outage: platformstandin.OutageHang})
		_, err = w.Next(ctx)
		Expect(platform.ReasonOf(err)).To(Equal(platform.WatchEnded))
		server.SetFaults(platformstandin.Faults{})
		w = openWatch(0)
		w.Close()
		_, err = w.Next(ctx)
		Expect(platform.ReasonOf(err)).To(Equal(platform.WatchEnded))
	})

	It("continues after a gap injected through the stand-in's control API", func() {
		w := openWatch(0)
		body, err := json.Marshal(platformstandin.Faults{SkipEvents: 1})
		Expect(err).NotTo(HaveOccurred())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+platformstandin.FaultsPath, bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+token)
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		for _, name := range []string{"a", "b"} {
			_, err := server.Store().Create(ctx, object(name, ""))
			Expect(err).NotTo(HaveOccurred())
		}
		e, err := w.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Object.Name).To(Equal("b"))
	})

	It("skips repeated changes and ends at a line that does not decode", func() {
		line := `{"type":"put","object":{"collection":"config","name":"a","resourceVersion":3}}` + "\n"
		malformed, _ := clientWithResponse(http.StatusOK, line+line+"{\n")
		w, err := malformed.Watch(ctx, collection, 2)
		Expect(err).NotTo(HaveOccurred())
		e, err := w.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Object.Version).To(Equal(int64(3)))
		_, err = w.Next(ctx)
		Expect(platform.ReasonOf(err)).To(Equal(platform.WatchEnded))
	})
})
