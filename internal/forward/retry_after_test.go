package forward

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load pattern: every request is refused for some time; callers retry once.
func TestRetryAfter(t *testing.T) {
	g := NewWithT(t)
	g.Expect(retryAfter(0, 8*time.Second, 0)).To(Equal(minRetryAfter))
	g.Expect(retryAfter(1500*time.Millisecond, 8*time.Second, 0)).To(Equal(1500*time.Millisecond), "the delay follows the backlog")
	g.Expect(retryAfter(time.Minute, 6*time.Second, 1)).To(Equal(1800*time.Millisecond), "never longer than callers follow")
	g.Expect(retryAfterOutage(0, 8*time.Second, 0)).To(Equal(minRetryAfter), "a new outage is expected to end soon")
	g.Expect(retryAfterOutage(time.Second, 10*time.Second, 0)).To(Equal(3*time.Second), "a long outage lasts for seconds")
	g.Expect(retryAfterOutage(time.Second, 10*time.Second, 1)).To(BeNumerically("<", 3*time.Second), "retries are spread")
	g.Expect(retryAfter(time.Second, 8*time.Second, 0.9)).To(BeNumerically(">", retryAfter(time.Second, 8*time.Second, 0.1)), "retries are spread")

	var o outage
	now := time.Unix(1000, 0)
	g.Expect(o.recordRefusal(now)).To(BeZero())
	g.Expect(o.recordRefusal(now.Add(time.Second))).To(Equal(time.Second))
	g.Expect(o.recordRefusal(now.Add(10*time.Second))).To(BeZero(), "a refusal after a long gap starts a new outage")
}
