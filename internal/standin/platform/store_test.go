package platformstandin_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/platform"
	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

const collection = "config"

func object(name, data string) platform.Object {
	return platform.Object{Collection: collection, Name: name, Data: []byte(data)}
}

var _ = Describe("the in-process store", func() {
	var (
		ctx    context.Context
		clock  *clockwork.FakeClock
		server *platformstandin.Server
		store  platform.Store
	)

	BeforeEach(func() {
		ctx = context.Background()
		clock = clockwork.NewFakeClock()
		server = platformstandin.New(platformstandin.Options{Clock: clock, History: 5})
		store = server.Store()
	})

	create := func(name, data string) platform.Object {
		o, err := store.Create(ctx, object(name, data))
		Expect(err).NotTo(HaveOccurred())
		return o
	}

	It("writes only if the version matches, with one version counter for all collections", func() {
		a := create("a", "1")
		b, err := store.Create(ctx, platform.Object{Collection: "claims", Name: "b"})
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Version).To(Equal(a.Version + 1))
		_, err = store.Create(ctx, object("a", "2"))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Exists))
		_, err = store.Update(ctx, platform.Object{Collection: collection, Name: "a", Version: b.Version})
		Expect(platform.ReasonOf(err)).To(Equal(platform.Conflict))
		a.Data = []byte("2")
		a, err = store.Update(ctx, a)
		Expect(err).NotTo(HaveOccurred())
		Expect(platform.ReasonOf(store.Delete(ctx, collection, "a", a.Version-1))).To(Equal(platform.Conflict))
		Expect(store.Delete(ctx, collection, "a", a.Version)).To(Succeed())
		_, err = store.Get(ctx, collection, "a")
		Expect(platform.ReasonOf(err)).To(Equal(platform.NotFound))
	})

	It("lists by prefix and returns the version of the list", func() {
		create("p.1", "")
		create("q.1", "")
		last := create("p.2", "")
		list, err := store.List(ctx, collection, "p.")
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Version).To(Equal(last.Version))
		Expect(lo.Map(list.Items, func(o platform.Object, _ int) string { return o.Name })).To(Equal([]string{"p.1", "p.2"}))
	})

	It("delivers changes in order, and fails with TooOld when the version was compacted away", func() {
		w, err := store.Watch(ctx, collection, 0)
		Expect(err).NotTo(HaveOccurred())
		o := create("a", "1")
		Expect(store.Delete(ctx, collection, "a", o.Version)).To(Succeed())
		e, err := w.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Object).To(Equal(o))
		e, err = w.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Type).To(Equal(platform.Deleted))
		for _, name := range []string{"b", "c", "d", "e", "f", "g"} {
			create(name, "")
		}
		_, err = w.Next(ctx)
		Expect(platform.ReasonOf(err)).To(Equal(platform.TooOld))
		_, err = store.Watch(ctx, collection, 1)
		Expect(platform.ReasonOf(err)).To(Equal(platform.TooOld))
	})

	It("ends watches and hides changes from them", func() {
		w, err := store.Watch(ctx, collection, 0)
		Expect(err).NotTo(HaveOccurred())
		server.SetFaults(platformstandin.Faults{SkipEvents: 1})
		create("a", "")
		create("b", "")
		e, err := w.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Object.Name).To(Equal("b"))
		server.SetFaults(platformstandin.Faults{CutWatches: true})
		_, err = w.Next(ctx)
		Expect(platform.ReasonOf(err)).To(Equal(platform.WatchEnded))
	})

	It("applies a write whose response is lost", func() {
		server.SetFaults(platformstandin.Faults{LoseReplies: 1})
		_, err := store.Create(ctx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Uncertain))
		_, err = store.Get(ctx, collection, "a")
		Expect(err).NotTo(HaveOccurred())
	})

	It("applies no write during an outage", func() {
		server.SetFaults(platformstandin.Faults{Outage: platformstandin.OutageRefuse})
		_, err := store.Create(ctx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Unavailable))
		server.SetFaults(platformstandin.Faults{Outage: platformstandin.OutageHang})
		shortCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		_, err = store.Create(shortCtx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Uncertain))
		server.SetFaults(platformstandin.Faults{})
		_, err = store.Get(ctx, collection, "a")
		Expect(platform.ReasonOf(err)).To(Equal(platform.NotFound))
	})

	It("applies a delayed write after its client has disconnected", func() {
		server.SetFaults(platformstandin.Faults{DelayMS: 1000})
		shortCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		_, err := store.Create(shortCtx, object("a", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.Uncertain))
		clock.Advance(time.Second)
		server.SetFaults(platformstandin.Faults{})
		Eventually(func() error { _, err := store.Get(ctx, collection, "a"); return err }).Should(Succeed())
	})

	It("serves stale reads by version and by age, but checks writes against the current version", func() {
		o := create("a", "1")
		clock.Advance(time.Second)
		o.Data = []byte("2")
		o, err := store.Update(ctx, o)
		Expect(err).NotTo(HaveOccurred())
		read := func() string {
			got, err := store.Get(ctx, collection, "a")
			Expect(err).NotTo(HaveOccurred())
			return string(got.Data)
		}
		server.SetFaults(platformstandin.Faults{StaleVersions: 1})
		Expect(read()).To(Equal("1"))
		server.SetFaults(platformstandin.Faults{StaleMS: 500})
		Expect(read()).To(Equal("1"))
		_, err = store.Update(ctx, o)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(time.Second)
		Expect(read()).To(Equal("2"))
	})

	It("limits the rate of writes independently of reads", func() {
		server.SetFaults(platformstandin.Faults{WritesPerSecond: 1})
		create("a", "")
		_, err := store.Create(ctx, object("b", ""))
		Expect(platform.ReasonOf(err)).To(Equal(platform.RateLimited))
		_, err = store.Get(ctx, collection, "a")
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(time.Second)
		create("b", "")
		Expect(server.Stats()).To(HaveKeyWithValue("create", int64(3)))
	})

	It("returns a new list of VMs after the lag", func() {
		server.SetVMs([]platform.VM{{Name: "vm-1"}}, time.Second)
		Expect(store.VMs(ctx)).To(BeEmpty())
		clock.Advance(time.Second)
		Expect(store.VMs(ctx)).To(HaveLen(1))
	})
})
