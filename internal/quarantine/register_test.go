package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/quarantine"
)

var start = time.Unix(1_700_000_000, 0)

const poison = "poison"

var _ = Describe("Register", func() {
	var r *quarantine.Register
	BeforeEach(func() { r = quarantine.New(quarantine.Config{}) })

	It("suspects the requests on a crashed endpoint and blocks a digest at its second crash", func() {
		r.Crashed(start, "e1", []string{poison, "innocent"})
		Expect(r.State(start, poison)).To(Equal(quarantine.Suspect))
		Expect(r.State(start, "innocent")).To(Equal(quarantine.Suspect))
		Expect(r.State(start, "elsewhere")).To(Equal(quarantine.Clear))
		r.Crashed(start.Add(time.Second), "e2", []string{poison})
		Expect(r.State(start, poison)).To(Equal(quarantine.Blocked))
	})

	It("counts several reports of one crash once", func() {
		r.Crashed(start, "e1", []string{poison})
		r.Crashed(start.Add(time.Second), "e1", []string{poison})
		Expect(r.State(start, poison)).To(Equal(quarantine.Suspect))
	})

	It("counts a later crash of the same endpoint again", func() {
		r.Crashed(start, "e1", []string{poison})
		later := start.Add(quarantine.DefaultDedupWindow)
		r.Crashed(later, "e1", []string{poison})
		Expect(r.State(later, poison)).To(Equal(quarantine.Blocked))
	})

	It("clears a suspect that completes, but not a blocked digest", func() {
		r.Crashed(start, "e1", []string{"innocent"})
		r.Cleared(start, "innocent")
		Expect(r.State(start, "innocent")).To(Equal(quarantine.Clear))
		r.Crashed(start, "e1", []string{poison})
		r.Crashed(start, "e2", []string{poison})
		r.Cleared(start, poison)
		Expect(r.State(start, poison)).To(Equal(quarantine.Blocked))
	})

	It("names the endpoints with a recent uncleared crash, merged evidence included", func() {
		other := quarantine.New(quarantine.Config{})
		other.Crashed(start, "e2", []string{poison})
		r.Crashed(start, "e1", []string{poison})
		later := start.Add(time.Second)
		r.Merge(later, other.Entries(later))
		Expect(r.CrashedSince(later, start, poison)).To(ConsistOf("e1", "e2"))
		Expect(r.CrashedSince(later, later, poison)).To(ConsistOf("e2"))
		Expect(r.CrashedSince(later, start, "elsewhere")).To(BeEmpty())
	})

	It("names no endpoint whose crash a completion cleared", func() {
		r.Crashed(start, "e1", []string{poison})
		r.Cleared(start, poison)
		Expect(r.CrashedSince(start, start, poison)).To(BeEmpty())
	})

	It("combines the evidence of two daemons that recorded one crash each", func() {
		other := quarantine.New(quarantine.Config{})
		r.Crashed(start, "e1", []string{poison})
		other.Crashed(start, "e2", []string{poison})
		r.Merge(start, other.Entries(start))
		other.Merge(start, r.Entries(start))
		Expect(r.State(start, poison)).To(Equal(quarantine.Blocked))
		Expect(other.State(start, poison)).To(Equal(quarantine.Blocked))
		afterExpiry := start.Add(quarantine.DefaultBlockFor - time.Second)
		Expect(r.State(afterExpiry, poison)).To(Equal(quarantine.Blocked), "the combined block lasts for the full BlockFor")
	})

	It("counts a crash recorded by two daemons once", func() {
		other := quarantine.New(quarantine.Config{})
		r.Crashed(start, "e1", []string{poison})
		other.Crashed(start, "e1", []string{poison})
		r.Merge(start, other.Entries(start))
		Expect(r.State(start, poison)).To(Equal(quarantine.Suspect))
	})

	It("ignores evidence from before a completion that arrives after it", func() {
		r.Crashed(start, "e1", []string{"innocent"})
		afterExpiry := r.Entries(start)
		r.Cleared(start, "innocent")
		r.Merge(start, afterExpiry)
		Expect(r.State(start, "innocent")).To(Equal(quarantine.Clear))
	})

	It("drops a block when it expires", func() {
		r.Crashed(start, "e1", []string{poison})
		r.Crashed(start, "e2", []string{poison})
		end := start.Add(quarantine.DefaultBlockFor)
		Expect(r.State(end.Add(-time.Nanosecond), poison)).To(Equal(quarantine.Blocked))
		Expect(r.State(end, poison)).To(Equal(quarantine.Clear))
		Expect(r.Entries(end)).To(BeEmpty())
	})

	It("stays within MaxEntries and evicts blocked digests last", func() {
		r = quarantine.New(quarantine.Config{MaxEntries: 64})
		r.Crashed(start, "e1", []string{poison})
		r.Crashed(start, "e2", []string{poison})
		for i := range 5000 {
			r.Crashed(start, "e3", []string{fmt.Sprintf("d%d", i)})
		}
		Expect(len(r.Entries(start))).To(BeNumerically("<=", 64))
		Expect(r.State(start, poison)).To(Equal(quarantine.Blocked))
	})

	It("returns only entries changed since a version", func() {
		r.Crashed(start, "e1", []string{"a"})
		_, version := r.EntriesSince(start, 0)
		none, _ := r.EntriesSince(start, version)
		Expect(none).To(BeEmpty())
		r.Crashed(start, "e1", []string{"b"})
		entries, _ := r.EntriesSince(start, version)
		Expect(entries).To(HaveLen(1))
		Expect(entries[0].Digest).To(Equal("b"))
	})

	It("ignores entries without evidence", func() {
		r.Merge(start, []quarantine.Entry{{Digest: "a", ExpiresIn: time.Hour}, {Digest: "", ExpiresIn: 1}, {Digest: "b"}})
		Expect(r.Entries(start)).To(BeEmpty())
	})
})
