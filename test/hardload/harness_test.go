//go:build hardload

// Package hardload_test starts the system's own processes on loopback addresses and puts a fixed set of
// clients before them that respect no limits. It checks only what does not depend on the machine's speed:
// the process lives, its memory and open descriptors stay under a bound, and an ordinary request is
// answered afterwards. The specs run one at a time and apart from other tests (make hardload).
package hardload_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/primrosewell/primrosewell/internal/admin"
	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/standin/opaque"
	"github.com/primrosewell/primrosewell/internal/testport"
)

const (
	// patience bounds each wait; it is no assertion about speed.
	patience = 20 * time.Second
	// memoryMB is the memory of the VM in the settings of the tests, and the bound of a process's
	// resident memory: the smallest VM of the second deployment.
	memoryMB = 144
	// fewDescriptors and manyDescriptors are limits of a process's descriptors: one that a small set of
	// clients reaches, and that of the smallest VM of the second deployment.
	fewDescriptors, manyDescriptors = 512, 3075
	// freeDescriptors is how many stay free for calls to the platform and endpoints.
	freeDescriptors = 32

	operatorToken, sharedKey, platformToken, apiKey = "operator-token", "shared-key-for-tests", "platform-token", "workspace-key"
	// largeResponse is the size in bytes of a response that is held in memory as a whole.
	largeResponse = 250_000
	// slowResponse is how long a request to a path with that name runs.
	slowResponse = 12 * time.Second
)

func TestHardLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hard load")
}

var (
	binary   string
	names    = headers.Default()
	requests atomic.Int64
)

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.BuildWithEnvironment("github.com/primrosewell/primrosewell/cmd/primrosewell", []string{"CGO_ENABLED=1"})
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// process is a program of the system that a spec started, and the most memory and descriptors it was
// seen with.
type process struct {
	session *gexec.Session
	log     *gbytes.Buffer
	limit   int
	sockets sockets

	mu          sync.Mutex
	rssMB       int
	descriptors int
	// unreadMB is what the kernel has received for the process at most, and togetherMB the largest sum
	// of that and of the resident memory at one moment.
	unreadMB, togetherMB int
}

// launch starts the program with a limit of descriptors.
func launch(descriptors int, args ...string) *process {
	GinkgoHelper()
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	log := gbytes.NewBuffer()
	session, err := gexec.Start(exec.Command("sh", append([]string{"-c", script, binary}, args...)...), log, log)
	Expect(err).NotTo(HaveOccurred())
	p := &process{session: session, log: log, limit: descriptors}
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			text := log.Contents()
			AddReportEntry(strings.Join(args, " "), string(text[max(0, len(text)-20_000):]))
		}
		session.Kill().Wait(patience)
	})
	return p
}

var (
	peakMemory     = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)
	residentMemory = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)
)

// kilobytes returns a figure of /proc/PID/status, or 0.
func kilobytes(status []byte, figure *regexp.Regexp) int {
	found := figure.FindSubmatch(status)
	if found == nil {
		return 0
	}
	kb, _ := strconv.Atoi(string(found[1]))
	return kb
}

// sockets selects sockets of a process by their ports.
type sockets struct{ local, remote map[int]bool }

// unread returns the bytes in the receive queues of the sockets, also of connections that wait to be
// accepted.
func (s sockets) unread() (total int) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const listens = "0A" // The queue of a listener counts connections.
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == listens || !s.local[hexPort(fields[1])] && !s.remote[hexPort(fields[2])] {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
			total += int(n)
		}
	}
	return total
}

// hexPort returns the port of an address in /proc/net/tcp, or 0.
func hexPort(address string) int {
	_, text, _ := strings.Cut(address, ":")
	port, _ := strconv.ParseInt(text, 16, 32)
	return int(port)
}

