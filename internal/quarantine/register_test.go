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

	It("suspects what ran on a crashed endpoint and blocks it at the second crash", func() {
		r.Crashed(start, "e1", []string{poison, "innocent"})
		Expect(r.State(start, poison)).To(Equal(quarantine.Suspect))
		Expect(r.State(start, "innocent")).To(Equal(quarantine.Suspect))
		Expect(r.State(start, "elsewhere")).To(Equal(quarantine.Clear))
		r.Crashed(start.Add(time.Second), "e2", []string{poison})
		Expect(r.State(start, poison)).To(Equal(quarantine.Blocked))
	})

	It("counts the sightings of one crash once", func() {
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

	It("clears a suspect that completes, and keeps a block", func() {
		r.Crashed(start, "e1", []string{"innocent"})
		r.Cleared(start, "innocent")
		Expect(r.State(start, "innocent")).To(Equal(quarantine.Clear))
		r.Crashed(start, "e1", []string{poison})
		r.Crashed(start, "e2", []string{poison})
		r.Cleared(start, poison)
		Expect(r.State(start, poison)).To(Equal(quarantine.Blocked))
	})

	It("combines two daemons that saw one crash each", func() {
		other := quarantine.New(quarantine.Config{})
		r.Crashed(start, "e1", []string{poison})
		other.Crashed(start, "e2", []string{poison})
		r.Merge(start, other.Entries(start))
		other.Merge(start, r.Entries(start))
		Expect(r.State(start, poison)).To(Equal(quarantine.Blocked))
		Expect(other.State(start, poison)).To(Equal(quarantine.Blocked))
		late := start.Add(quarantine.DefaultBlockFor - time.Second)
		Expect(r.State(late, poison)).To(Equal(quarantine.Blocked), "the combined block stands for its full time")
	})

	It("counts one crash seen by two daemons once", func() {
		other := quarantine.New(quarantine.Config{})
		r.Crashed(start, "e1", []string{poison})
		other.Crashed(start, "e1", []string{poison})
		r.Merge(start, other.Entries(start))
		Expect(r.State(start, poison)).To(Equal(quarantine.Suspect))
	})

	It("does not bring a suspicion back with evidence from before the completion", func() {
		r.Crashed(start, "e1", []string{"innocent"})
		late := r.Entries(start)
		r.Cleared(start, "innocent")
		r.Merge(start, late)
		Expect(r.State(start, "innocent")).To(Equal(quarantine.Clear))
	})

	It("forgets a block after its time", func() {
		r.Crashed(start, "e1", []string{poison})
		r.Crashed(start, "e2", []string{poison})
		end := start.Add(quarantine.DefaultBlockFor)
		Expect(r.State(end.Add(-time.Nanosecond), poison)).To(Equal(quarantine.Blocked))
		Expect(r.State(end, poison)).To(Equal(quarantine.Clear))
		Expect(r.Entries(end)).To(BeEmpty())
	})

	It("stays within its bound and keeps blocks longest", func() {
		r = quarantine.New(quarantine.Config{MaxEntries: 64})
		r.Crashed(start, "e1", []string{poison})
		r.Crashed(start, "e2", []string{poison})
		for i := range 5000 {
			r.Crashed(start, "e3", []string{fmt.Sprintf("d%d", i)})
		}
		Expect(len(r.Entries(start))).To(BeNumerically("<=", 64))
		Expect(r.State(start, poison)).To(Equal(quarantine.Blocked))
	})

	It("hands out changes only", func() {
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
