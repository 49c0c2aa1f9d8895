package memory_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/memory"
)

// Load pattern: a server that the process depends on sends responses without an end to all calls at once,
// while callers hold as much as they may.
func TestQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 6 << 20
		a := account(memory.Limits{Bytes: limit})
		quota := a.NewQuota("server", 2)
		callers := int64(rapid.SampledFrom([]int{100, limit / 4, limit * 3 / 4}).Draw(t, "held for callers"))
		if _, err := a.Open(memory.Callers, callers, "", func(*memory.Holder, bool) {}); err != nil {
			t.Fatal(err)
		}
		largest := quota.ResponseLimit(64 << 20)
		if largest != limit/2/3 || quota.ResponseLimit(1000) != 1000 {
			t.Fatalf("a response may have %d bytes", largest)
		}
		var held []int
		sum := func() (total int64) {
			for _, n := range held {
				total += int64(n)
			}
			return total
		}
		for range rapid.IntRange(1, 12).Draw(t, "responses") {
			size := rapid.SampledFrom([]int{0, 1, 5_000, largest, largest + 1, 3 * largest}).Draw(t, "size")
			body, err := memory.ReadBody(bytes.NewReader(make([]byte, size)), quota, rapid.SampledFrom([]int{-1, size}).Draw(t, "announced"), largest)
			held = append(held, cap(body))
			switch {
			case err == nil && (len(body) != size || size > largest):
				t.Fatalf("%d of %d bytes were read", len(body), size)
			case len(held) == 1 && size <= largest && err != nil:
				t.Fatalf("the only response, of %d bytes, found no room: %v", size, err)
			case err != nil && !errors.Is(err, memory.ErrTooLarge) && !errors.Is(err, memory.ErrNoRoom) && !errors.Is(err, io.ErrUnexpectedEOF):
				t.Fatal(err)
			}
			if sum() > limit/2 || a.Totals().Bytes != callers+sum() {
				t.Fatalf("%d bytes are held, %d in the account", sum(), a.Totals().Bytes)
			}
			if rapid.Bool().Draw(t, "released") {
				quota.Release(held[len(held)-1])
				held = held[:len(held)-1]
			}
		}
		for _, n := range held {
			quota.Release(n)
		}
		if a.Totals().Bytes != callers {
			t.Fatalf("%d bytes are held after the end", a.Totals().Bytes-callers)
		}
	})
}
