package scheduling_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
)

// init fixes the seed of the generated schedules; -rapid.seed overrides it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// generatedAsk draws an ask of one of five classes and four workspaces.
func generatedAsk(t *rapid.T, n int) routing.PermitRequest {
	kind := rapid.IntRange(0, 4).Draw(t, "class")
	a := ask(fmt.Sprint(n), catalog.Tier(1+kind%3))
	a.Class = fmt.Sprint("class", kind)
	a.FloorPercent = []float64{0, 2, 5, 10, 20}[kind]
	a.Workspace = fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace"))
	a.Weight = 1 + kind
	a.Daemon = fmt.Sprint("d", rapid.IntRange(0, 2).Draw(t, "daemon"))
	a.Target.FirstTokenMS = rapid.SampledFrom([]int{200, 1000, 10_000}).Draw(t, "target")
	a.Suspect = rapid.IntRange(0, 30).Draw(t, "suspect") == 0
	return a
}

// TestHistories checks the rule on generated schedules of every operation.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		b := newBed(rapid.IntRange(1, 6).Draw(t, "slots"), func(c *scheduling.Config) { c.MaxWaiting = 40 })
		released := 0
		for n := range rapid.IntRange(50, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0:
				b.pass(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				b.tick()
			case 1, 2, 3, 4:
				if released < len(b.grants) {
					b.pass(5 * time.Millisecond)
					b.release(b.grants[released], 50*time.Millisecond)
					released++
				}
			case 5:
				b.take(b.pool.Cancel(b.now, fmt.Sprint(rapid.IntRange(0, n).Draw(t, "cancel"))))
			case 6:
				if rapid.IntRange(0, 9).Draw(t, "gone") == 0 {
					b.take(b.pool.Expire(b.now, "d0"))
				}
			default:
				b.submit(generatedAsk(t, n))
			}
			g.Expect(b.slots.busy).To(BeNumerically("<=", b.slots.total))
		}
		b.pass(time.Minute)
		b.tick()
		g.Expect(b.history.Verify(true)).To(BeEmpty())
		stats := b.pool.Stats(b.now)
		g.Expect(stats.Waiting).To(BeZero())
		g.Expect(stats.Running).To(Equal(b.slots.busy))
	})
}
