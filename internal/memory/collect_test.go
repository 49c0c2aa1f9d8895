package memory_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/memory"
)

// TestReleasedBytesAreBounded guards against clients that come back at once: what has been released and is
// not collected yet, or is still referred to by a connection that gave way, counts too. Room comes back
// without loss.
func TestReleasedBytesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1<<20, 8<<20).Draw(t, "limit")
		a := account(memory.Limits{Bytes: limit})
		var holders []*memory.Holder
		for range rapid.IntRange(1, 60).Draw(t, "clients") {
			// A connection that gives way drops what it held at once.
			h, err := a.Open(memory.Callers, 30<<10, "", func(h *memory.Holder, _ bool) { h.Close() })
			if err != nil {
				continue
			}
			holders = append(holders, h)
			h.SetState(memory.Reading)
			reserved := rapid.IntRange(1, 2<<20).Draw(t, "bytes")
			if !h.Reserve(reserved) {
				reserved = 0
			}
			held := a.Totals().Bytes
			if released, _ := a.Released(); held > limit || held+released > limit+limit/2 {
				t.Fatalf("%d bytes are held and %d released, of %d", held, released, limit)
			}
			switch rapid.IntRange(0, 2).Draw(t, "end") {
			case 0:
				h.Release(reserved)
			case 1:
				h.Close()
			}
		}
		for _, h := range holders {
			h.Close()
		}
		if a.Totals() != (memory.Totals{}) {
			t.Fatalf("held after the end: %+v", a.Totals())
		}
	})
}
