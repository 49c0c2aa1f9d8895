package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/directory"
)

// newEndpointServer starts the server of another endpoint, which counts its requests.
func newEndpointServer() (address string, requests *atomic.Int64) {
	requests = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		_, _ = io.WriteString(w, "other")
	}))
	DeferCleanup(server.Close)
	return server.Listener.Addr().String(), requests
}

func (s *standIns) putEndpointAt(id, address string, draining bool) {
	s.put("endpoints", id, map[string]any{"service": "svc", "address": address, "data_centre": "dc", "slots": 4, "draining": draining, "born": 1})
}

var _ = Describe("A platform that comes back from an older copy of its data", func() {
	var (
		s             *standIns
		p             ports
		leaver        *atomic.Int64
		leaverAddress string
		copied        time.Time
	)
	status := func(d *daemon, key string) func() int {
		return func() int {
			code, _ := d.get(p.callers, "/x/1", key)
			return code
		}
	}
	// changeAfterCopy makes the changes that the copy lacks: a key is revoked, one endpoint
	// registers and another drains. The platform's version advances far.
	changeAfterCopy := func() {
		s.putTable(6, "k")
		s.putEndpoint("e", false)
		s.putEndpointAt("leaver", leaverAddress, true)
		for i := range 50 {
			s.put("other", fmt.Sprint("filler", i), i)
		}
	}
	BeforeEach(func() {
		s, p = newStandIns(), freePorts()
		leaverAddress, leaver = newEndpointServer()
		s.putTable(5, "k", "revoked")
		s.putEndpointAt("leaver", leaverAddress, false)
		copied = time.Now()
	})
	restore := func() time.Time {
		s.standin.Restore(time.Since(copied))
		leaver.Store(0)
		return time.Now()
	}

	It("neither brings back a revoked key nor a leaving endpoint, and keeps those that registered since", func() {
		gateways := []*daemon{start(p, "127.0.0.1", s.url), start(p, "127.0.0.2", s.url, "127.0.0.1")}
		for _, d := range gateways {
			Eventually(status(d, "revoked"), eventualTimeout).Should(Equal(200))
		}
		changeAfterCopy()
		for _, d := range gateways {
			Eventually(status(d, "revoked"), eventualTimeout).Should(Equal(401))
			Eventually(func() string {
				_, body := d.get(p.callers, "/x/1", "k")
				return body
			}, eventualTimeout).Should(Equal("acme"), "served by the endpoint that registered")
		}
		restored := restore()
		for time.Since(restored) < directory.ReturnGrace/2 {
			for _, d := range gateways {
				Expect(status(d, "revoked")()).To(Equal(401))
				if code := status(d, "k")(); time.Since(restored) < directory.ReturnGrace {
					Expect(code).To(Equal(200))
				}
			}
		}
		Expect(leaver.Load()).To(BeZero())

		By("following changes whose versions are assigned again")
		s.putEndpoint("e", false)
		s.putEndpointAt("leaver", leaverAddress, true)
		s.putTable(7, "next")
		for _, d := range gateways {
			Eventually(status(d, "next"), eventualTimeout).Should(Equal(200))
			Expect(status(d, "k")()).To(Equal(401))
		}
		Expect(leaver.Load()).To(BeZero())
	})

	It("is followed by a gateway that is cut off from it, through its peers", func() {
		watching := start(p, "127.0.0.1", s.url)
		Eventually(status(watching, "k"), eventualTimeout).Should(Equal(200))
		cut := start(p, "127.0.0.2", "http://127.0.0.1:1", "127.0.0.1")
		changeAfterCopy()
		Eventually(status(cut, "revoked"), eventualTimeout).Should(Equal(401))
		Eventually(status(cut, "k"), eventualTimeout).Should(Equal(200))
		restore()
		s.putEndpoint("e", true)
		s.putEndpointAt("leaver", leaverAddress, true)
		laterAddress, later := newEndpointServer()
		s.putEndpointAt("later", laterAddress, false)
		Eventually(func() int64 {
			status(cut, "k")()
			return later.Load()
		}, eventualTimeout).Should(BeNumerically(">", 0), "an endpoint list of a lower version, but a later era")
		Expect(status(cut, "revoked")()).To(Equal(401))
	})

	It("is followed by gateways that start after it, once the configuration is written again", func() {
		running := start(p, "127.0.0.1", s.url)
		Eventually(status(running, "revoked"), eventualTimeout).Should(Equal(200))
		changeAfterCopy()
		Eventually(status(running, "revoked"), eventualTimeout).Should(Equal(401))
		restore()
		restarted := start(p, "127.0.0.2", s.url, "127.0.0.1")
		Eventually(status(restarted, "revoked"), eventualTimeout).Should(Equal(401), "a peer has the newer table")
		s.putTable(6, "k")
		s.putEndpoint("e", false)
		for _, d := range []*daemon{running, restarted} {
			Eventually(status(d, "k"), eventualTimeout).Should(Equal(200))
		}
	})
})