// measure records the process's memory, its unread bytes and its open descriptors.
func (p *process) measure() {
	directory := fmt.Sprintf("/proc/%d", p.session.Command.Process.Pid)
	status, err := os.ReadFile(directory + "/status")
	if err != nil {
		return // The process has ended, which alive reports.
	}
	unread := p.sockets.unread()
	open, err := os.ReadDir(directory + "/fd")
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rssMB = max(p.rssMB, kilobytes(status, peakMemory)>>10)
	p.unreadMB = max(p.unreadMB, unread>>20)
	p.togetherMB = max(p.togetherMB, (kilobytes(status, residentMemory)<<10+unread)>>20)
	p.descriptors = max(p.descriptors, len(open))
}

// watch measures the process until the spec ends, once it serves. servers are those that it calls.
func (t target) watch(servers ...string) {
	GinkgoHelper()
	t.awaitOrdinary()
	t.sockets = sockets{local: map[int]bool{port(t.callers): true}, remote: map[int]bool{}}
	for _, server := range servers {
		t.sockets.remote[port(server)] = true
	}
	for _, listener := range t.listeners {
		t.sockets.local[port(listener)] = true
	}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			t.measure()
			time.Sleep(20 * time.Millisecond)
		}
	}()
}

// expectBounded checks that the process lives and has stayed within its bounds.
func (p *process) expectBounded() {
	GinkgoHelper()
	p.measure()
	p.mu.Lock()
	defer p.mu.Unlock()
	figures := fmt.Sprintf("peak memory %d MB, unread %d MB, both at once %d MB, most descriptors %d", p.rssMB, p.unreadMB, p.togetherMB, p.descriptors)
	GinkgoWriter.Println(figures)
	fmt.Printf("%s: %s\n", CurrentSpecReport().FullText(), figures)
	Expect(p.session.ExitCode()).To(Equal(-1), "the process has ended")
	Expect(p.rssMB).To(BeNumerically("<", memoryMB), "peak memory in MB")
	Expect(p.togetherMB).To(BeNumerically("<", memoryMB), "memory and unread bytes at one moment in MB")
	Expect(p.descriptors).To(BeNumerically("<=", p.limit-freeDescriptors), "open descriptors")
}

// target is a process under load and the addresses at which it serves.
type target struct {
	*process
	callers string
	// listeners are the other TCP listeners, by name.
	listeners map[string]string
	// requestTo returns the beginning of a request to a path, without a framing.
	requestTo func(path string) string
	// posts are the beginnings of requests with a body to the other listeners.
	posts map[string]string
	path  string
}

func address() string {
	GinkgoHelper()
	ports, err := testport.Free(1)
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprintf("127.0.0.1:%d", ports[0])
}

func port(address string) int {
	GinkgoHelper()
	parsed, err := netip.ParseAddrPort(address)
	Expect(err).NotTo(HaveOccurred())
	return int(parsed.Port())
}

func write(settings map[string]any) string {
	GinkgoHelper()
	data, err := json.Marshal(settings)
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(GinkgoT().TempDir(), "settings.json")
	Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	return file
}

var listening = regexp.MustCompile(`listening on (\S+)\n`)

func startPlatform() (string, platform.Store) {
	GinkgoHelper()
	p := launch(4096, "standin", "platform", "-token", platformToken)
	Eventually(p.log, patience).Should(gbytes.Say(`listening on \S+\n`))
	at := string(listening.FindSubmatch(p.log.Contents())[1])
	return at, platform.NewClient(platform.ClientOptions{BaseURL: "http://" + at, Token: platformToken})
}

