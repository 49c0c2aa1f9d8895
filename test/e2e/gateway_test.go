package e2e_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/standin/opaque"
	"github.com/primrosewell/primrosewell/internal/testport"
)

// gatewayProcess is one gateway of a fleet.
type gatewayProcess struct {
	*process
	ip, file, settings string
	// striking is held while a fault strikes the process.
	striking sync.Mutex
}

// gatewayFleet is gateways before a stand-in platform and two endpoints.
type gatewayFleet struct {
	store           platform.Store
	platform        *process
	platformAddress string
	// grace is the gateways' time to shut down.
	grace    string
	ports    [4]int
	gateways []*gatewayProcess
}

var gatewayNames = headers.Default()

// probeID begins the ids of the requests that get sends.
const probeID = "probe-"

var probes atomic.Int64

// newGatewayFleet starts a stand-in platform and chooses ports.
func newGatewayFleet(grace string) *gatewayFleet {
	f := &gatewayFleet{grace: grace}
	f.platform, f.platformAddress = standin("platform", "-token", platformToken)
	f.store = platform.NewClient(platform.ClientOptions{BaseURL: "http://" + f.platformAddress, Token: platformToken})
	ports, err := testport.Free(len(f.ports))
	Expect(err).NotTo(HaveOccurred())
	copy(f.ports[:], ports)
	return f
}

func startGateways(n int) *gatewayFleet {
	f := newGatewayFleet("20s")
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	for _, id := range []string{"a", "b"} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = opaque.Endpoint{ID: id, Names: gatewayNames}.Serve(ctx, l) }()
		f.put("endpoints", id, map[string]any{"service": "svc", "address": l.Addr().String(), "data_centre": "dc-1", "slots": 8, "born": 1})
	}
	f.putTable(1, "key")
	for i := range n {
		f.add(fmt.Sprintf("127.0.0.%d", i+1), "http://"+f.platformAddress)
	}
	return f
}

func (f *gatewayFleet) put(collection, name string, content any) {
	GinkgoHelper()
	Expect(f.tryPut(collection, name, content)).To(Succeed())
}

// tryPut creates or replaces an object.
func (f *gatewayFleet) tryPut(collection, name string, content any) error {
	data, err := json.Marshal(content)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	o := platform.Object{Collection: collection, Name: name, Data: data}
	old, err := f.store.Get(ctx, collection, name)
	var failed *platform.Error
	switch {
	case err == nil:
		o.Version = old.Version
		_, err = f.store.Update(ctx, o)
	case errors.As(err, &failed) && failed.Reason == platform.NotFound:
		_, err = f.store.Create(ctx, o)
	}
	return err
}

func (f *gatewayFleet) putTable(version int64, key string) {
	f.put("routes", "table", routetable.Spec{
		Version: version, KeysRequired: true,
		Routes: []routetable.Route{{
			Name: "r", Host: "h", PathPrefix: "/x/", Kind: routetable.Streaming, Timeout: 20 * time.Second, MaxAttempts: 1,
			Backends: []routetable.Backend{{Service: "svc", Weight: 1}},
		}},
		Workspaces: []routetable.Workspace{{Name: "acme", Keys: []string{key}}},
	})
}

// add starts a gateway and waits until it serves the route /x/.
func (f *gatewayFleet) add(ip, platformURL string) {
	g := f.start(ip, platformURL)
	Eventually(func() int { return f.get(g, "/x/1", "key").status }, startTimeout).Should(Equal(200))
}

func (f *gatewayFleet) start(ip, platformURL string) *gatewayProcess {
	g := &gatewayProcess{ip: ip, file: filepath.Join(GinkgoT().TempDir(), "gateway.json")}
	g.settings = fmt.Sprintf(`{"vm":{"id":%q,"data_centre":"dc-1","memory_mb":144},"callers":{"listen":"%s:%d"},"readiness":{"listen":"%s:%d"},
"peers":{"address":%q,"gossip_port":%d,"fetch_port":%d,"seeds":["127.0.0.1"]},"platform":{"url":%q,"token":%q},"drain":{"grace":%q}}`,
		"vm-"+ip, ip, f.ports[0], ip, f.ports[1], ip, f.ports[2], f.ports[3], platformURL, platformToken, f.grace)
	Expect(os.WriteFile(g.file, []byte(g.settings), 0o600)).To(Succeed())
	g.process = launch("gateway", "-settings", g.file)
	f.gateways = append(f.gateways, g)
	return g
}

