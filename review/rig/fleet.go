package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/primrosewell/primrosewell/internal/adapter"
	"github.com/primrosewell/primrosewell/platform"
)

const (
	// readyTimeout bounds the start of a gateway.
	readyTimeout = 15 * time.Second
	// readyPoll is the interval at which a gateway that starts is asked whether it is ready.
	readyPoll = 50 * time.Millisecond
	// storeHeaderTimeout limits the time to read the header of a call to the store.
	storeHeaderTimeout = 5 * time.Second
	// gatewayProgram and gatewayArguments are those of the deploy file.
	gatewayProgram   = "target/primrosewell"
	gatewayArguments = "gateway -adapter platform"
	settingsTemplate = "deploy/settings.tmpl"
)

//go:embed manifest.json
var manifestFile string

// manifest is what the cases change in the operator's manifest; the rest is in manifest.json.
type manifest struct {
	version, headerBytes int
	keys                 []string
}

// firstManifest returns the manifest that is in force at the start of most cases.
func firstManifest() manifest {
	return manifest{version: 1, headerBytes: largeHeader, keys: []string{lastingKey, revokedKey}}
}

// lastingKey and revokedKey are API keys of one tenant.
const lastingKey, revokedKey = "key-of-surveyors", "key-to-be-revoked"

// fleet is a deployment on loopback: a store, workers and gateways as processes of their own.
type fleet struct {
	adapter  adapter.Adapter
	record   *record
	store    *store
	storeURL string
	subnet   string
	ports    [5]int
	dir      string
	gateways []*gateway
	workers  map[string]*worker
	// graceSeconds is the grace period in the settings.
	graceSeconds int
}

// gateway is one process of the role of the deploy file.
type gateway struct {
	ip, file string
	command  *exec.Cmd
	log      *os.File
	// ended is closed once the process has ended; endedAt and state are set then.
	ended   chan struct{}
	endedAt time.Time
	state   string
}