// startEndpoint serves an endpoint within the test. Under /x/large it sends a large response, under
// /x/endless one without end, under /x/unending/N the bytes of unendingResponses[N] without end, and under
// /x/slow an ordinary one after slowResponse.
func startEndpoint() string {
	GinkgoHelper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ordinary := opaque.Endpoint{ID: "a", Names: names}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		if _, number, found := strings.Cut(r.URL.Path, "/unending/"); found {
			sendUnending(w, r, number)
			return
		}
		switch path.Base(r.URL.Path) {
		case "large":
			w.Header().Set("Content-Type", "application/octet-stream")
			w.Header().Set("Content-Length", strconv.Itoa(largeResponse))
			_, _ = w.Write(make([]byte, largeResponse))
		case "endless":
			w.Header().Set("Content-Type", "application/octet-stream")
			for data := make([]byte, largeResponse); ; {
				if _, err := w.Write(data); err != nil {
					return
				}
			}
		case "slow":
			_, _ = io.Copy(io.Discard, r.Body)
			select {
			case <-r.Context().Done():
				return
			case <-time.After(slowResponse):
			}
			ordinary.ServeHTTP(w, r)
		default:
			_, _ = io.Copy(io.Discard, r.Body)
			ordinary.ServeHTTP(w, r)
		}
	})}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

func put(store platform.Store, collection, name string, content any) {
	GinkgoHelper()
	data, err := json.Marshal(content)
	Expect(err).NotTo(HaveOccurred())
	_, err = store.Create(context.Background(), platform.Object{Collection: collection, Name: name, Data: data})
	Expect(err).NotTo(HaveOccurred())
}

// startGateway starts a gateway with a limit of descriptors before one endpoint.
func startGateway(descriptors int) target {
	GinkgoHelper()
	return startGatewayBehind(descriptors, func(platform string) string { return platform })
}

// startGatewayBehind is startGateway with a front before the platform, which takes its address and returns
// its own.
func startGatewayBehind(descriptors int, front func(platform string) string) target {
	GinkgoHelper()
	at, store := startPlatform()
	at = front(at)
	endpoint := startEndpoint()
	put(store, "endpoints", "a", map[string]any{"service": "svc", "address": endpoint, "data_centre": "dc-1", "slots": 4096, "born": 1})
	put(store, "routes", "table", routetable.Spec{Version: 1, Routes: []routetable.Route{{
		Name: "r", Host: "h", PathPrefix: "/x/", Kind: routetable.Idempotent, Timeout: 20 * time.Second, MaxAttempts: 1, Anonymous: true,
		Backends: []routetable.Backend{{Service: "svc", Weight: 1}},
	}}})
	t := target{callers: address(), path: "/x/1", listeners: map[string]string{"readiness": address(), "metrics": address(), "peers": address()}}
	ports, err := testport.Free(1)
	Expect(err).NotTo(HaveOccurred())
	t.process = launch(descriptors, "gateway", "-settings", write(map[string]any{
		"vm":      map[string]any{"id": "vm-1", "data_centre": "dc-1", "memory_mb": memoryMB},
		"callers": map[string]any{"listen": t.callers}, "readiness": map[string]any{"listen": t.listeners["readiness"]}, "metrics": map[string]any{"listen": t.listeners["metrics"]},
		"peers":    map[string]any{"address": "127.0.0.1", "gossip_port": ports[0], "fetch_port": port(t.listeners["peers"])},
		"platform": map[string]any{"url": "http://" + at, "token": platformToken},
	}))
	t.requestTo = func(path string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: load-%d\r\n", path, names.RequestID, requests.Add(1))
	}
	const post = "POST %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\nConnect-Protocol-Version: 1\r\n"
	t.posts = map[string]string{"readiness": fmt.Sprintf(post, "/readyz"), "metrics": fmt.Sprintf(post, "/metrics"), "peers": fmt.Sprintf(post, "/primrosewell.gossip.v1.Snapshot/Fetch")}
	t.watch(endpoint, at)
	return t
}

func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// startServe starts a daemon of `serve` with a limit of descriptors before one endpoint of a plain service.
func startServe(descriptors int) target {
	GinkgoHelper()
	return startServeBehind(descriptors, func(platform string) string { return platform })
}

