package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/quarantine"
)

// Load pattern: many callers send the same content, endpoints crash for unrelated
// reasons, and the content is among the requests that fail at each crash (soak seed 505).
var _ = Describe("Register with content that completed before", func() {
	const digest = "GET /i/1"
	cfg := quarantine.Config{BlockThreshold: 3, CompletionTTL: 30 * time.Second, ProbeInterval: time.Second, MaxFailedProbes: 3}
	var r *quarantine.Register
	BeforeEach(func() { r = quarantine.New(cfg) })

	recordCrashes := func(r *quarantine.Register, at time.Time, endpoints ...string) {
		for _, e := range endpoints {
			r.Crashed(at, e, []string{digest})
		}
	}
	admitted := func(at time.Time) bool { return r.Admit(at, digest).Admitted }
	after := start.Add

	It("refuses content that never completed until its block expires", func() {
		recordCrashes(r, start, "e0", "e1", "e2")
		decision := r.Admit(after(time.Second), digest)
		Expect(decision.Admitted).To(BeFalse())
		Expect(decision.RetryAfter).To(Equal(quarantine.DefaultBlockFor - time.Second))
		r.Cleared(after(2*time.Second), digest)
		Expect(admitted(after(3*time.Second))).To(BeFalse(), "a completion does not lift the block of content without probes")
	})

	It("admits one probe per ProbeInterval for content that completed before the crashes", func() {
		r.Cleared(start, digest)
		recordCrashes(r, after(time.Second), "e0", "e1", "e2", "e3", "e4", "e5", "e6")
		decision := r.Admit(after(1500*time.Millisecond), digest)
		Expect(decision.Admitted).To(BeFalse(), "the first probe is due one interval after the block")
		Expect(decision.RetryAfter).To(Equal(500 * time.Millisecond))
		Expect(admitted(after(2 * time.Second))).To(BeTrue())
		Expect(admitted(after(2100*time.Millisecond))).To(BeFalse(), "the next probe is not due yet")
		Expect(admitted(after(3 * time.Second))).To(BeTrue())
	})

	It("is cleared by a completed probe, on this daemon and on those that merge its entries", func() {
		r.Cleared(start, digest)
		recordCrashes(r, after(time.Second), "e0", "e1", "e2")
		other := quarantine.New(cfg)
		other.Merge(after(time.Second), r.Entries(after(time.Second)))
		Expect(other.Admit(after(2*time.Second), digest).Admitted).To(BeFalse(), "the content did not complete on this daemon")
		Expect(admitted(after(2 * time.Second))).To(BeTrue())
		r.Cleared(after(2*time.Second), digest)
		Expect(admitted(after(2 * time.Second))).To(BeTrue())
		Expect(admitted(after(2 * time.Second))).To(BeTrue())
		other.Merge(after(2*time.Second), r.Entries(after(2*time.Second)))
		Expect(other.Admit(after(2*time.Second), digest).Admitted).To(BeTrue())
	})

	It("probes content that completed on this daemon when the crashes arrive by Merge", func() {
		r.Cleared(start, digest)
		other := quarantine.New(cfg)
		recordCrashes(other, after(time.Second), "e0", "e1", "e2")
		r.Merge(after(time.Second), other.Entries(after(time.Second)))
		Expect(admitted(after(1500 * time.Millisecond))).To(BeFalse())
		Expect(admitted(after(2 * time.Second))).To(BeTrue())
	})

	It("stops probing when MaxFailedProbes probes crash endpoints", func() {
		r.Cleared(start, digest)
		recordCrashes(r, after(time.Second), "e0", "e1", "e2")
		at := after(2 * time.Second)
		for range cfg.MaxFailedProbes {
			Expect(admitted(at)).To(BeTrue())
			recordCrashes(r, at, "e0")
			at = at.Add(time.Second)
		}
		Expect(admitted(at.Add(30 * time.Second))).To(BeFalse())
		r.Cleared(at, digest)
		Expect(admitted(at.Add(30*time.Second))).To(BeFalse(), "a late completion does not lift the block")
	})

	It("does not count crashes before a probe as failures of the probe", func() {
		r.Cleared(start, digest)
		recordCrashes(r, after(time.Second), "e0", "e1", "e2")
		recordCrashes(r, after(1100*time.Millisecond), "e3", "e4", "e5", "e6")
		Expect(admitted(after(3 * time.Second))).To(BeTrue())
		Expect(admitted(after(4*time.Second))).To(BeTrue(), "a probe without a result does not stop the next one")
		Expect(admitted(after(9 * time.Second))).To(BeTrue())
	})

	It("forgets a completion after at most twice CompletionTTL", func() {
		r.Cleared(start, digest)
		afterExpiry := after(2 * cfg.CompletionTTL)
		recordCrashes(r, afterExpiry, "e0", "e1", "e2")
		Expect(admitted(afterExpiry.Add(2 * time.Second))).To(BeFalse())
	})
})
