package forward

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestMaxWait(t *testing.T) {
	g := NewWithT(t)
	limits := waitLimits{target: 2 * time.Second, timeout: 5 * time.Second}
	g.Expect(limits.maxWait(0)).To(Equal(2 * time.Second))
	g.Expect(limits.maxWait(500*time.Millisecond)).To(Equal(2*time.Second), "a hot spot")
	g.Expect(limits.maxWait(501*time.Millisecond)).To(Equal(500*time.Millisecond), "an overload")
	g.Expect(waitLimits{target: time.Second}.maxWait(time.Hour)).To(Equal(time.Second), "no timeout")
	g.Expect(waitLimits{target: time.Second, timeout: time.Minute}.maxWait(time.Hour)).To(Equal(time.Second))
}
