package memory_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/memory"
)

func account(limits memory.Limits) *memory.Account {
	return memory.NewAccount(func() memory.Limits { return limits }, func(memory.Refusal) {})
}

// TestReadBody guards against bodies whose small pieces cost more than large ones, and against room that is
// not given back or taken beyond the limit.
func TestReadBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 40_000
		data := bytes.Repeat([]byte("a"), rapid.IntRange(0, 2*limit).Draw(t, "size"))
		room := rapid.SampledFrom([]int64{0, 50_000, 200_000}).Draw(t, "room")
		announced := rapid.SampledFrom([]int{-1, len(data), len(data) + 1}).Draw(t, "announced")
		a := account(memory.Limits{Bytes: room})
		h, err := a.Open(memory.Callers, 100, "", func(*memory.Holder, bool) {})
		if err != nil {
			t.Fatal(err)
		}
		var r io.Reader = bytes.NewReader(data)
		if rapid.Bool().Draw(t, "small pieces") {
			r = iotest.OneByteReader(r)
		}
		body, err := memory.ReadBody(r, h, announced, limit)
		if held := a.Totals().Bytes; held != int64(100+cap(body)) || held > 100+2*limit {
			t.Fatalf("%d bytes are held for %d", held, cap(body))
		}
		if err == nil && (!bytes.Equal(body, data) || len(data) > limit || announced > len(data)) {
			t.Fatalf("took %d of %d bytes", len(body), len(data))
		}
		if err != nil && len(data) <= limit && announced <= len(data) && room != 50_000 {
			t.Fatal(err)
		}
		if err != nil && len(data) > limit && room == 0 && announced <= len(data) && !errors.Is(err, memory.ErrTooLarge) {
			t.Fatal(err)
		}
		h.SetState(memory.Idle)
		if held := a.Totals().Bytes; held != 100 {
			t.Fatalf("%d bytes are held when idle", held)
		}
		h.Close()
		if a.Totals() != (memory.Totals{}) {
			t.Fatalf("held after the end: %+v", a.Totals())
		}
	})
}

// TestGivingWay guards against an account that loses count of connections that gave way, and against a
// request that runs although it gave way.
func TestGivingWay(t *testing.T) {
	g := NewWithT(t)
	a := account(memory.Limits{Bytes: 300_000})
	var ended []bool
	large, err := a.Open(memory.Callers, 1_000, "large", func(_ *memory.Holder, atOnce bool) { ended = append(ended, atOnce) })
	g.Expect(err).NotTo(HaveOccurred())
	large.SetState(memory.Reading)
	g.Expect(large.Reserve(200_000)).To(BeTrue())
	small, err := a.Open(memory.Callers, 1_000, "small", func(_ *memory.Holder, atOnce bool) { ended = append(ended, atOnce) })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(small.Reserve(100_000)).To(BeTrue())
	g.Expect(ended).To(Equal([]bool{false}), "there is time for an answer")
	g.Expect(large.SetState(memory.Running)).To(BeFalse())
	g.Expect(large.Reserve(1)).To(BeFalse())
	large.Release(200_000)
	g.Expect(a.Totals()).To(Equal(memory.Totals{Bytes: 101_000, Connections: [4]int{2}}), "its descriptor is still open")
	small.SetState(memory.Reading)
	g.Expect(small.Reserve(110_000)).To(BeTrue())
	newer, err := a.Open(memory.Callers, 100_000, "newer", func(*memory.Holder, bool) {})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ended).To(Equal([]bool{false, false}), "a new connection needs bytes, and no descriptor")
	newer.Close()
	large.Close()
	small.Close()
	g.Expect(a.Totals()).To(Equal(memory.Totals{}))
}

// TestLimitsHoldOneRequest guards against a VM whose account has no room for a single request within the
// limits.
func TestLimitsHoldOneRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.IntRange(1<<10, 12<<20).Draw(t, "largest body")
		limits := memory.Machine{}.Limits(rapid.IntRange(64, 256).Draw(t, "memory"), body)
		h, err := account(limits).Open(memory.Callers, 36<<10, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := memory.ReadBody(bytes.NewReader(make([]byte, body)), h, body, body); err != nil {
			t.Fatal(err)
		}
	})
}
