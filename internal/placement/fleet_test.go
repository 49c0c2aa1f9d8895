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

// harness drives one fleet on a virtual clock and records the placements.
type harness struct {
	*placement.Fleet
	now       time.Time
	endpoints []catalog.Endpoint
	requests  int
	placedOn  map[string]string
}

func newHarness(cfg placement.Config, endpoints, maxConcurrent int) *harness {
	h := &harness{
		Fleet:     placement.NewFleet(cfg, rand.New(rand.NewPCG(1, 2))),
		now:       start,
		endpoints: makeEndpoints(endpoints, maxConcurrent),
		placedOn:  map[string]string{},
	}
	h.Update(h.now, h.endpoints, nil)
	return h
}

// place requests an endpoint; the name is empty if none was available.
func (h *harness) place(request routing.PermitRequest) (id, name string) {
	h.requests++
	request.ID = fmt.Sprintf("a%d", h.requests)
	if request.Daemon == "" {
		request.Daemon = fmt.Sprintf("daemon%d", h.requests%3)
	}
	placed, ok := h.Place(h.now, request)
	if !ok {
		return request.ID, ""
	}
	h.placedOn[request.ID] = placed.Endpoint.Name
	return request.ID, placed.Endpoint.Name
}

func (h *harness) end(id string, result routing.Result) {
	r := routing.Report{AttemptID: id, Endpoint: h.placedOn[id], Result: result}
	if result == routing.ResultCompleted {
		r.FirstToken, r.TokenGap, r.Elapsed, r.OutputTokens = 200*time.Millisecond, 20*time.Millisecond, time.Second, 40
	}
	h.Done(h.now, r)
}

func (h *harness) status(name string) placement.EndpointStatus {
	for _, s := range h.Endpoints(h.now) {
		if s.Endpoint.Name == name {
			return s
		}
	}
	Fail("there is no endpoint " + name)
	return placement.EndpointStatus{}
}

// fill places requests until no endpoint is available and returns the count by endpoint.
func (h *harness) fill(request routing.PermitRequest) map[string]int {
	const tooMany = 10_000
	count := map[string]int{}
	for range tooMany {
		_, name := h.place(request)
		if name == "" {
			return count
		}
		count[name]++
	}
	Fail("the fleet placed more requests than all limits allow")
	return count
}

var repeatable = routing.PermitRequest{Repeatable: true}

