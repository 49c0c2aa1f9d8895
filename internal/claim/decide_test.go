package claim

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("decide", func() {
	mine := Claim{Workspace: "w", Key: "k", Digest: "d", RequestID: "r", Incarnation: "i", Nonce: 1}
	other := Claim{Workspace: "w", Key: "k", Digest: "d", RequestID: "r", Incarnation: "i", Nonce: 2}
	mismatch := other
	mismatch.Digest = "d2"
	unnumbered := mine
	unnumbered.Nonce = 0

	DescribeTable("applies one request to the newest entry of its key",
		func(current *entry, r request, answer Result, appended bool) {
			known := map[string]entry{}
			if current != nil {
				known[mine.keyID()] = *current
			}
			answers, entries := decide(20, epochsKept, known, []request{r})
			Expect(answers).To(Equal([]Result{answer}))
			Expect(entries).To(HaveLen(map[bool]int{true: 1}[appended]))
			if appended {
				Expect(entries[0].Epoch).To(Equal(int64(20)))
				Expect(entries[0].Released).To(Equal(r.release))
			}
		},
		Entry("a free key", nil, request{claim: mine}, Result{Granted, mine}, true),
		Entry("its own claim", &entry{Claim: mine, Epoch: 20}, request{claim: mine}, Result{Granted, mine}, false),
		Entry("another call's claim", &entry{Claim: other, Epoch: 20}, request{claim: mine}, Result{Held, other}, false),
		Entry("another body", &entry{Claim: mismatch, Epoch: 20}, request{claim: mine}, Result{Mismatched, mismatch}, false),
		Entry("a released key", &entry{Claim: other, Epoch: 20, Released: true}, request{claim: mine}, Result{Granted, mine}, true),
		Entry("its own release, come before", &entry{Claim: mine, Epoch: 20, Released: true}, request{claim: mine}, Result{Held, mine}, false),
		Entry("the last epoch of the retention", &entry{Claim: other, Epoch: 8}, request{claim: mine}, Result{Held, other}, false),
		Entry("an expired claim", &entry{Claim: other, Epoch: 7}, request{claim: mine}, Result{Granted, mine}, true),
		Entry("release by the holder", &entry{Claim: mine, Epoch: 20}, request{claim: mine, release: true}, Result{}, true),
		Entry("release without a nonce", &entry{Claim: mine, Epoch: 20}, request{claim: unnumbered, release: true}, Result{}, true),
		Entry("release by another", &entry{Claim: other, Epoch: 20}, request{claim: mine, release: true, revoke: true}, Result{}, false),
		Entry("release of a free key", nil, request{claim: mine, release: true}, Result{}, false),
		Entry("revocation ahead of the claim", nil, request{claim: mine, release: true, revoke: true}, Result{}, true),
	)

	It("applies a batch in order", func() {
		answers, entries := decide(0, epochsKept, map[string]entry{}, []request{
			{claim: mine}, {claim: other}, {claim: mine, release: true}, {claim: other},
		})
		Expect(answers).To(Equal([]Result{{Granted, mine}, {Held, mine}, {}, {Granted, other}}))
		Expect(entries).To(HaveLen(3))
	})
})
