package placement_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/routing"
)

var start = time.Unix(1_700_000_000, 0)

// world drives one fleet and remembers what it placed.
type world struct {
	*placement.Fleet
	now       time.Time
	endpoints []catalog.Endpoint
	asks      int
	at        map[string]string
}

func newWorld(cfg placement.Config, endpoints, maxConcurrent int) *world {
	w := &world{
		Fleet:     placement.NewFleet(cfg, rand.New(rand.NewPCG(1, 2))),
		now:       start,
		endpoints: makeEndpoints(endpoints, maxConcurrent),
		at:        map[string]string{},
	}
	w.Update(w.now, w.endpoints, nil)
	return w
}

// place asks for an endpoint; the name is empty if there was none.
func (w *world) place(ask routing.PermitRequest) (id, name string) {
	w.asks++
	ask.ID = fmt.Sprintf("a%d", w.asks)
	if ask.Daemon == "" {
		ask.Daemon = fmt.Sprintf("daemon%d", w.asks%3)
	}
	p, ok := w.Place(w.now, ask)
	if !ok {
		return ask.ID, ""
	}
	w.at[ask.ID] = p.Endpoint.Name
	return ask.ID, p.Endpoint.Name
}

func (w *world) end(id string, result routing.Result) {
	r := routing.Report{AttemptID: id, Endpoint: w.at[id], Result: result}
	if result == routing.ResultCompleted {
		r.FirstToken, r.TokenGap, r.Elapsed, r.OutputTokens = 200*time.Millisecond, 20*time.Millisecond, time.Second, 40
	}
	w.Done(w.now, r)
}

func (w *world) status(name string) placement.EndpointStatus {
	for _, s := range w.Endpoints(w.now) {
		if s.Endpoint.Name == name {
			return s
		}
	}
	Fail("no endpoint " + name)
	return placement.EndpointStatus{}
}

// fill places asks until no endpoint is free and returns how many each got.
func (w *world) fill(ask routing.PermitRequest) map[string]int {
	const tooMany = 10_000
	count := map[string]int{}
	for range tooMany {
		_, name := w.place(ask)
		if name == "" {
			return count
		}
		count[name]++
	}
	Fail("no limit holds")
	return count
}

var repeatable = routing.PermitRequest{Repeatable: true}

