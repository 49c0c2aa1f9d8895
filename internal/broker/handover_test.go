package broker_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/standin/relay"
)

// handoverRuns is how often each failure is caused.
const handoverRuns = 5

var _ = Describe("Loss of the broker with the settings as shipped", Label("slow"), func() {
	DescribeTable("holds asks up for about a second",
		func(direct bool, lose func(c *cluster, lost *node)) {
			var waited, fresh []float64
			for range handoverRuns {
				w, f := handover(direct, lose)
				waited, fresh = append(waited, w), append(fresh, f)
			}
			slices.Sort(waited)
			slices.Sort(fresh)
			AddReportEntry("until granted, ms", fmt.Sprintf(
				"asked just after the loss: median %.0f, longest %.0f; waiting at the lost broker for a slot that then frees: median %.0f, longest %.0f",
				fresh[len(fresh)/2], lo.Max(fresh), waited[len(waited)/2], lo.Max(waited)), ReportEntryVisibilityFailureOrVerbose)
			Expect(lo.Max(fresh)).To(BeNumerically("<", bound.Milliseconds()))
		},
		Entry("killed", true, func(_ *cluster, lost *node) { lost.kill() }),
		Entry("silent", false, func(c *cluster, lost *node) {
			for _, n := range c.nodes {
				c.mesh.Cut(n.id, lost.address, relay.Both)
				c.mesh.Cut(lost.id, n.address, relay.Both)
			}
		}),
	)
})

// handover returns how long an ask that waited at the lost broker, and one made just
// after the loss, took until they were granted, in milliseconds.
func handover(direct bool, lose func(c *cluster, lost *node)) (waited, fresh float64) {
	GinkgoHelper()
	c := newCluster([]string{"a", "b", "c"}, clusterOptions{slots: "2", defaults: true, direct: direct})
	ranked := c.ranked()
	ctx := context.Background()
	held := runningGrant(acquire(ctx, ranked[1]))
	other := runningGrant(acquire(ctx, ranked[1]))
	waits := acquire(ctx, ranked[2])
	Eventually(func() int { return waiting(ranked[0]) }, bound).Should(Equal(1))
	lose(c, ranked[0])
	start := time.Now()
	ranked[1].broker.Release(report(held))
	ranked[1].broker.Release(report(other))
	late := acquire(ctx, ranked[1])
	since := func(a <-chan answer) float64 {
		runningGrant(a)
		return float64(time.Since(start).Microseconds()) / 1000
	}
	lateDone := make(chan float64, 1)
	go func() {
		defer GinkgoRecover()
		lateDone <- since(late)
	}()
	waited = since(waits)
	fresh = <-lateDone
	for _, n := range c.nodes {
		n.kill()
	}
	return waited, fresh
}
