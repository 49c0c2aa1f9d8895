package placement_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/routing"
)

const (
	benchEndpoints = 1400
	benchRunning   = 10_000
	benchPrefixes  = 200
	benchBlocks    = 256
	// benchPrompts prompts are made beforehand, so that their garbage is not measured.
	benchPrompts = 20_000
)

func makeEndpoints(n, maxConcurrent int) []catalog.Endpoint {
	out := make([]catalog.Endpoint, n)
	for i := range out {
		out[i] = catalog.Endpoint{
			Name:          fmt.Sprintf("e%04d", i),
			Address:       fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			MaxConcurrent: maxConcurrent,
		}
	}
	return out
}

// BenchmarkPlace measures one placement with 1,400 endpoints and 10,000 running
// requests, half of whose prompts share a prefix with others.
func BenchmarkPlace(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	fleet := placement.NewFleet(placement.Config{}, rand.New(rand.NewPCG(3, 4)))
	now := start
	fleet.Update(now, makeEndpoints(benchEndpoints, 16), nil)
	running := make([]routing.Report, 0, benchRunning)
	times := hdrhistogram.New(1, int64(time.Second), 3)
	prefixes := make([][]uint64, benchPrompts)
	for i := range prefixes {
		prefixes[i] = benchPrefix(rng, i)
	}
	place := func(i int) {
		now = now.Add(150 * time.Microsecond)
		ask := routing.PermitRequest{ID: fmt.Sprint(i), Digest: fmt.Sprint("d", i), Prefix: prefixes[i%benchPrompts], PromptTokens: 4096, Repeatable: true}
		began := time.Now()
		placed, ok := fleet.Place(now, ask)
		if err := times.RecordValue(int64(time.Since(began))); err != nil || !ok {
			b.Fatal("no placement", err)
		}
		running = append(running, routing.Report{AttemptID: ask.ID, Endpoint: placed.Endpoint.Name, Result: routing.ResultCompleted, FirstToken: 200 * time.Millisecond, TokenGap: 20 * time.Millisecond, Elapsed: 2 * time.Second, PromptTokens: 4096, OutputTokens: 100, CachedTokens: 1})
	}
	for i := range benchRunning {
		place(i)
	}
	times.Reset()
	b.ResetTimer()
	for i := range b.N {
		at := rng.IntN(len(running))
		done := running[at]
		running[at] = running[len(running)-1]
		running = running[:len(running)-1]
		fleet.Done(now, done)
		place(benchRunning + i)
	}
	b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-ns")
	b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-ns")
	b.ReportMetric(float64(times.ValueAtQuantile(99.9)), "p99.9-ns")
}

// benchPrefix returns a prompt whose first half is shared with others, or none of it.
func benchPrefix(rng *rand.Rand, i int) []uint64 {
	out := make([]uint64, benchBlocks)
	group := uint64(rng.IntN(benchPrefixes)) << 32
	for j := range out {
		out[j] = uint64(i)<<40 | uint64(j)
		if i%2 == 0 && j < benchBlocks/2 {
			out[j] = group | uint64(j) | 1<<63
		}
	}
	return out
}

// BenchmarkFleetMemory reports what a fleet holds: 1,400 endpoints, 10,000 running
// requests and a full table of prompt blocks, or a pool of 10 endpoints with 100
// running requests and as full a table.
func BenchmarkFleetMemory(b *testing.B) {
	for _, size := range []struct{ endpoints, running int }{{benchEndpoints, benchRunning}, {10, 100}} {
		b.Run(fmt.Sprint(size.endpoints), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(fleetBytes(size.endpoints, size.running)), "heap-bytes")
			}
		})
	}
}

func fleetBytes(endpoints, running int) uint64 {
	rng := rand.New(rand.NewPCG(1, 2))
	before := heapBytes()
	fleet := placement.NewFleet(placement.Config{}, rand.New(rand.NewPCG(3, 4)))
	fleet.Update(start, makeEndpoints(endpoints, 16), nil)
	for i := range running + placement.DefaultMaxBlocks/16 {
		id := fmt.Sprint(i)
		fleet.Place(start, routing.PermitRequest{ID: id, Digest: fmt.Sprintf("%064d", i), Prefix: benchPrefix(rng, i), Repeatable: true})
		if i >= running {
			fleet.Done(start, routing.Report{AttemptID: fmt.Sprint(i - running), Result: routing.ResultCompleted})
		}
	}
	after := heapBytes()
	runtime.KeepAlive(fleet)
	return after - before
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkUpdate measures what one round of the broker costs, with 1,400
// endpoints of which a few are listed as leaving.
func BenchmarkUpdate(b *testing.B) {
	fleet := placement.NewFleet(placement.Config{}, rand.New(rand.NewPCG(3, 4)))
	endpoints := makeEndpoints(benchEndpoints, 16)
	leaving := map[string]bool{"10.0.0.7": true, "e0009": true}
	b.ReportAllocs()
	for range b.N {
		fleet.Update(start, endpoints, leaving)
	}
}