// newFleet starts a store on an own subnet of the loopback network, with a manifest and workers.
func newFleet(rec *record, m manifest, workers int) (*fleet, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	f := &fleet{adapter: platform.Adapter(), record: rec, store: s, workers: make(map[string]*worker), graceSeconds: graceBefore}
	f.subnet = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", f.ip(200)+":0")
	if err != nil {
		return nil, err
	}
	f.storeURL = listener.Addr().String()
	server := &http.Server{Handler: s, ReadHeaderTimeout: storeHeaderTimeout}
	go func() { _ = server.Serve(listener) }() // It ends with this process.
	if err := f.choosePorts(); err != nil {
		return nil, err
	}
	if _, err := f.putManifest(m); err != nil {
		return nil, err
	}
	for i := range workers {
		if _, err := f.addWorker(fmt.Sprintf("i-%d", i+1)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) ip(host int) string { return f.subnet + strconv.Itoa(host) }

// choosePorts finds ports that are free at the address of the first gateway, and on this subnet so at all.
func (f *fleet) choosePorts() error {
	for i := range f.ports {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", f.ip(1)+":0")
		if err != nil {
			return err
		}
		f.ports[i] = listener.Addr().(*net.TCPAddr).Port
		defer func() { _ = listener.Close() }()
	}
	return nil
}

// putManifest writes a manifest as the operator does, and returns when it was acknowledged.
func (f *fleet) putManifest(m manifest) (time.Time, error) {
	keys, err := json.Marshal(m.keys)
	if err != nil {
		return time.Time{}, err
	}
	text := strings.NewReplacer("VERSION", strconv.Itoa(m.version), "HEADER_BYTES", strconv.Itoa(m.headerBytes), "API_KEYS", string(keys)).Replace(manifestFile)
	if !json.Valid([]byte(text)) {
		return time.Time{}, errors.New("the manifest is not JSON")
	}
	collection, name := f.adapter.Source.TableObject()
	at := f.store.put(collection, name, json.RawMessage(text))
	f.record.add("manifest", "version", m.version)
	return at, nil
}

// addWorker starts a worker and registers it.
func (f *fleet) addWorker(id string) (*worker, error) {
	w, err := startWorker(id, f.ip(100+len(f.workers)), f.adapter.Headers, f.record)
	if err != nil {
		return nil, err
	}
	f.workers[id] = w
	collection := f.adapter.Source.EndpointCollection()
	w.onBack = func(former string) {
		f.store.remove(collection, former)
		f.store.put(collection, w.name(), w.entry(ready))
	}
	f.store.put(collection, id, w.entry(ready))
	return w, nil
}

// settings renders the template of the deploy file for the gateway with this number.
func (f *fleet) settings(number int, storeAddress string, seeds []string) (string, error) {
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return "", err
	}
	seedList, err := json.Marshal(seeds)
	if err != nil {
		return "", err
	}
	ip := f.ip(number)
	return render(string(template), map[string]string{
		"Node": "edge-" + strconv.Itoa(number), "Zone": "zone-a", "Limits.MemoryMb": "284",
		"Listen.Front": joinPort(ip, f.ports[0]), "Listen.Readiness": joinPort(ip, f.ports[1]), "Ip": ip,
		"PortRange.0": strconv.Itoa(f.ports[2]), "PortRange.1": strconv.Itoa(f.ports[3]), "Seeds|json": string(seedList),
		"Platform.Address": storeAddress, "Platform.ReadsPerS": "2000", "Platform.WritesPerS": "400",
		"Bounds.RetryBudgetRatio": "0.2", "Bounds.BudgetSlack": "52", "Bounds.BudgetWindowS": "10", "Bounds.GraceS": strconv.Itoa(f.graceSeconds),
	})
}

func joinPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// front returns the address for clients of the gateway with this number.
func (f *fleet) front(number int) string { return joinPort(f.ip(number), f.ports[0]) }

// seeds returns the addresses of the first gateways, at most three.
func (f *fleet) seeds(gateways int) (seeds []string) {
	for number := 1; number <= min(3, gateways); number++ {
		seeds = append(seeds, joinPort(f.ip(number), f.ports[4]))
	}
	return seeds
}

// startGateway starts the gateway with this number before the store at the given address.
func (f *fleet) startGateway(number int, storeAddress string, seeds []string) (*gateway, error) {
	text, err := f.settings(number, storeAddress, seeds)
	if err != nil {
		return nil, err
	}
	g := &gateway{ip: f.ip(number), file: filepath.Join(f.dir, fmt.Sprintf("settings-%d.json", number)), ended: make(chan struct{})}
	if err := os.WriteFile(g.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if g.log, err = os.OpenFile(filepath.Join(f.dir, fmt.Sprintf("gateway-%d.log", number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, err
	}
	g.command = exec.CommandContext(context.Background(), gatewayProgram, strings.Fields(gatewayArguments)...)
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), f.adapter.SettingsVariable + "=" + g.file}
	g.command.Stdout, g.command.Stderr = g.log, g.log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return nil, err
	}
	f.record.add("start", "gateway", number, "pid", g.command.Process.Pid)
	f.gateways = append(f.gateways, g)
	go func() {
		_ = g.command.Wait() // The state says how it ended.
		g.endedAt, g.state = time.Now(), g.command.ProcessState.String()
		f.record.add("ended", "gateway", number, "state", g.state)
		close(g.ended)
	}()
	return g, nil
}

// changeSettings writes the settings that are now those of a gateway, with the store at its own
// address, and sends SIGHUP.
func (f *fleet) changeSettings(g *gateway, number int) error {
	text, err := f.settings(number, f.storeURL, f.seeds(len(f.gateways)))
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.file, []byte(text), 0o600); err != nil {
		return err
	}
	f.record.add("settings", "gateway", number, "text", strings.Join(strings.Fields(text), " "))
	return g.command.Process.Signal(syscall.SIGHUP)
}

// startAll starts gateways and waits until all are ready.
func (f *fleet) startAll(gateways int, storeAddress string, seeds []string) error {
	for number := 1; number <= gateways; number++ {
		if _, err := f.startGateway(number, storeAddress, seeds); err != nil {
			return err
		}
	}
	for number := 1; number <= gateways; number++ {
		if err := f.awaitReady(number); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the gateway says that it is ready.
func (f *fleet) awaitReady(number int) error {
	url := "http://" + joinPort(f.ip(number), f.ports[1]) + f.adapter.ReadinessPath
	for limit := time.Now().Add(readyTimeout); time.Now().Before(limit); time.Sleep(readyPoll) {
		if f.isReady(url) {
			f.record.add("ready", "gateway", number)
			return nil
		}
	}
	return fmt.Errorf("gateway %d did not become ready", number)
}

func (f *fleet) isReady(url string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), channelTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// stop kills the gateways that run, and removes the temporary folder unless it is to be kept.
func (f *fleet) stop() {
	for _, g := range f.gateways {
		_ = g.command.Process.Kill() // It may have ended.
		<-g.ended
		_ = g.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}