var _ = Describe("Fleet", func() {
	It("fills every endpoint to its limit and no further", func() {
		w := newWorld(placement.Config{}, 3, 4)
		Expect(w.fill(repeatable)).To(Equal(map[string]int{"e0000": 4, "e0001": 4, "e0002": 4}))
		Expect(w.Capacity(w.now)).To(And(HaveField("Slots", 12), HaveField("Busy", 12), HaveField("Endpoints", 3)))
	})

	It("finds every free slot of a pool that is larger than its sample", func() {
		w := newWorld(placement.Config{}, 100, 4)
		count := w.fill(repeatable)
		Expect(count).To(HaveLen(100))
		Expect(lo.Sum(lo.Values(count))).To(Equal(400))
	})

	It("spreads equal choices over all endpoints", func() {
		w := newWorld(placement.Config{}, 4, 4)
		count := map[string]int{}
		for range 400 {
			id, name := w.place(repeatable)
			count[name]++
			w.end(id, routing.ResultCancelled)
		}
		Expect(lo.Min(lo.Values(count))).To(BeNumerically(">", 50))
		Expect(count).To(HaveLen(4))
	})

	It("gives a faster engine more", func() {
		w := newWorld(placement.Config{}, 2, 20)
		for range 100 {
			id, name := w.place(repeatable)
			report := routing.Report{AttemptID: id, Result: routing.ResultCompleted, Elapsed: time.Second, TokenGap: 20 * time.Millisecond}
			if name == "e0000" {
				report.TokenGap *= 2
			}
			w.Done(w.now, report)
		}
		for range 20 {
			w.place(repeatable)
		}
		Expect(w.status("e0001").Running).To(BeNumerically(">", w.status("e0000").Running+1))
	})

	It("keeps its counts when used by many at once", func() {
		w := newWorld(placement.Config{}, 5, 8)
		var group sync.WaitGroup
		for g := range 8 {
			group.Go(func() {
				for i := range 300 {
					id := fmt.Sprint(g, "-", i)
					_, ok := w.Place(start, routing.PermitRequest{ID: id, Digest: id, Repeatable: true})
					w.Restore(start, routing.Progress{AttemptID: id, Endpoint: "none"})
					w.Capacity(start)
					if ok {
						w.Done(start, routing.Report{AttemptID: id, Result: routing.ResultCompleted})
					}
				}
			})
		}
		group.Wait()
		Expect(w.Capacity(start)).To(And(HaveField("Busy", 0), HaveField("Slots", 40)))
	})

	DescribeTable("gives an endpoint that leaves no new work",
		func(leave func(w *world)) {
			w := newWorld(placement.Config{}, 2, 4)
			w.ObserveCache(w.now, "e0000", placement.CacheEvents{Sequence: 1, Stored: []uint64{5}})
			leave(w)
			Expect(w.fill(routing.PermitRequest{Repeatable: true, Prefix: []uint64{5}})).To(Equal(map[string]int{"e0001": 4}))
			Expect(w.Capacity(w.now).Endpoints).To(Equal(1))
		},
		Entry("by the list, IP number", func(w *world) { w.Update(w.now, w.endpoints, map[string]bool{"10.0.0.0": true}) }),
		Entry("by the list, address", func(w *world) { w.Update(w.now, w.endpoints, map[string]bool{"10.0.0.0:8000": true}) }),
		Entry("by the list, name", func(w *world) { w.Update(w.now, w.endpoints, map[string]bool{"e0000": true}) }),
		Entry("by its own word", func(w *world) { w.ObserveLoad(w.now, routing.Load{Endpoint: "e0000", Leaving: true}) }),
		Entry("by its own word, then an older report", func(w *world) {
			w.ObserveLoad(w.now, routing.Load{Endpoint: "e0000", Leaving: true})
			w.ObserveLoad(w.now, routing.Load{Endpoint: "e0000", Age: 5 * time.Second})
		}),
		Entry("by the configuration", func(w *world) {
			w.endpoints[0].Leaving = true
			w.Update(w.now, w.endpoints, nil)
		}),
		Entry("removed from the configuration", func(w *world) { w.Update(w.now, w.endpoints[1:], nil) }),
	)

	It("takes an endpoint of another address for another endpoint, and keeps the old one until its work ends", func() {
		w := newWorld(placement.Config{}, 1, 4)
		id, _ := w.place(repeatable)
		moved := makeEndpoints(1, 4)
		moved[0].Address = "10.9.9.9:8000"
		w.Update(w.now, moved, nil)
		Expect(w.Endpoints(w.now)).To(HaveLen(2))
		p, ok := w.Place(w.now, routing.PermitRequest{ID: "new"})
		Expect(ok).To(BeTrue())
		Expect(p.Endpoint.Address).To(Equal(moved[0].Address))
		w.end(id, routing.ResultCompleted)
		Expect(w.Endpoints(w.now)).To(HaveLen(1))
	})

	It("starts an endpoint that joins slowly", func() {
		w := newWorld(placement.Config{}, 1, 40)
		w.Update(w.now, makeEndpoints(2, 40), nil)
		Expect(w.fill(repeatable)).To(HaveKeyWithValue("e0001", 4))
		w.now = w.now.Add(10 * time.Second)
		w.fill(repeatable)
		Expect(w.status("e0001").Running).To(Equal(40))
	})

	It("prefers the endpoint with the prefix until it is much busier", func() {
		w := newWorld(placement.Config{}, 4, 10)
		ask := routing.PermitRequest{Repeatable: true, Prefix: []uint64{1, 2, 3, 4}}
		_, first := w.place(ask)
		_, second := w.place(ask)
		Expect(second).To(Equal(first))
		Expect(len(w.fill(ask))).To(Equal(4), "a hot prefix spills over to the others")
	})

	It("spreads a hot prefix before its endpoint is full", func() {
		w := newWorld(placement.Config{}, 4, 10)
		ask := routing.PermitRequest{Repeatable: true, Prefix: []uint64{1, 2, 3, 4}}
		_, first := w.place(ask)
		for range 19 {
			w.place(ask)
		}
		Expect(w.status(first).Running).To(BeNumerically("<", 10))
	})

	It("forgets what an engine has cached when its events have a gap", func() {
		w := newWorld(placement.Config{}, 4, 10)
		w.ObserveCache(w.now, "e0002", placement.CacheEvents{Sequence: 1, Stored: []uint64{7, 8}})
		p, _ := w.Place(w.now, routing.PermitRequest{ID: "x", Prefix: []uint64{7, 8}})
		Expect(p.Endpoint.Name).To(Equal("e0002"))
		Expect(p.Reason).To(Equal(placement.ReasonAffinity))
		w.Done(w.now, routing.Report{AttemptID: "x", Result: routing.ResultCancelled})
		w.ObserveCache(w.now, "e0002", placement.CacheEvents{Sequence: 3, Stored: []uint64{9}})
		p, _ = w.Place(w.now, routing.PermitRequest{ID: "y", Prefix: []uint64{7, 8}})
		Expect(p.Reason).To(Equal(placement.ReasonLoad))
		p, _ = w.Place(w.now, routing.PermitRequest{ID: "z", Prefix: []uint64{9}})
		Expect(p.Reason).To(Equal(placement.ReasonAffinity))
	})

	It("ignores cache events that come twice or late", func() {
		w := newWorld(placement.Config{}, 2, 10)
		for sequence := uint64(1); sequence <= 3; sequence++ {
			w.ObserveCache(w.now, "e0001", placement.CacheEvents{Sequence: sequence, Stored: []uint64{sequence}})
		}
		w.ObserveCache(w.now, "e0001", placement.CacheEvents{Sequence: 2, Evicted: []uint64{3}})
		p, _ := w.Place(w.now, routing.PermitRequest{ID: "x", Prefix: []uint64{3}})
		Expect(p.Reason).To(Equal(placement.ReasonAffinity))
	})

	It("avoids endpoints that were tried, unless nothing else is left", func() {
		w := newWorld(placement.Config{}, 2, 10)
		for range 10 {
			_, name := w.place(routing.PermitRequest{Avoid: []string{"e0000"}})
			Expect(name).To(Equal("e0001"))
		}
		_, name := w.place(routing.PermitRequest{Avoid: []string{"e0000"}})
		Expect(name).To(BeEmpty(), "e0001 is full, but will be free again")
		_, name = w.place(routing.PermitRequest{Avoid: []string{"e0000", "e0001"}})
		Expect(name).To(Equal("e0000"))
	})

	It("counts a restored grant once", func() {
		w := newWorld(placement.Config{}, 1, 3)
		for range 3 {
			w.Restore(w.now, routing.Progress{AttemptID: "old", Endpoint: "e0000", Elapsed: time.Second})
		}
		w.Restore(w.now, routing.Progress{AttemptID: "gone", Endpoint: "unknown"})
		Expect(w.Capacity(w.now).Busy).To(Equal(1))
		w.Done(w.now, routing.Report{AttemptID: "old", Result: routing.ResultCompleted})
		w.Done(w.now, routing.Report{AttemptID: "old", Result: routing.ResultCompleted})
		Expect(w.Capacity(w.now).Busy).To(Equal(0))
	})

	It("sends a crashed endpoint one probe, and keyed work last", func() {
		w := newWorld(placement.Config{}, 2, 8)
		var broken []string
		for range 16 {
			id, name := w.place(repeatable)
			if name == "e0000" {
				broken = append(broken, id)
			}
		}
		for _, id := range broken {
			w.end(id, routing.ResultCrashed)
		}
		Expect(w.status("e0000").Health).To(Equal(health.Ejected))
		Expect(w.fill(repeatable)).To(BeEmpty())
		w.now = w.now.Add(health.DefaultFailingBackOff)
		Expect(w.fill(routing.PermitRequest{})).To(BeEmpty(), "work that may not be repeated is no probe")
		Expect(w.fill(repeatable)).To(Equal(map[string]int{"e0000": 1}))
	})

	It("keeps the digests of one crash suspect although the reports come late", func() {
		register := quarantine.New(quarantine.Config{})
		w := newWorld(placement.Config{Quarantine: register}, 2, 8)
		var ids []string
		for i := range 4 {
			id, _ := w.place(routing.PermitRequest{Digest: fmt.Sprint(i), Avoid: []string{"e0001"}})
			ids = append(ids, id)
		}
		w.now = w.now.Add(time.Second)
		for i, id := range ids {
			w.end(id, routing.ResultCrashed)
			w.now = w.now.Add(10 * time.Second)
			Expect(register.State(w.now, fmt.Sprint(i))).To(Equal(quarantine.Suspect))
		}
	})
})
