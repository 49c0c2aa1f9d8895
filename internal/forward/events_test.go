package forward

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestEventSplitter checks that a stream that arrives in any pieces, breaks off anywhere
// and goes on at any earlier event is passed on whole, once and in order.
func TestEventSplitter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "events")
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "newline")
		event := func(i int) string { return fmt.Sprintf("id: %d%sdata: piece %d%s%s", i, newline, i, newline, newline) }
		var whole strings.Builder
		for i := 1; i <= n; i++ {
			whole.WriteString(event(i))
		}
		var s eventSplitter
		var got strings.Builder
		from := 1
		for from <= n {
			var run strings.Builder
			for i := from; i <= n; i++ {
				run.WriteString(event(i))
			}
			stream := run.String()
			if rapid.Bool().Draw(t, "breaks") {
				stream = stream[:rapid.IntRange(0, len(stream)).Draw(t, "at")]
			}
			for len(stream) > 0 {
				cut := rapid.IntRange(1, len(stream)).Draw(t, "cut")
				got.Write(s.push([]byte(stream[:cut])))
				stream = stream[cut:]
			}
			s.drop()
			last := 0
			if s.last != "" {
				if _, err := fmt.Sscan(s.last, &last); err != nil {
					t.Fatal(err)
				}
			}
			// Another endpoint may begin earlier than it was asked to.
			from = max(1, last+1-rapid.IntRange(0, 2).Draw(t, "repeated"))
			if last == n {
				break
			}
		}
		if got.String() != whole.String() {
			t.Fatalf("passed on %q, want %q", got.String(), whole.String())
		}
	})
}