var _ = Describe("Fleet", func() {
	It("fills every endpoint to its limit and no further", func() {
		h := newHarness(placement.Config{}, 3, 4)
		Expect(h.fill(repeatable)).To(Equal(map[string]int{"e0000": 4, "e0001": 4, "e0002": 4}))
		Expect(h.Capacity(h.now)).To(And(HaveField("Slots", 12), HaveField("Busy", 12), HaveField("Endpoints", 3)))
	})

	It("uses every free slot of a pool that is larger than the sample of a decision", func() {
		h := newHarness(placement.Config{}, 100, 4)
		count := h.fill(repeatable)
		Expect(count).To(HaveLen(100))
		Expect(lo.Sum(lo.Values(count))).To(Equal(400))
	})

	It("distributes requests over endpoints with equal scores", func() {
		h := newHarness(placement.Config{}, 4, 4)
		count := map[string]int{}
		for range 400 {
			id, name := h.place(repeatable)
			count[name]++
			h.end(id, routing.ResultCancelled)
		}
		Expect(lo.Min(lo.Values(count))).To(BeNumerically(">", 50))
		Expect(count).To(HaveLen(4))
	})

	It("places more requests on a faster engine", func() {
		h := newHarness(placement.Config{}, 2, 20)
		for range 100 {
			id, name := h.place(repeatable)
			report := routing.Report{AttemptID: id, Result: routing.ResultCompleted, Elapsed: time.Second, TokenGap: 20 * time.Millisecond}
			if name == "e0000" {
				report.TokenGap *= 2
			}
			h.Done(h.now, report)
		}
		for range 20 {
			h.place(repeatable)
		}
		Expect(h.status("e0001").Running).To(BeNumerically(">", h.status("e0000").Running+1))
	})

	It("keeps consistent counts under concurrent calls", func() {
		h := newHarness(placement.Config{}, 5, 8)
		var group sync.WaitGroup
		for g := range 8 {
			group.Go(func() {
				for i := range 300 {
					id := fmt.Sprint(g, "-", i)
					_, ok := h.Place(start, routing.PermitRequest{ID: id, Digest: id, Repeatable: true})
					h.Restore(start, routing.Progress{AttemptID: id, Endpoint: "none"})
					h.Capacity(start)
					if ok {
						h.Done(start, routing.Report{AttemptID: id, Result: routing.ResultCompleted})
					}
				}
			})
		}
		group.Wait()
		Expect(h.Capacity(start)).To(And(HaveField("Busy", 0), HaveField("Slots", 40)))
	})

	DescribeTable("places no new requests on a leaving endpoint",
		func(leave func(h *harness)) {
			h := newHarness(placement.Config{}, 2, 4)
			h.ObserveCache(h.now, "e0000", placement.CacheEvents{Sequence: 1, Stored: []uint64{5}})
			leave(h)
			Expect(h.fill(routing.PermitRequest{Repeatable: true, Prefix: []uint64{5}})).To(Equal(map[string]int{"e0001": 4}))
			Expect(h.Capacity(h.now).Endpoints).To(Equal(1))
		},
		Entry("by the platform's list, IP address", func(h *harness) { h.Update(h.now, h.endpoints, map[string]bool{"10.0.0.0": true}) }),
		Entry("by the platform's list, address", func(h *harness) { h.Update(h.now, h.endpoints, map[string]bool{"10.0.0.0:8000": true}) }),
		Entry("by the platform's list, name", func(h *harness) { h.Update(h.now, h.endpoints, map[string]bool{"e0000": true}) }),
		Entry("by its load report", func(h *harness) { h.ObserveLoad(h.now, routing.Load{Endpoint: "e0000", Leaving: true}) }),
		Entry("by its load report, followed by an older report", func(h *harness) {
			h.ObserveLoad(h.now, routing.Load{Endpoint: "e0000", Leaving: true})
			h.ObserveLoad(h.now, routing.Load{Endpoint: "e0000", Age: 5 * time.Second})
		}),
		Entry("by the configuration", func(h *harness) {
			h.endpoints[0].Leaving = true
			h.Update(h.now, h.endpoints, nil)
		}),
		Entry("removed from the configuration", func(h *harness) { h.Update(h.now, h.endpoints[1:], nil) }),
	)

	It("treats a changed address as a new endpoint, and keeps the old one until its requests end", func() {
		h := newHarness(placement.Config{}, 1, 4)
		id, _ := h.place(repeatable)
		moved := makeEndpoints(1, 4)
		moved[0].Address = "10.9.9.9:8000"
		h.Update(h.now, moved, nil)
		Expect(h.Endpoints(h.now)).To(HaveLen(2))
		p, ok := h.Place(h.now, routing.PermitRequest{ID: "new"})
		Expect(ok).To(BeTrue())
		Expect(p.Endpoint.Address).To(Equal(moved[0].Address))
		h.end(id, routing.ResultCompleted)
		Expect(h.Endpoints(h.now)).To(HaveLen(1))
	})

	It("applies a slow start to an endpoint that joins the pool", func() {
		h := newHarness(placement.Config{}, 1, 40)
		h.Update(h.now, makeEndpoints(2, 40), nil)
		Expect(h.fill(repeatable)).To(HaveKeyWithValue("e0001", 4))
		h.now = h.now.Add(10 * time.Second)
		h.fill(repeatable)
		Expect(h.status("e0001").Running).To(Equal(40))
	})

	It("prefers the endpoint with the prefix until it is much busier", func() {
		h := newHarness(placement.Config{}, 4, 10)
		request := routing.PermitRequest{Repeatable: true, Prefix: []uint64{1, 2, 3, 4}}
		_, first := h.place(request)
		_, second := h.place(request)
		Expect(second).To(Equal(first))
		Expect(len(h.fill(request))).To(Equal(4), "requests with a frequent prefix overflow to the other endpoints")
	})

	It("distributes a frequent prefix before its endpoint is full", func() {
		h := newHarness(placement.Config{}, 4, 10)
		request := routing.PermitRequest{Repeatable: true, Prefix: []uint64{1, 2, 3, 4}}
		_, first := h.place(request)
		for range 19 {
			h.place(request)
		}
		Expect(h.status(first).Running).To(BeNumerically("<", 10))
	})

	It("discards the cache index of an endpoint when its event sequence has a gap", func() {
		h := newHarness(placement.Config{}, 4, 10)
		h.ObserveCache(h.now, "e0002", placement.CacheEvents{Sequence: 1, Stored: []uint64{7, 8}})
		p, _ := h.Place(h.now, routing.PermitRequest{ID: "x", Prefix: []uint64{7, 8}})
		Expect(p.Endpoint.Name).To(Equal("e0002"))
		Expect(p.Reason).To(Equal(placement.ReasonAffinity))
		h.Done(h.now, routing.Report{AttemptID: "x", Result: routing.ResultCancelled})
		h.ObserveCache(h.now, "e0002", placement.CacheEvents{Sequence: 3, Stored: []uint64{9}})
		p, _ = h.Place(h.now, routing.PermitRequest{ID: "y", Prefix: []uint64{7, 8}})
		Expect(p.Reason).To(Equal(placement.ReasonLoad))
		p, _ = h.Place(h.now, routing.PermitRequest{ID: "z", Prefix: []uint64{9}})
		Expect(p.Reason).To(Equal(placement.ReasonAffinity))
	})

	It("ignores duplicate and late cache events", func() {
		h := newHarness(placement.Config{}, 2, 10)
		for sequence := uint64(1); sequence <= 3; sequence++ {
			h.ObserveCache(h.now, "e0001", placement.CacheEvents{Sequence: sequence, Stored: []uint64{sequence}})
		}
		h.ObserveCache(h.now, "e0001", placement.CacheEvents{Sequence: 2, Evicted: []uint64{3}})
		p, _ := h.Place(h.now, routing.PermitRequest{ID: "x", Prefix: []uint64{3}})
		Expect(p.Reason).To(Equal(placement.ReasonAffinity))
	})

	It("avoids endpoints that were tried, unless no other is eligible", func() {
		h := newHarness(placement.Config{}, 2, 10)
		for range 10 {
			_, name := h.place(routing.PermitRequest{Avoid: []string{"e0000"}})
			Expect(name).To(Equal("e0001"))
		}
		_, name := h.place(routing.PermitRequest{Avoid: []string{"e0000"}})
		Expect(name).To(BeEmpty(), "e0001 is full, but remains eligible")
		_, name = h.place(routing.PermitRequest{Avoid: []string{"e0000", "e0001"}})
		Expect(name).To(Equal("e0000"))
	})

	It("counts a restored grant once", func() {
		h := newHarness(placement.Config{}, 1, 3)
		for range 3 {
			h.Restore(h.now, routing.Progress{AttemptID: "old", Endpoint: "e0000", Elapsed: time.Second})
		}
		h.Restore(h.now, routing.Progress{AttemptID: "gone", Endpoint: "unknown"})
		Expect(h.Capacity(h.now).Busy).To(Equal(1))
		h.Done(h.now, routing.Report{AttemptID: "old", Result: routing.ResultCompleted})
		h.Done(h.now, routing.Report{AttemptID: "old", Result: routing.ResultCompleted})
		Expect(h.Capacity(h.now).Busy).To(Equal(0))
	})

	It("sends a crashed endpoint one probe, which must be repeatable at first", func() {
		h := newHarness(placement.Config{}, 2, 8)
		var ranOnCrashed []string
		for range 16 {
			id, name := h.place(repeatable)
			if name == "e0000" {
				ranOnCrashed = append(ranOnCrashed, id)
			}
		}
		for _, id := range ranOnCrashed {
			h.end(id, routing.ResultCrashed)
		}
		Expect(h.status("e0000").Health).To(Equal(health.Ejected))
		Expect(h.fill(repeatable)).To(BeEmpty())
		h.now = h.now.Add(health.DefaultFailingBackOff)
		Expect(h.fill(routing.PermitRequest{})).To(BeEmpty(), "a non-repeatable request is no probe at first")
		Expect(h.fill(repeatable)).To(Equal(map[string]int{"e0000": 1}))
	})

	It("counts late reports of one crash only once, so that its digests stay suspect", func() {
		register := quarantine.New(quarantine.Config{})
		h := newHarness(placement.Config{Quarantine: register}, 2, 8)
		var ids []string
		for i := range 4 {
			id, _ := h.place(routing.PermitRequest{Digest: fmt.Sprint(i), Avoid: []string{"e0001"}})
			ids = append(ids, id)
		}
		h.now = h.now.Add(time.Second)
		for i, id := range ids {
			h.end(id, routing.ResultCrashed)
			h.now = h.now.Add(10 * time.Second)
			Expect(register.State(h.now, fmt.Sprint(i))).To(Equal(quarantine.Suspect))
		}
	})
})
