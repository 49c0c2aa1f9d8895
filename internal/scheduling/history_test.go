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

// generateRequest draws a request of one of five classes and four workspaces.
func generateRequest(t *rapid.T, n int) routing.PermitRequest {
	classNumber := rapid.IntRange(0, 4).Draw(t, "class")
	request := newRequest(fmt.Sprint(n), catalog.Tier(1+classNumber%3))
	request.Class = fmt.Sprint("class", classNumber)
	request.FloorPercent = []float64{0, 2, 5, 10, 20}[classNumber]
	request.Workspace = fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace"))
	request.Weight = 1 + classNumber
	request.Daemon = fmt.Sprint("d", rapid.IntRange(0, 2).Draw(t, "daemon"))
	request.Target.FirstTokenMS = rapid.SampledFrom([]int{200, 1000, 10_000}).Draw(t, "target")
	request.Suspect = rapid.IntRange(0, 30).Draw(t, "suspect") == 0
	return request
}

// TestHistories verifies the scheduling rules on random sequences of all operations.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		f := newFixture(rapid.IntRange(1, 6).Draw(t, "slots"), func(c *scheduling.Config) { c.MaxQueueLength = 40 })
		released := 0
		for n := range rapid.IntRange(50, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0:
				f.advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				f.tick()
			case 1, 2, 3, 4:
				if released < len(f.grants) {
					f.advance(5 * time.Millisecond)
					f.release(f.grants[released], 50*time.Millisecond)
					released++
				}
			case 5:
				f.collect(f.pool.Cancel(f.now, fmt.Sprint(rapid.IntRange(0, n).Draw(t, "cancel"))))
			case 6:
				if rapid.IntRange(0, 9).Draw(t, "gone") == 0 {
					f.collect(f.pool.Expire(f.now, "d0"))
				}
			default:
				f.submit(generateRequest(t, n))
			}
			g.Expect(f.placer.busy).To(BeNumerically("<=", f.placer.total))
		}
		f.advance(time.Minute)
		f.tick()
		g.Expect(f.history.Verify(true)).To(BeEmpty())
		stats := f.pool.Stats(f.now)
		g.Expect(stats.Waiting).To(BeZero())
		g.Expect(stats.Running).To(Equal(f.placer.busy))
	})
}
