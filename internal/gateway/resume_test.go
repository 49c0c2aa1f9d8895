package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// putVersioned registers an endpoint of one software version, each of whose events names it. A
// stream that is not resumed breaks off after its first event.
func (s *standIns) putVersioned(id, version string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Header.Get(names.LastEventID) != "" {
			_, _ = fmt.Fprintf(w, "id: 2\ndata: %s\n\n", version)
			return
		}
		_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", version)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}))
	DeferCleanup(server.Close)
	s.put("endpoints", id, map[string]any{
		"service": "svc", "address": server.Listener.Addr().String(), "data_centre": "dc", "slots": 4, "born": 1, "version": version,
	})
}

// stream requests a stream, from its start if last is empty, and returns its status and its first
// line of data.
func (f *fleet) stream(i int, id, last, resumes string) (status int, data string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprintf("http://%s:%d/x/1", f.daemons[i].ip, f.ports.callers), nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host, r.Close = "h", true
	r.Header.Set(names.APIKey, "k")
	r.Header.Set(names.RequestID, id)
	if last != "" {
		r.Header.Set(names.LastEventID, last)
		r.Header.Set(names.Resumes, resumes)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body) // A stream that breaks off is read as far as it goes.
	for line := range strings.Lines(string(body)) {
		if version, ok := strings.CutPrefix(line, "data: "); ok {
			return response.StatusCode, strings.TrimSpace(version)
		}
	}
	return response.StatusCode, ""
}

var _ = Describe("While endpoints of two software versions serve a fleet", func() {
	// The gateway that began the streams is lost; their callers come to the others.
	It("a stream that its caller resumes at another gateway goes on at the version that began it", func() {
		const streams = 12
		s := newStandIns()
		s.put("routes", "table", routetable.Spec{
			Version: 1, KeysRequired: true,
			Routes: []routetable.Route{{
				Name: "r", Host: "h", PathPrefix: "/x/", Kind: routetable.Streaming, Resumable: true, Timeout: time.Minute, MaxAttempts: 1,
				Backends: []routetable.Backend{{Service: "svc", Weight: 1}},
			}},
			Workspaces: []routetable.Workspace{{Name: "acme", Keys: []string{"k"}}},
		})
		for _, version := range []string{"v1", "v2"} {
			s.putVersioned(version+"-a", version)
			s.putVersioned(version+"-b", version)
		}
		f := newFleet(4, s.url)
		f.start()
		for i := range f.daemons {
			Eventually(func() int { status, _ := f.stream(i, fmt.Sprint("ready-", i), "", ""); return status }).WithTimeout(eventualTimeout).Should(Equal(200))
		}
		began := make(map[string]string)
		for i := range streams {
			id := fmt.Sprint("stream-", i)
			_, began[id] = f.stream(0, id, "", "")
			Expect(began[id]).NotTo(BeEmpty())
			// An announcement takes a moment, and may be lost; the first resumption at the last gateway
			// shows that it has arrived.
			Eventually(func() string { _, v := f.stream(3, id+"-0", "1", id); return v }).WithTimeout(eventualTimeout).Should(Equal(began[id]))
		}
		Expect(began).To(ContainElements("v1", "v2"))
		f.stop[0]()
		Eventually(f.done[0]).WithTimeout(eventualTimeout).Should(Receive())
		f.done[0] = nil
		for id, version := range began {
			for i := 1; i < len(f.daemons); i++ {
				status, resumedAt := f.stream(i, fmt.Sprint(id, "-", i), "1", id)
				Expect(status).To(Equal(200), "%s at gateway %d", id, i)
				Expect(resumedAt).To(Equal(version), "%s at gateway %d", id, i)
			}
		}
	})
})

var _ = Describe("After all gateways were killed at once", func() {
	var (
		s *standIns
		f *fleet
	)
	serve := func(versions ...string) {
		s = newStandIns()
		s.put("routes", "table", routetable.Spec{Version: 1, KeysRequired: true, Routes: []routetable.Route{{
			Name: "r", Host: "h", PathPrefix: "/x/", Kind: routetable.Streaming, Resumable: true, Timeout: time.Minute, MaxAttempts: 1,
			Backends: []routetable.Backend{{Service: "svc", Weight: 1}},
		}}, Workspaces: []routetable.Workspace{{Name: "acme", Keys: []string{"k"}}}})
		for _, version := range versions {
			s.putVersioned(version, version)
		}
		f = newFleet(3, s.url)
		f.start()
		for i := range f.daemons {
			Eventually(func() int { status, _ := f.stream(i, fmt.Sprint("ready-", i), "", ""); return status }).WithTimeout(eventualTimeout).Should(Equal(200))
		}
	}
	restart := func() {
		f.kill()
		f.start()
		for i := range f.daemons {
			Eventually(func() int { status, _ := f.stream(i, fmt.Sprint("again-", i), "", ""); return status }).WithTimeout(eventualTimeout).Should(Equal(200))
		}
	}

	It("no stream is joined from two versions if the one that began it has left meanwhile", func() {
		serve("v1")
		_, began := f.stream(0, "stream", "", "")
		Expect(began).To(Equal("v1"))
		s.putVersioned("v2", "v2")
		Eventually(func() string { _, v := f.stream(1, "probe", "", ""); return v }).WithTimeout(eventualTimeout).Should(Equal("v2"))
		time.Sleep(time.Second) // What is to outlive the gateways is written.
		old, err := s.store.Get(context.Background(), "endpoints", "v1")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.store.Delete(context.Background(), "endpoints", "v1", old.Version)).To(Succeed())
		restart()
		for i := range f.daemons {
			status, version := f.stream(i, fmt.Sprint("resumption-", i), "1", "stream")
			Expect(version).To(BeEmpty(), "began at v1")
			Expect(status).To(Equal(503))
		}
	})

	It("streams of a service that had one version all along go on", func() {
		serve("v1")
		_, began := f.stream(0, "stream", "", "")
		Expect(began).To(Equal("v1"))
		time.Sleep(time.Second)
		restart()
		for i := range f.daemons {
			Eventually(func() string { _, v := f.stream(i, fmt.Sprint("resumption-", i), "1", "stream"); return v }).WithTimeout(eventualTimeout).Should(Equal("v1"))
		}
	})
})
