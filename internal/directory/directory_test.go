package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

var _ = Describe("Directory", func() {
	var (
		d   *directory.Directory
		now time.Time
	)
	endpoint := func(id string) routetable.Endpoint {
		return routetable.Endpoint{ID: id, Service: "s", Address: id + ":1", Slots: 1}
	}
	usable := func() []string {
		var ids []string
		for _, e := range d.Usable()["s"] {
			ids = append(ids, e.ID)
		}
		return ids
	}

	BeforeEach(func() {
		d, now = directory.New(), time.Unix(1000, 0)
		d.Put(endpoint("a"))
		d.Put(endpoint("b"))
	})

	It("drops a removed endpoint at once while the platform is available", func() {
		d.Remove(now, "a")
		Expect(usable()).To(ConsistOf("b"))
	})

	It("gives a draining endpoint no new work, also while the platform is unavailable", func() {
		d.PlatformUnavailable()
		draining := endpoint("a")
		draining.Draining = true
		d.Put(draining)
		Expect(usable()).To(ConsistOf("b"))
	})

	It("keeps endpoints that went missing during an outage until the grace period after it ends", func() {
		d.PlatformUnavailable()
		now = now.Add(10 * time.Second)
		d.PlatformAvailable(now)
		d.Replace(now, nil)
		Expect(usable()).To(ConsistOf("a", "b"))
		d.Put(endpoint("a"))
		Expect(d.Expire(now.Add(directory.ReturnGrace - time.Millisecond))).To(BeEmpty())
		Expect(d.Expire(now.Add(directory.ReturnGrace))).To(ConsistOf("b"))
		Expect(usable()).To(ConsistOf("a"))
	})

	// Guards against DRAIN: missing entries were dropped by a sweep up to 0.5 s after their grace period.
	It("says when missing entries are due to be dropped", func() {
		due := func() time.Duration {
			in, due := d.ExpiresIn(now)
			Expect(due).To(BeTrue())
			return in
		}
		d.PlatformUnavailable()
		d.Remove(now, "a")
		_, expires := d.ExpiresIn(now)
		Expect(expires).To(BeFalse(), "not during the outage")
		now = now.Add(10 * time.Second)
		d.PlatformAvailable(now)
		Expect(due()).To(Equal(directory.ReturnGrace))
		now = now.Add(directory.ReturnGrace - time.Millisecond)
		Expect(due()).To(Equal(time.Millisecond))
		now = now.Add(time.Second)
		Expect(due()).To(BeZero())
		Expect(d.Expire(now)).To(ConsistOf("a"))
		_, expires = d.ExpiresIn(now)
		Expect(expires).To(BeFalse())
	})

	It("removes an endpoint that a peer does not list, also while the platform is unavailable", func() {
		d.PlatformUnavailable()
		d.Apply(directory.Delta{Full: true, Endpoints: []routetable.Endpoint{endpoint("b")}})
		Expect(usable()).To(ConsistOf("b"))
	})

	It("neither adds nor updates an endpoint that is missing at a peer", func() {
		draining := endpoint("a")
		draining.Draining = true
		d.Put(draining)
		d.Apply(directory.Delta{Full: true, Endpoints: []routetable.Endpoint{endpoint("a"), endpoint("b"), endpoint("c")}, Missing: []string{"a", "b", "c"}})
		Expect(usable()).To(ConsistOf("b"), "a drains, and c may have been removed since")
		Expect(d.Missing()).To(BeEmpty())
		empty := directory.New()
		empty.Apply(directory.Delta{Full: true, Endpoints: []routetable.Endpoint{endpoint("c")}, Missing: []string{"c"}})
		Expect(empty.Usable()["s"]).To(HaveLen(1), "a daemon without endpoints adds missing ones too")
	})

	It("keeps an endpoint out of use that a peer of an earlier build takes from an odd entry, and stays in step with it", func() {
		odd := endpoint("odd")
		odd.Address, odd.Slots, odd.StartedAt = "b:1", 1<<62, 1<<62
		peer := directory.New()
		for _, e := range []routetable.Endpoint{endpoint("a"), endpoint("b"), odd} {
			peer.Put(e)
		}
		Expect(d.Apply(peer.DeltaSince(directory.Version{}))).To(BeTrue(), "the lists match")
		Expect(usable()).To(ConsistOf("a", "b"))
		Expect(d.Endpoints()).To(ConsistOf(endpoint("a"), endpoint("b")))
		found, _ := d.Find("b:1")
		Expect(found).To(Equal(endpoint("b")))
		third := directory.New()
		Expect(third.Apply(d.DeltaSince(directory.Version{}))).To(BeTrue())
		odd.Slots, odd.StartedAt = 1, 7
		peer.Put(odd)
		Expect(d.Apply(peer.DeltaSince(directory.Version{}))).To(BeTrue())
		Expect(usable()).To(ConsistOf("a", "odd"), "it is usable once its values are within bounds")
	})

	It("uses all endpoints of an address that started last, as one may be a copy that another writer left", func() {
		copied := endpoint("copy")
		copied.Address = "a:1"
		d.Put(copied)
		Expect(usable()).To(ConsistOf("a", "b", "copy"))
		copied.Draining = true
		d.Put(copied)
		Expect(usable()).To(ConsistOf("a", "b"))
		later := endpoint("later")
		later.Address, later.StartedAt = "a:1", 7
		d.Put(later)
		Expect(usable()).To(ConsistOf("b", "later"))
	})

	It("reports the missing endpoints that may still return", func() {
		d.PlatformUnavailable()
		d.PlatformAvailable(now)
		d.Replace(now, []routetable.Endpoint{endpoint("a")})
		Expect(d.Missing()).To(ConsistOf("b"))
		Expect(d.Endpoints()).To(HaveLen(2))
	})

	It("does not keep an endpoint that drained and then went missing during an outage", func() {
		draining := endpoint("a")
		draining.Draining = true
		d.Put(draining)
		d.PlatformUnavailable()
		d.PlatformAvailable(now)
		d.Replace(now, []routetable.Endpoint{endpoint("b")})
		Expect(usable()).To(ConsistOf("b"))
		Expect(d.Endpoints()).To(HaveLen(1))
	})

	It("keeps missing endpoints throughout a second outage of the platform", func() {
		d.PlatformUnavailable()
		d.PlatformAvailable(now)
		d.Replace(now, nil)
		d.PlatformUnavailable()
		Expect(d.Expire(now.Add(time.Hour))).To(BeEmpty())
	})

	It("takes from an older copy no endpoint that drains or has left, and keeps those that it lacks", func() {
		draining, left := endpoint("a"), endpoint("b")
		draining.Draining = true
		d.Put(endpoint("since"))
		d.Put(draining)
		d.Remove(now, "b")
		d.ReplaceFromCopy(now, []routetable.Endpoint{endpoint("a"), left, endpoint("c")})
		Expect(usable()).To(ConsistOf("since", "c"))

		By("following what the endpoints write themselves afterwards")
		d.Put(left)
		Expect(usable()).To(ConsistOf("since", "c", "b"))
		Expect(d.Expire(now.Add(directory.ReturnGrace / 2))).To(BeEmpty())
		Expect(d.Expire(now.Add(2 * directory.ReturnGrace))).To(ConsistOf("since"))
	})

	It("takes from an older copy an endpoint whose process started after the one that left", func() {
		restarted := endpoint("b")
		restarted.StartedAt = 7
		d.Remove(now, "b")
		d.ReplaceFromCopy(now, []routetable.Endpoint{endpoint("a"), restarted})
		Expect(usable()).To(ConsistOf("a", "b"))
	})

	It("uses the endpoint that started last of two with the same address", func() {
		old, newer := endpoint("a"), endpoint("c")
		old.StartedAt, newer.StartedAt, newer.Address = 1, 2, old.Address
		d.Put(old)
		d.Put(newer)
		Expect(usable()).To(ConsistOf("b", "c"))
	})
})
