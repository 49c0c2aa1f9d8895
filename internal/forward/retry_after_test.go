package forward

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load pattern: everything is refused for a while; callers return once.
func TestComeback(t *testing.T) {
	g := NewWithT(t)
	g.Expect(comeback(0, 8*time.Second, 0)).To(Equal(comebackFirst))
	g.Expect(comeback(1500*time.Millisecond, 8*time.Second, 0)).To(Equal(1500*time.Millisecond), "a backlog drains in its own time")
	g.Expect(comeback(time.Minute, 6*time.Second, 1)).To(Equal(1800*time.Millisecond), "never beyond what callers follow")
	g.Expect(comebackFromOutage(0, 8*time.Second, 0)).To(Equal(comebackFirst), "a start is over soon")
	g.Expect(comebackFromOutage(time.Second, 10*time.Second, 0)).To(Equal(3*time.Second), "settled trouble lasts for seconds")
	g.Expect(comebackFromOutage(time.Second, 10*time.Second, 1)).To(BeNumerically("<", 3*time.Second), "returns are spread")
	g.Expect(comeback(time.Second, 8*time.Second, 0.9)).To(BeNumerically(">", comeback(time.Second, 8*time.Second, 0.1)), "returns are spread")

	var o outage
	now := time.Unix(1000, 0)
	g.Expect(o.note(now)).To(BeZero())
	g.Expect(o.note(now.Add(time.Second))).To(Equal(time.Second))
	g.Expect(o.note(now.Add(10*time.Second))).To(BeZero(), "an earlier outage has ended")
}
