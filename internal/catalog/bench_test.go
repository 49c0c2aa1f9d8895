package catalog_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

// newRecords returns a configuration of n workspaces and n endpoints.
func newRecords(n int) []catalog.Record {
	var out []catalog.Record
	for i := range n {
		workspace := fmt.Sprintf("workspace-%d", i)
		endpoint := fmt.Sprintf("endpoint-%d", i)
		hash := fmt.Sprintf("%064x", i)
		out = append(out,
			catalog.Record{Kind: catalog.KindWorkspace, Name: workspace, ChangeID: strings.Repeat("c", 36), Spec: fmt.Appendf(nil, `{"name":%q,"key_hashes":[%q]}`, workspace, hash)},
			catalog.Record{Kind: catalog.KindEndpoint, Name: endpoint, ChangeID: strings.Repeat("c", 36), Spec: fmt.Appendf(nil, `{"name":%q,"service":"s-%d","address":"192.0.2.1:80","data_centre":"d"}`, endpoint, i%12)},
		)
	}
	return out
}

// BenchmarkSnapshot reports the build time and the heap size of a snapshot by number of records.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{100, 1000, 3500} {
		all := newRecords(n)
		b.Run(fmt.Sprintf("records=%d", len(all)), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept, _ := catalog.NewSnapshot(1, all)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for range b.N {
				catalog.NewSnapshot(1, all)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes-held")
			runtime.KeepAlive(kept)
		})
	}
}
