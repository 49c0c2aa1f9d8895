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

// failoverRuns is the number of times that each failure is injected.
const failoverRuns = 5

var _ = Describe("Loss of the broker with default settings", Label("slow"), func() {
	DescribeTable("delays permit requests by about a second",
		func(direct bool, lose func(c *cluster, lost *node)) {
			var waited, fresh []float64
			for range failoverRuns {
				w, f := measureFailover(direct, lose)
				waited, fresh = append(waited, w), append(fresh, f)
			}
			slices.Sort(waited)
			slices.Sort(fresh)
			AddReportEntry("until granted, ms", fmt.Sprintf(
				"requested just after the loss: median %.0f, longest %.0f; waiting at the lost broker for a slot that is then released: median %.0f, longest %.0f",
				fresh[len(fresh)/2], lo.Max(fresh), waited[len(waited)/2], lo.Max(waited)), ReportEntryVisibilityFailureOrVerbose)
			Expect(lo.Max(fresh)).To(BeNumerically("<", maxBlocked.Milliseconds()))
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

// measureFailover loses the broker and returns the time until a grant in milliseconds: waited
// for a permit request in the lost broker's queue, fresh for one made just after the loss.
func measureFailover(direct bool, lose func(c *cluster, lost *node)) (waited, fresh float64) {
	GinkgoHelper()
	c := newCluster([]string{"a", "b", "c"}, clusterOptions{slots: "2", productionTimings: true, direct: direct})
	ranked := c.ranked()
	ctx := context.Background()
	held := expectGrant(acquireAsync(ctx, ranked[1]))
	other := expectGrant(acquireAsync(ctx, ranked[1]))
	waitingResult := acquireAsync(ctx, ranked[2])
	Eventually(func() int { return waitingCount(ranked[0]) }, maxBlocked).Should(Equal(1))
	lose(c, ranked[0])
	start := time.Now()
	ranked[1].broker.Release(completedReport(held))
	ranked[1].broker.Release(completedReport(other))
	freshResult := acquireAsync(ctx, ranked[1])
	since := func(a <-chan acquireResult) float64 {
		expectGrant(a)
		return float64(time.Since(start).Microseconds()) / 1000
	}
	freshDuration := make(chan float64, 1)
	go func() {
		defer GinkgoRecover()
		freshDuration <- since(freshResult)
	}()
	waited = since(waitingResult)
	fresh = <-freshDuration
	for _, n := range c.nodes {
		n.kill()
	}
	return waited, fresh
}
