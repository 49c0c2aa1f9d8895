package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/quarantine"
)

// Load pattern: many callers send the same content, endpoints crash for a reason of
// their own, and the content is among the requests that break at each (soak seed 505).
var _ = Describe("Register with proven content", func() {
	const shared = "GET /i/1"
	cfg := quarantine.Config{BlockThreshold: 3, CompletionTTL: 30 * time.Second, ProbeInterval: time.Second, MaxFailedProbes: 3}
	var r *quarantine.Register
	BeforeEach(func() { r = quarantine.New(cfg) })

	crashed := func(r *quarantine.Register, at time.Time, endpoints ...string) {
		for _, e := range endpoints {
			r.Crashed(at, e, []string{shared})
		}
	}
	admits := func(at time.Time) bool { return r.Admit(at, shared).Admitted }
	after := start.Add

	It("refuses content that never completed until its block ends", func() {
		crashed(r, start, "e0", "e1", "e2")
		decision := r.Admit(after(time.Second), shared)
		Expect(decision.Admitted).To(BeFalse())
		Expect(decision.RetryAfter).To(Equal(quarantine.DefaultBlockFor - time.Second))
		r.Cleared(after(2*time.Second), shared)
		Expect(admits(after(3*time.Second))).To(BeFalse(), "a block of such content stands")
	})

	It("lets one request in a second through, of content that completed before the crashes", func() {
		r.Cleared(start, shared)
		crashed(r, after(time.Second), "e0", "e1", "e2", "e3", "e4", "e5", "e6")
		decision := r.Admit(after(1500*time.Millisecond), shared)
		Expect(decision.Admitted).To(BeFalse(), "the crashes have just come")
		Expect(decision.RetryAfter).To(Equal(500 * time.Millisecond))
		Expect(admits(after(2 * time.Second))).To(BeTrue())
		Expect(admits(after(2100*time.Millisecond))).To(BeFalse(), "one at a time")
		Expect(admits(after(3 * time.Second))).To(BeTrue())
	})

	It("is cleared by a whole answer, here and at the daemons that hear of it", func() {
		r.Cleared(start, shared)
		crashed(r, after(time.Second), "e0", "e1", "e2")
		other := quarantine.New(cfg)
		other.Merge(after(time.Second), r.Entries(after(time.Second)))
		Expect(other.Admit(after(2*time.Second), shared).Admitted).To(BeFalse(), "it has not seen the content complete")
		Expect(admits(after(2 * time.Second))).To(BeTrue())
		r.Cleared(after(2*time.Second), shared)
		Expect(admits(after(2 * time.Second))).To(BeTrue())
		Expect(admits(after(2 * time.Second))).To(BeTrue())
		other.Merge(after(2*time.Second), r.Entries(after(2*time.Second)))
		Expect(other.Admit(after(2*time.Second), shared).Admitted).To(BeTrue())
	})

	It("knows content that completed here when the crashes are heard of", func() {
		r.Cleared(start, shared)
		other := quarantine.New(cfg)
		crashed(other, after(time.Second), "e0", "e1", "e2")
		r.Merge(after(time.Second), other.Entries(after(time.Second)))
		Expect(admits(after(1500 * time.Millisecond))).To(BeFalse())
		Expect(admits(after(2 * time.Second))).To(BeTrue())
	})

	It("blocks for good when the requests let through crash endpoints too", func() {
		r.Cleared(start, shared)
		crashed(r, after(time.Second), "e0", "e1", "e2")
		at := after(2 * time.Second)
		for range cfg.MaxFailedProbes {
			Expect(admits(at)).To(BeTrue())
			crashed(r, at, "e0")
			at = at.Add(time.Second)
		}
		Expect(admits(at.Add(30 * time.Second))).To(BeFalse())
		r.Cleared(at, shared)
		Expect(admits(at.Add(30*time.Second))).To(BeFalse(), "a late answer does not lift it")
	})

	It("does not count what broke beside a request let through as that request's", func() {
		r.Cleared(start, shared)
		crashed(r, after(time.Second), "e0", "e1", "e2")
		crashed(r, after(1100*time.Millisecond), "e3", "e4", "e5", "e6")
		Expect(admits(after(3 * time.Second))).To(BeTrue())
		Expect(admits(after(4*time.Second))).To(BeTrue(), "nothing heard of the first one: the endpoints are away")
		Expect(admits(after(9 * time.Second))).To(BeTrue())
	})

	It("forgets that content completed", func() {
		r.Cleared(start, shared)
		late := after(2 * cfg.CompletionTTL)
		crashed(r, late, "e0", "e1", "e2")
		Expect(admits(late.Add(2 * time.Second))).To(BeFalse())
	})
})
