package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primrosewell/primrosewell/internal/platform"
	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

// benchWindow is the time over which one case is measured.
const benchWindow = 3 * time.Second

// homes forwards each shard to one daemon, as rendezvous hashing over the members would.
type homes struct {
	self int
	logs *[]*Log
}

func (h homes) Local(shard int) bool { return shard%len(*h.logs) == h.self }

func (h homes) Forward(ctx context.Context, shard int, claims []Claim) ([]Result, error) {
	time.Sleep(time.Millisecond) // One way and back within a data centre.
	return (*h.logs)[shard%len(*h.logs)].Serve(ctx, claims)
}

// BenchmarkClaims measures claims against calls on a platform that answers in 3 ms.
// Clients claim at a fixed rate in all; each case prints one line of figures.
func BenchmarkClaims(b *testing.B) {
	for _, limit := range []float64{0, 300} {
		for _, rate := range []int{50, 500, 4000} {
			b.Run(fmt.Sprintf("object-each/limit=%v/rate=%d", limit, rate), func(b *testing.B) {
				for range b.N {
					benchObjects(b, limit, rate)
				}
			})
		}
	}
	for _, daemons := range []int{1, 8} {
		for _, forwarding := range []bool{false, true} {
			for _, rate := range []int{50, 500, 4000} {
				if daemons == 1 && forwarding {
					continue
				}
				b.Run(fmt.Sprintf("daemons=%d/forward=%t/rate=%d", daemons, forwarding, rate), func(b *testing.B) {
					for range b.N {
						benchClaims(b, daemons, forwarding, rate)
					}
				})
			}
		}
	}
}

// weighed counts the bytes that are written.
type weighed struct {
	platform.Store
	bytes *atomic.Int64
}

func (w weighed) Create(ctx context.Context, o platform.Object) (platform.Object, error) {
	w.bytes.Add(int64(len(o.Data)))
	return w.Store.Create(ctx, o)
}

func (w weighed) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	w.bytes.Add(int64(len(o.Data)))
	return w.Store.Update(ctx, o)
}

// benchObjects measures the way that was not taken: one object for each claim, with
// the platform's limit on writes/s if it is not zero.
func benchObjects(b *testing.B, limit float64, rate int) {
	server := platformstandin.New(platformstandin.Options{History: 100})
	server.SetFaults(platformstandin.Faults{DelayMS: 3, WritesPerSecond: limit})
	store := server.Store()
	measure(b, server, rate, func(i int) error {
		_, err := store.Create(context.Background(), platform.Object{Collection: platform.ClaimCollection, Name: fmt.Sprint("k", i)})
		return err
	})
}

func benchClaims(b *testing.B, daemons int, forwarding bool, rate int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := platformstandin.New(platformstandin.Options{History: 100})
	server.SetFaults(platformstandin.Faults{DelayMS: 3})
	logs := make([]*Log, 0, daemons)
	var bytes atomic.Int64
	for i := range daemons {
		name := fmt.Sprint("d", i)
		o := Options{Store: weighed{server.Store(), &bytes}, Daemon: name, Incarnation: name}
		if forwarding {
			o.Forwarder = homes{self: i, logs: &logs}
		}
		l, err := New(ctx, o)
		if err != nil {
			b.Fatal(err)
		}
		logs = append(logs, l)
	}
	measure(b, server, rate, func(i int) error {
		_, _, err := logs[i%daemons].Claim(ctx, aClaim(fmt.Sprint("request-", i), fmt.Sprint("idempotency-key-", i), "sha256-digest-of-the-body"))
		return err
	})
	b.ReportMetric(float64(bytes.Load())/1024/benchWindow.Seconds(), "written-KB/s")
}

