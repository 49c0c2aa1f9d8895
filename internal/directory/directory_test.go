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
	row := func(id string) routetable.Endpoint {
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
		d.Put(row("a"))
		d.Put(row("b"))
	})

	It("drops a removed endpoint at once while the store serves", func() {
		d.Remove(now, "a")
		Expect(usable()).To(ConsistOf("b"))
	})

	It("gives a draining endpoint nothing new, also while the store is away", func() {
		d.PlatformUnavailable()
		draining := row("a")
		draining.Draining = true
		d.Put(draining)
		Expect(usable()).To(ConsistOf("b"))
	})

	It("keeps entries that lapsed during an outage until the grace after its end is over", func() {
		d.PlatformUnavailable()
		now = now.Add(10 * time.Second)
		d.PlatformAvailable(now)
		d.Replace(now, nil)
		Expect(usable()).To(ConsistOf("a", "b"))
		d.Put(row("a"))
		Expect(d.Expire(now.Add(directory.ReturnGrace - time.Millisecond))).To(BeEmpty())
		Expect(d.Expire(now.Add(directory.ReturnGrace))).To(ConsistOf("b"))
		Expect(usable()).To(ConsistOf("a"))
	})

	It("takes a peer's word that an entry is gone, also while the store is away", func() {
		d.PlatformUnavailable()
		d.Apply(directory.Delta{Full: true, Endpoints: []routetable.Endpoint{row("b")}})
		Expect(usable()).To(ConsistOf("b"))
	})

	It("keeps what a peer still waits for where it is known, and as it is known", func() {
		draining := row("a")
		draining.Draining = true
		d.Put(draining)
		d.Apply(directory.Delta{Full: true, Endpoints: []routetable.Endpoint{row("a"), row("b"), row("c")}, Lapsed: []string{"a", "b", "c"}})
		Expect(usable()).To(ConsistOf("b"), "a drains, and c may have been removed since")
		Expect(d.Lapsed()).To(BeEmpty())
		empty := directory.New()
		empty.Apply(directory.Delta{Full: true, Endpoints: []routetable.Endpoint{row("c")}, Lapsed: []string{"c"}})
		Expect(empty.Usable()["s"]).To(HaveLen(1), "a daemon that knows nothing takes what there is")
	})

	It("tells which entries it waits for", func() {
		d.PlatformUnavailable()
		d.PlatformAvailable(now)
		d.Replace(now, []routetable.Endpoint{row("a")})
		Expect(d.Lapsed()).To(ConsistOf("b"))
		Expect(d.Endpoints()).To(HaveLen(2))
	})

	It("does not bring an endpoint back that drained and then vanished during an outage", func() {
		draining := row("a")
		draining.Draining = true
		d.Put(draining)
		d.PlatformUnavailable()
		d.PlatformAvailable(now)
		d.Replace(now, []routetable.Endpoint{row("b")})
		Expect(usable()).To(ConsistOf("b"))
		Expect(d.Endpoints()).To(HaveLen(1))
	})

	It("keeps missing entries for as long as the store is away again", func() {
		d.PlatformUnavailable()
		d.PlatformAvailable(now)
		d.Replace(now, nil)
		d.PlatformUnavailable()
		Expect(d.Expire(now.Add(time.Hour))).To(BeEmpty())
	})

	It("uses the latest born of two rows with one address", func() {
		old, reborn := row("a"), row("c")
		old.StartedAt, reborn.StartedAt, reborn.Address = 1, 2, old.Address
		d.Put(old)
		d.Put(reborn)
		Expect(usable()).To(ConsistOf("b", "c"))
	})
})
