//go:build bench

package e2e_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

// Sizes of the bench, as the project's speed target states them.
const (
	benchStreamSeconds = 6
	// benchThink is the longest pause of a caller between two requests. It spreads the
	// arrivals over the engines' steps: without it the callers fall into step with them.
	benchThink        = 40 * time.Millisecond
	benchShortSeconds = 5
	benchShortCallers = 256
	benchEngines      = 4
	benchBatch        = 512
	benchMaxMicros    = 60_000_000
)

// benchStreams is how many streams run at once; BENCH_STREAMS sets it.
var benchStreams = fromEnvironment("BENCH_STREAMS", 1000)

func growthMinutes() time.Duration {
	return time.Duration(fromEnvironment("BENCH_GROWTH_MINUTES", 0)) * time.Minute
}

func fromEnvironment(name string, otherwise int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return otherwise
}

// benchClient keeps enough connections for every stream.
func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * benchStreams, MaxConnsPerHost: 2 * benchStreams}}
}

// firstToken sends a streamed request and returns the time to the first data line
// with content, after reading the whole answer.
func firstToken(client *http.Client, address, prompt string) (time.Duration, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(chat(prompt, true)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Content-Type", "application/json")
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	var first time.Duration
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if first == 0 && strings.Contains(scanner.Text(), `"content":" w`) {
			first = time.Since(start)
		}
	}
	return first, scanner.Err()
}

// streams keeps n streams running for a time, spread over addresses.
func streams(n int, d time.Duration, addresses []string) (h *hdrhistogram.Histogram, failed int64) {
	h = hdrhistogram.New(1, benchMaxMicros, 3)
	client := benchClient()
	defer client.CloseIdleConnections()
	end := time.Now().Add(d)
	var mu sync.Mutex
	var failures atomic.Int64
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				time.Sleep(rand.N(benchThink))
				first, err := firstToken(client, addresses[(i+k)%len(addresses)], fmt.Sprintf("stream %d %d", i, k))
				if err != nil {
					failures.Add(1)
					continue
				}
				mu.Lock()
				_ = h.RecordValue(first.Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return h, failures.Load()
}

// shortCalls counts whole calls a second.
func shortCalls(d time.Duration, send func(client *http.Client, n int) error) (perSecond float64, failed int64) {
	client := benchClient()
	defer client.CloseIdleConnections()
	end := time.Now().Add(d)
	var done, failures atomic.Int64
	var wg sync.WaitGroup
	for i := range benchShortCallers {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				if send(client, i+k) != nil {
					failures.Add(1)
					continue
				}
				done.Add(1)
			}
		})
	}
	wg.Wait()
	return float64(done.Load()) / d.Seconds(), failures.Load()
}

func get(client *http.Client, url string) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	_, err = bufio.NewReader(response.Body).WriteTo(discard{})
	return err
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// residentMB reads the memory of a process.
func residentMB(p *process) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.session.Command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// cpuSeconds reads the processor time that a process has used.
func cpuSeconds(p *process) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.session.Command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	fields := strings.Fields(string(data)[strings.LastIndex(string(data), ")"):])
	user, _ := strconv.ParseFloat(fields[12], 64)
	system, _ := strconv.ParseFloat(fields[13], 64)
	return (user + system) / 100 // Clock ticks a second.
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

var _ = Describe("Bench", Label("bench"), Ordered, func() {
	var c *cluster
	var d *daemonProcess

	BeforeAll(func() {
		c = startCluster(clusterOptions{
			daemons: 1, engines: benchEngines,
			engineArgs: []string{"-step", "20ms", "-batch", strconv.Itoa(benchBatch), "-min-tokens", "30", "-max-tokens", "31"},
			change:     func(s map[string]any) { s["log"] = map[string]any{"level": "warn", "decisions": false} },
		})
		d = c.daemons[0]
		for i, address := range c.engineAddresses {
			name := fmt.Sprintf("engine-%d", i)
			c.mustApply(catalog.KindEndpoint, name, catalog.Endpoint{Name: name, Service: "bulletin-llm", Address: address, DataCentre: "dc-1", MaxConcurrent: benchBatch})
		}
		c.mustApply(catalog.KindEndpoint, "receiver-0", catalog.Endpoint{Name: "receiver-0", Service: "receiver-api", Address: c.serviceAddress, DataCentre: "dc-1", MaxConcurrent: benchBatch})
		streams(benchStreams, 3*time.Second, []string{d.callers}) // Limits open up.
	})

	It("adds little to the time to the first token", func() {
		go d.profileLater("streams")
		for round := range 2 {
			direct, directFailed := streams(benchStreams, benchStreamSeconds*time.Second, c.engineAddresses)
			before := cpuSeconds(d.process)
			routed, routedFailed := streams(benchStreams, benchStreamSeconds*time.Second, []string{d.callers})
			cores := (cpuSeconds(d.process) - before) / benchStreamSeconds
			fmt.Printf("round %d: first token of %d streams: direct p50 %.2f ms p99 %.2f ms (failed %d); routed p50 %.2f ms p99 %.2f ms (failed %d); added p50 %.2f ms p99 %.2f ms; the daemon used %.2f cores for %.0f requests/s\n",
				round, benchStreams,
				millis(direct.ValueAtQuantile(50)), millis(direct.ValueAtQuantile(99)), directFailed,
				millis(routed.ValueAtQuantile(50)), millis(routed.ValueAtQuantile(99)), routedFailed,
				millis(routed.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), millis(routed.ValueAtQuantile(99)-direct.ValueAtQuantile(99)),
				cores, float64(routed.TotalCount())/benchStreamSeconds)
		}
		waits, waited := d.metric("primrosewell_decisions_queue_wait_count"), d.metric("primrosewell_decisions_queue_wait_sum")
		fmt.Printf("mean wait in the queue: %.2f ms\n", waited/waits*1000)
		d.writeProfile("heap")
		fmt.Printf("memory of the daemon after %d streams: %.1f MB\n", benchStreams, residentMB(d.process))
	})

	It("serves short requests", func() {
		direct, directFailed := shortCalls(benchShortSeconds*time.Second, func(client *http.Client, _ int) error {
			return get(client, "http://"+c.serviceAddress+"/ping")
		})
		go d.profileLater("short")
		before := cpuSeconds(d.process)
		routed, routedFailed := shortCalls(benchShortSeconds*time.Second, func(client *http.Client, _ int) error {
			return get(client, "http://"+d.callers+"/services/receiver-api/ping")
		})
		cpu := cpuSeconds(d.process) - before
		fmt.Printf("short requests: direct %.0f/s (failed %d), routed %.0f/s (failed %d), %.0f µs of processor time each\n",
			direct, directFailed, routed, routedFailed, cpu/(routed*benchShortSeconds)*1e6)
	})

	It("does not grow under load, if BENCH_GROWTH_MINUTES is set", func() {
		d := growthMinutes()
		if d == 0 {
			Skip("BENCH_GROWTH_MINUTES is not set")
		}
		for minute := range int(d / time.Minute) {
			streams(200, time.Minute, []string{c.daemons[0].callers})
			fmt.Printf("minute %d: %.1f MB\n", minute+1, residentMB(c.daemons[0].process))
		}
	})

	It("costs little when idle", func() {
		before := cpuSeconds(d.process)
		time.Sleep(10 * time.Second)
		fmt.Printf("idle: %.2f%% of a core, %.1f MB\n", (cpuSeconds(d.process)-before)*10, residentMB(d.process))
	})
})
