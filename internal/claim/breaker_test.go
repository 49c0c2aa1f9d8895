package claim

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("breaker", func() {
	now := time.Unix(0, 0)

	It("refuses after consecutive failures until the wait has passed", func() {
		var b breaker
		refused := func(at time.Time) bool { _, refused := b.open(at); return refused }
		b.failed(now, time.Second)
		Expect(refused(now)).To(BeFalse())
		b.failed(now, time.Second)
		wait, _ := b.open(now.Add(400 * time.Millisecond))
		Expect(wait).To(Equal(600 * time.Millisecond))
		Expect(refused(now.Add(time.Second))).To(BeFalse())
		b.attemptStarted(now.Add(time.Second), time.Second)
		Expect(refused(now.Add(time.Second))).To(BeTrue(), "one batch probes for all")
		b.succeeded()
		Expect(refused(now.Add(time.Second))).To(BeFalse())
		b.attemptStarted(now, time.Second)
		Expect(refused(now)).To(BeFalse())
	})
})
