package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/primrosewell/primrosewell/internal/quarantine"
)

// BenchmarkState measures the lookup that each placement makes, in a full register.
func BenchmarkState(b *testing.B) {
	r := quarantine.New(quarantine.Config{})
	digests := make([]string, quarantine.DefaultMaxEntries)
	for i := range digests {
		digests[i] = fmt.Sprintf("%064d", i)
	}
	r.Crashed(start, "e1", digests)
	b.ResetTimer()
	for i := range b.N {
		r.State(start, digests[i%len(digests)])
	}
}

// BenchmarkMerge measures the merge of one heartbeat after a crash with 64 running requests.
func BenchmarkMerge(b *testing.B) {
	sender, receiver := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
	running := make([]string, 64)
	for i := range running {
		running[i] = fmt.Sprintf("%064d", i)
	}
	sender.Crashed(start, "e1", running)
	entries := sender.Entries(start)
	b.ResetTimer()
	for range b.N {
		receiver.Merge(start, entries)
	}
}
