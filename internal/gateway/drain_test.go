package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestDrainTimes(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second, 30 * time.Second} {
		g := NewWithT(t)
		accept, limit := drainTimes(grace)
		g.Expect(limit).To(BeNumerically("<", grace), "the process ends within its grace period")
		g.Expect(limit).To(BeNumerically(">=", grace*5/6), "requests are abandoned only in the last sixth of the grace period")
		g.Expect(accept).To(BeNumerically("<=", grace/2), "the last requests have half of the grace period to complete")
	}
	g := NewWithT(t)
	accept, limit := drainTimes(8 * time.Second)
	g.Expect(accept).To(Equal(deregistrationDelay), "the load balancer has time to stop sending connections")
	g.Expect(limit).To(Equal(7100 * time.Millisecond))
}
