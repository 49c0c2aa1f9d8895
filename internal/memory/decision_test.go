package memory_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/memory"
)

func drawHoldings(t *rapid.T) []memory.Holding {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) memory.Holding {
		return memory.Holding{
			Class: memory.Class(rapid.IntRange(0, 3).Draw(t, "class")), State: memory.State(rapid.Int32Range(0, 3).Draw(t, "state")),
			Bytes: rapid.Int64Range(0, 5<<20).Draw(t, "bytes"), Quiet: time.Duration(rapid.IntRange(0, 5_000).Draw(t, "quiet")) * time.Millisecond,
		}
	}), 0, 40).Draw(t, "holdings")
}

func sum(holdings []memory.Holding) (totals memory.Totals) {
	for _, h := range holdings {
		totals.Bytes += h.Bytes
		totals.Connections[h.Class]++
	}
	return totals
}

// TestDecide guards against an account that admits what exceeds its limits, gives up requests that may have
// run and whose callers read, gives up connections for nothing, or leaves an ordinary request without room
// beside bodies that are still arriving.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holdings := drawHoldings(t)
		totals := sum(holdings)
		limits := memory.Limits{Bytes: rapid.Int64Range(1<<20, 64<<20).Draw(t, "limit"), Descriptors: rapid.IntRange(16, 128).Draw(t, "descriptors")}
		ask := memory.Ask{Class: memory.Class(rapid.IntRange(0, 2).Draw(t, "class of ask")), Bytes: rapid.Int64Range(1, 5<<20).Draw(t, "ask"), Connection: rapid.Bool().Draw(t, "connection")}
		if !ask.Connection {
			ask.Held = rapid.Int64Range(0, 1<<20).Draw(t, "held")
			totals.Bytes += ask.Held
			totals.Connections[ask.Class]++
		}
		giveWay, lacks := memory.Decide(limits, totals, ask, holdings)
		if lacks != memory.Enough && len(giveWay) > 0 {
			t.Fatalf("%d holders give way though the ask is refused", len(giveWay))
		}
		after, seen := totals, map[int]bool{}
		for _, i := range giveWay {
			h := holdings[i]
			if seen[i] || h.State == memory.Running || h.Class == memory.Endpoints && h.State == memory.Idle {
				t.Fatalf("holder %d gives way: %+v", i, h)
			}
			if h.State == memory.Idle && h.Quiet < 200*time.Millisecond {
				t.Fatalf("holder %d gives way while its first request may be on its way: %+v", i, h)
			}
			seen[i] = true
			after.Bytes -= h.Bytes
			after.Connections[h.Class]--
		}
		if lacks == memory.Enough {
			if found := memory.Check(limits, after, ask); found != memory.Enough {
				t.Fatalf("admitted without room: %s", found)
			}
			if after.Bytes+ask.Bytes > limits.Bytes {
				t.Fatalf("%d bytes of %d are held", after.Bytes+ask.Bytes, limits.Bytes)
			}
		}
	})
}

// TestOrdinaryRequestFindsRoom guards against large bodies that keep out ordinary requests, whatever their
// number and however they arrive.
func TestOrdinaryRequestFindsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := memory.Limits{Bytes: rapid.Int64Range(8<<20, 64<<20).Draw(t, "limit")}
		var holdings []memory.Holding
		var totals memory.Totals
		for range 200 { // Each body grows as far as it is admitted.
			state := rapid.SampledFrom([]memory.State{memory.Reading, memory.Running}).Draw(t, "state")
			body := memory.Holding{State: state, Bytes: rapid.Int64Range(memory.SmallBytes+1, 4<<20).Draw(t, "bytes")}
			giveWay, lacks := memory.Decide(limits, totals, memory.Ask{Bytes: body.Bytes}, holdings)
			if lacks != memory.Enough {
				continue
			}
			kept := []memory.Holding{body}
			for i, h := range holdings {
				if !contains(giveWay, i) {
					kept = append(kept, h)
				}
			}
			holdings, totals = kept, sum(kept)
		}
		if _, lacks := memory.Decide(limits, totals, memory.Ask{Bytes: 20 << 10}, holdings); lacks != memory.Enough {
			t.Fatalf("no room for an ordinary request: %s, %+v of %+v", lacks, totals, limits)
		}
	})
}

func contains(indexes []int, i int) bool {
	for _, j := range indexes {
		if i == j {
			return true
		}
	}
	return false
}

// BenchmarkFull measures the decision on a connection that comes while all are in use.
func BenchmarkFull(b *testing.B) {
	holdings := make([]memory.Holding, 1300)
	for i := range holdings {
		holdings[i] = memory.Holding{State: memory.Idle, Bytes: 36 << 10, Quiet: time.Second + time.Duration(i*7919%1300)}
	}
	limits, totals := memory.Limits{Bytes: 64 << 20, Descriptors: 16*1300/7 + 1}, sum(holdings)
	for b.Loop() {
		if _, lacks := memory.Decide(limits, totals, memory.Ask{Bytes: 36 << 10, Connection: true}, holdings); lacks != memory.Enough {
			b.Fatal(lacks)
		}
	}
}