// measure makes claims at a rate and reports what came of them.
func measure(b *testing.B, server *platformstandin.Server, rate int, claimOne func(i int) error) {
	var done, failed atomic.Int64
	var mu sync.Mutex
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var clients sync.WaitGroup
	before := server.Stats()
	started := time.Now()
	for i := 0; time.Since(started) < benchWindow; i++ {
		time.Sleep(time.Until(started.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		clients.Go(func() {
			begin := time.Now()
			if claimOne(i) != nil {
				failed.Add(1)
				return
			}
			done.Add(1)
			mu.Lock()
			defer mu.Unlock()
			_ = latency.RecordValue(time.Since(begin).Microseconds())
		})
	}
	clients.Wait()
	elapsed := time.Since(started).Seconds()
	after := server.Stats()
	count := func(kinds ...string) (n float64) {
		for _, k := range kinds {
			n += float64(after[k] - before[k])
		}
		return n / elapsed
	}
	b.ReportMetric(float64(done.Load())/elapsed, "claims/s")
	b.ReportMetric(float64(failed.Load())/elapsed, "failed/s")
	b.ReportMetric(count("create", "update", "delete"), "writes/s")
	b.ReportMetric(count("get", "list"), "reads/s")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-ms")
}

// BenchmarkOutage measures refusals during an outage of 3 s and the time to recover
// after it, for 8 daemons with forwarding at 500 claims/s.
func BenchmarkOutage(b *testing.B) {
	for _, mode := range []platformstandin.Outage{platformstandin.OutageRefuse, platformstandin.OutageHang} {
		b.Run(string(mode), func(b *testing.B) {
			for range b.N {
				benchOutage(b, mode)
			}
		})
	}
}

func benchOutage(b *testing.B, mode platformstandin.Outage) {
	const (
		daemons, rate = 8, 500
		outage, after = 3 * time.Second, 4 * time.Second
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := platformstandin.New(platformstandin.Options{History: 100})
	server.SetFaults(platformstandin.Faults{DelayMS: 3})
	logs := make([]*Log, 0, daemons)
	for i := range daemons {
		name := fmt.Sprint("d", i)
		l, err := New(ctx, Options{Store: server.Store(), Daemon: name, Incarnation: name, Forwarder: homes{self: i, logs: &logs}})
		if err != nil {
			b.Fatal(err)
		}
		logs = append(logs, l)
	}
	for i := range 1000 {
		_, _, _ = logs[i%daemons].Claim(ctx, aClaim("warm", fmt.Sprint("warm-", i), "d"))
	}
	var during, refused, lastFailure atomic.Int64
	var mu sync.Mutex
	waits := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var clients sync.WaitGroup
	server.SetFaults(platformstandin.Faults{Outage: mode})
	started := time.Now()
	time.AfterFunc(outage, func() { server.SetFaults(platformstandin.Faults{DelayMS: 3}) })
	for i := 0; time.Since(started) < outage+after; i++ {
		time.Sleep(time.Until(started.Add(time.Duration(i) * time.Second / rate)))
		clients.Go(func() {
			begin := time.Now()
			_, _, err := logs[i%daemons].Claim(ctx, aClaim(fmt.Sprint("r", i), fmt.Sprint("k", i), "d"))
			inOutage := begin.Sub(started) < outage
			if inOutage {
				during.Add(1)
			}
			if err == nil {
				return
			}
			if inOutage {
				refused.Add(1)
			}
			mu.Lock()
			defer mu.Unlock()
			_ = waits.RecordValue(time.Since(begin).Microseconds())
			lastFailure.Store(max(lastFailure.Load(), int64(begin.Sub(started))))
		})
	}
	clients.Wait()
	b.ReportMetric(100*float64(refused.Load())/float64(during.Load()), "%refused")
	b.ReportMetric(float64(waits.ValueAtQuantile(50))/1000, "refusal-p50-ms")
	b.ReportMetric(float64(waits.ValueAtQuantile(99))/1000, "refusal-p99-ms")
	b.ReportMetric((time.Duration(lastFailure.Load())-outage).Seconds()*1000, "recovery-ms")
}

// BenchmarkSealMemory measures the bytes that a sealed claim takes: in the platform,
// and in a daemon that holds its seal's filter only.
func BenchmarkSealMemory(b *testing.B) {
	const claims = 3000
	lines := make([]line, claims)
	for i := range lines {
		c := aClaim(fmt.Sprintf("0198c1f2-9c7e-7c1b-8f43-%012d", i), fmt.Sprintf("5f0c8c1e-7a52-4bb1-9a55-%012d", i), fmt.Sprintf("%064d", i))
		c.Workspace, c.Daemon, c.Incarnation, c.Nonce = "caledonian", "vm-entry-12", "0198c1f2-9c7e-7c1b-8f43-aaaaaaaaaaaa", uint64(i)
		l, err := newLine(entry{Claim: c})
		if err != nil {
			b.Fatal(err)
		}
		lines[i] = l
	}
	for b.Loop() {
		s := newSeal(lines)
		b.ReportMetric(float64(len(s.encode()))/claims, "stored-B/claim")
		b.ReportMetric(float64(s.filter.Cap())/8/claims, "filter-B/claim")
	}
}