// startServeBehind is startServe with a front before the platform, as startGatewayBehind.
func startServeBehind(descriptors int, front func(platform string) string) target {
	GinkgoHelper()
	at, _ := startPlatform()
	endpoint := startEndpoint()
	t := target{callers: address(), path: "/services/receiver-api/x/1", listeners: map[string]string{"admin": address(), "peers": address()}}
	setVM(at, t.listeners["peers"])
	at = front(at)
	t.process = launch(descriptors, "serve", "-settings", write(map[string]any{
		"vm":       map[string]any{"id": "entry-0", "data_centre": "dc-1", "memory_mb": memoryMB},
		"callers":  map[string]any{"listen": t.callers},
		"admin":    map[string]any{"listen": t.listeners["admin"], "operators": []any{map[string]any{"name": "dba", "token_hash": hash(operatorToken)}}},
		"peers":    map[string]any{"listen": t.listeners["peers"], "shared_key": sharedKey},
		"platform": map[string]any{"url": "http://" + at, "token": platformToken},
	}))
	client := admin.NewClient("http://"+t.listeners["admin"], operatorToken)
	apply := func(kind catalog.Kind, name string, spec any) {
		data, err := json.Marshal(spec)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string {
			if _, err := client.Apply(context.Background(), kind, name, data, nil); err != nil {
				return err.Error()
			}
			return ""
		}, patience, "100ms").Should(BeEmpty())
	}
	apply(catalog.KindService, "receiver-api", catalog.Service{Name: "receiver-api", Kind: catalog.Plain})
	apply(catalog.KindEndpoint, "a", catalog.Endpoint{Name: "a", Service: "receiver-api", Address: endpoint, DataCentre: "dc-1", MaxConcurrent: 4096})
	apply(catalog.KindProfile, "pilot", catalog.Profile{Name: "pilot", Tier: 1, Target: catalog.Target{FirstTokenMS: 5000}})
	apply(catalog.KindWorkspace, "harbour", catalog.Workspace{Name: "harbour", KeyHashes: []string{hash(apiKey)}, DefaultProfile: "pilot"})
	t.requestTo = func(path string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: load-%d\r\n", path, apiKey, names.RequestID, requests.Add(1))
	}
	const post = "POST %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\nConnect-Protocol-Version: 1\r\n"
	t.posts = map[string]string{"admin": fmt.Sprintf(post, "/admin/v1/objects/service/x"), "peers": fmt.Sprintf(post, "/primrosewell.peer.v1.PeerService/Heartbeat")}
	t.watch(endpoint, at)
	return t
}

// setVM tells the stand-in platform of the one VM.
func setVM(at, peers string) {
	GinkgoHelper()
	data, err := json.Marshal(map[string]any{"vms": []platform.VM{{Name: "entry-0", Address: peers, DataCentre: "dc-1", Role: "entry", State: platform.VMLive}}})
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, "http://"+at+"/control/vms", strings.NewReader(string(data)))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+platformToken)
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(BeNumerically("<", 300))
}

// answer is what a caller got: status is 0 if the connection ended without one.
type answer struct {
	status int
	// id is the request's, and body that of a refusal.
	id, body string
	err      error
}

// ordinary sends one ordinary request, with a body of 20 KB, on a connection of its own.
func (t target) ordinary() (a answer) {
	a.id = fmt.Sprint("ordinary-", requests.Add(1))
	request, err := http.NewRequest(http.MethodPost, "http://"+t.callers+t.path, strings.NewReader(strings.Repeat("a", 20_000)))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = "h"
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set(names.RequestID, a.id)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request.WithContext(ctx))
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.body, a.err = response.StatusCode, string(body), err
	return a
}

// awaitOrdinary sends ordinary requests until one is answered.
func (t target) awaitOrdinary() {
	GinkgoHelper()
	Eventually(func() int { return t.ordinary().status }, patience, "100ms").Should(Equal(http.StatusOK))
}
