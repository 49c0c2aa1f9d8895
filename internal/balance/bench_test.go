package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primrosewell/primrosewell/internal/balance"
)

// Sizes of the benchmark: the largest expected sites in their busiest seconds.
const (
	benchEndpoints   = 100
	benchInFlight    = 1000
	benchSharedParts = 160
)

// BenchmarkPick measures Pick, with one request ending per iteration, at 100 endpoints and
// 1,000 requests in progress whose prompts share 160 long parts.
func BenchmarkPick(b *testing.B) {
	p := balance.NewPool("dc", rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1000, 0)
	p.Update(now, endpoints(benchEndpoints))
	inFlight := make([]*balance.Choice, benchInFlight)
	for i := range inFlight {
		inFlight[i] = p.Pick(now, longRequest(i%benchSharedParts))
	}
	histogram := hdrhistogram.New(1, int64(time.Second), 3)
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		started := time.Now()
		next := p.Pick(now, longRequest(i%benchSharedParts))
		if err := histogram.RecordValue(int64(time.Since(started))); err != nil {
			b.Fatal(err)
		}
		old := inFlight[i%benchInFlight]
		old.ResponseStarted(now)
		old.Done(now, balance.Succeeded)
		inFlight[i%benchInFlight] = next
	}
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "p99-µs")
}