type gatewayAnswer struct {
	status int
	body   string
	// whole is true if the answer ended as it should.
	whole bool
}

func (f *gatewayFleet) get(g *gatewayProcess, path, key string) gatewayAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", g.ip, f.ports[0], path), nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set(gatewayNames.APIKey, key)
	r.Header.Set(gatewayNames.RequestID, fmt.Sprint(probeID, probes.Add(1)))
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return gatewayAnswer{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return gatewayAnswer{status: response.StatusCode, body: string(body), whole: err == nil}
}

const streamEvents = 5

var _ = Describe("Gateways as processes", func() {
	It("keep their promises through a kill, a freeze and a drain under load", func() {
		f := startGateways(3)
		var mu sync.Mutex
		answers := make(map[*gatewayProcess][]gatewayAnswer)
		ctx, stop := context.WithCancel(context.Background())
		var callers sync.WaitGroup
		for _, g := range f.gateways {
			for range 4 {
				callers.Add(1)
				go func() {
					defer callers.Done()
					for ctx.Err() == nil {
						a := f.get(g, "/x/stream", "key")
						mu.Lock()
						answers[g] = append(answers[g], a)
						mu.Unlock()
						if a.status == 0 {
							time.Sleep(50 * time.Millisecond)
						}
					}
				}()
			}
		}
		killed, frozen, drained := f.gateways[0], f.gateways[1], f.gateways[2]
		time.Sleep(time.Second)
		killed.signal(syscall.SIGKILL)
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		frozen.signal(syscall.SIGCONT)
		drained.signal(syscall.SIGTERM)
		Eventually(drained.session, startTimeout).Should(gexec.Exit(0))
		Eventually(frozen.log, startTimeout).Should(gbytes.Say("event=woke"))
		stop()
		callers.Wait()
		for g, all := range answers {
			for _, a := range all {
				if a.whole && a.status == 200 {
					Expect(strings.Count(a.body, "id: ")).To(Equal(streamEvents), "a short answer must not look whole")
				}
				if g != killed && a.status == 200 {
					Expect(a.whole).To(BeTrue(), g.ip+" cut an answer: "+a.body)
				}
			}
		}
		Expect(f.get(frozen, "/x/1", "key").status).To(Equal(200))
	})

	It("read their settings again, and keep those in force when the file is wrong", func() {
		f := startGateways(1)
		g := f.gateways[0]
		Expect(os.WriteFile(g.file, []byte(`{"vm":`), 0o600)).To(Succeed())
		g.signal(syscall.SIGHUP)
		Eventually(g.log, startTimeout).Should(gbytes.Say("event=reload_failed"))
		Expect(f.get(g, "/x/1", "key").status).To(Equal(200))
		changed := strings.Replace(g.settings, `"drain"`, `"retries":{"ratio":0.1},"drain"`, 1)
		Expect(os.WriteFile(g.file, []byte(changed), 0o600)).To(Succeed())
		Eventually(g.log, startTimeout).Should(gbytes.Say("event=reload .*retry_ratio=0.1"))
	})

	It("read their settings before they drain, as the file may have changed without a signal", func() {
		f := startGateways(1)
		g := f.gateways[0]
		changed := strings.Replace(g.settings, fmt.Sprintf(`"grace":%q`, f.grace), `"grace":"17s"`, 1)
		Expect(os.WriteFile(g.file, []byte(changed), 0o600)).To(Succeed())
		g.signal(syscall.SIGTERM)
		Eventually(g.log, startTimeout).Should(gbytes.Say("event=drain .*grace=17s"))
		Eventually(g.session, startTimeout).Should(gexec.Exit(0))
	})

	It("apply a configuration on every gateway, also after one was killed and came back", func() {
		f := startGateways(2)
		f.gateways[1].signal(syscall.SIGKILL)
		Eventually(f.gateways[1].session, startTimeout).Should(gexec.Exit())
		f.putTable(2, "new-key")
		back := f.gateways[1]
		back.process = launch("gateway", "-settings", back.file)
		for _, g := range f.gateways {
			Eventually(func() int { return f.get(g, "/x/1", "new-key").status }, startTimeout).Should(Equal(200))
			Expect(f.get(g, "/x/1", "key").status).To(Equal(401))
		}
	})
})
