package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primrosewell/primrosewell/internal/balance"
)

// Sizes of the benchmark: the users' grown sites and their busiest seconds.
const (
	benchEndpoints = 100
	benchInFlight  = 1000
	benchThings    = 160
)

// BenchmarkPick measures one choice and its end with 100 endpoints and 1,000 requests in
// progress, whose prompts share 160 long parts.
func BenchmarkPick(b *testing.B) {
	p := balance.NewPool("dc", rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1000, 0)
	p.Update(now, endpoints(benchEndpoints))
	ring := make([]*balance.Choice, benchInFlight)
	for i := range ring {
		ring[i] = p.Pick(now, longAsk(i%benchThings))
	}
	histogram := hdrhistogram.New(1, int64(time.Second), 3)
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		started := time.Now()
		next := p.Pick(now, longAsk(i%benchThings))
		if err := histogram.RecordValue(int64(time.Since(started))); err != nil {
			b.Fatal(err)
		}
		old := ring[i%benchInFlight]
		old.ResponseStarted(now)
		old.Done(now, balance.Succeeded)
		ring[i%benchInFlight] = next
	}
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "p99-µs")
}
