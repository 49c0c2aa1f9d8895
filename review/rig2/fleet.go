package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/primrosewell/primrosewell/platform"
)

const (
	// gatewayProgram is run as the deploy file says.
	gatewayProgram = "target/primrosewell"
	// readyTimeout is the time for a gateway to say that it is ready.
	readyTimeout = 15 * time.Second
	// stopTimeout is the time for a killed process to end.
	stopTimeout = 5 * time.Second
	// memoryMB is the memory of a gateway of the small deployment.
	memoryMB = 284
)

// gateway is one gateway process.
type gateway struct {
	name, ip, file, logFile string
	front, ready            string
	command                 *exec.Cmd
	log                     *os.File
	exited                  chan struct{}
}

// ports are the same on all gateways of a fleet.
type ports struct{ front, readiness, metrics, gossip, fetch int }

// fleet is a set of gateways on loopback addresses of their own.
type fleet struct {
	dir      string
	gateways []*gateway
}

// freePorts returns ports that are free on an address.
func freePorts(ip string, n int) ([]int, error) {
	var found []int
	for range n {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		found = append(found, l.Addr().(*net.TCPAddr).Port)
	}
	return found, nil
}

// newFleet writes the settings of n gateways, as the template of the deploy file renders them.
func newFleet(dir, storeURL string, n int, grace time.Duration, slack float64) (*fleet, error) {
	base := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))
	free, err := freePorts(base+"1", 5)
	if err != nil {
		return nil, err
	}
	p := ports{free[0], free[1], free[2], free[3], free[4]}
	f := &fleet{dir: dir}
	var seeds []string
	for i := range min(3, n) {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", base, i+1, p.front))
	}
	for i := range n {
		ip := fmt.Sprintf("%s%d", base, i+1)
		g := &gateway{
			name: fmt.Sprintf("edge-%d", i+1), ip: ip, front: fmt.Sprintf("%s:%d", ip, p.front), ready: fmt.Sprintf("%s:%d", ip, p.readiness),
			file: filepath.Join(dir, fmt.Sprintf("edge-%d.json", i+1)), logFile: filepath.Join(dir, fmt.Sprintf("edge-%d.log", i+1)),
		}
		settings := map[string]any{
			"vm":        map[string]any{"id": g.name, "data_centre": "scot-central-a", "memory_mb": memoryMB},
			"callers":   map[string]any{"listen": g.front},
			"readiness": map[string]any{"listen": g.ready},
			"metrics":   map[string]any{"listen": fmt.Sprintf("%s:%d", ip, p.metrics)},
			"peers":     map[string]any{"address": ip, "gossip_port": p.gossip, "fetch_port": p.fetch, "seeds": seeds},
			"platform":  map[string]any{"url": storeURL},
			"retries":   map[string]any{"ratio": 0.2, "slack": slack, "window": "10s"},
			"drain":     map[string]any{"grace": grace.String()},
			"log":       map[string]any{"level": "info"},
		}
		data, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(g.file, data, 0o600); err != nil {
			return nil, err
		}
		f.gateways = append(f.gateways, g)
	}
	return f, nil
}

// start starts the gateway's process, with the command of the deploy file.
func (g *gateway) start() error {
	log, err := os.OpenFile(g.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.log = log
	g.command = exec.CommandContext(context.Background(), gatewayProgram, "gateway", "-adapter", "platform")
	g.command.Env = append(os.Environ(), platform.Adapter().SettingsVariable+"="+g.file)
	g.command.Stdout, g.command.Stderr = log, log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startFromThread(g.command); err != nil {
		return err
	}
	exited, command := make(chan struct{}), g.command
	g.exited = exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// starting takes the processes to start.
var starting = func() chan<- func() {
	calls := make(chan func())
	go func() {
		// The kernel ends the processes with the thread that started them, so that none outlives the rig.
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
}()

// startFromThread starts a process from a thread that ends with this process alone.
func startFromThread(command *exec.Cmd) error {
	result := make(chan error)
	starting <- func() { result <- command.Start() }
	return <-result
}

// kill ends the process at once.
func (g *gateway) kill() {
	if g.command == nil {
		return
	}
	_ = g.command.Process.Kill()
	select {
	case <-g.exited:
	case <-time.After(stopTimeout):
	}
}

// isReady asks as the platform does.
func (g *gateway) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+wire["readiness"], nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(ctx context.Context) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if g.isReady(ctx) {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", g.name)
}

// startAll starts all gateways and waits until they are ready.
func (f *fleet) startAll(ctx context.Context) error {
	for _, g := range f.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range f.gateways {
		if err := g.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) killAll() {
	for _, g := range f.gateways {
		g.kill()
	}
}

// restartAll kills all gateways once kill is closed, and starts them again. done is called when they are ready.
func (f *fleet) restartAll(ctx context.Context, r *record, kill <-chan struct{}, done func(now time.Time)) {
	select {
	case <-kill:
	case <-ctx.Done():
		return
	}
	f.killAll()
	r.printf("all gateways are killed")
	time.Sleep(killDown)
	if err := f.startAll(ctx); err != nil {
		r.printf("the gateways did not start again: %v", err)
		return
	}
	done(time.Now())
	r.printf("all gateways are ready again")
}

// logLines returns the lines of all gateways' logs that contain a word.
func (f *fleet) logLines(word string) (lines []string) {
	for _, g := range f.gateways {
		data, err := os.ReadFile(g.logFile)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, word) {
				lines = append(lines, g.name+" "+strings.TrimSpace(line))
			}
		}
	}
	return lines
}
