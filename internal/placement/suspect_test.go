package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/routing"
)

const (
	poison = "poison"
	// crashAfter is the time from the start of a poison request to the crash of its endpoint.
	crashAfter = 300 * time.Millisecond
	// serviceTime is the run time of any other request.
	serviceTime = 2 * time.Second
	tick        = 100 * time.Millisecond
)

// job is one request, which is sent again each time its endpoint crashes.
type job struct {
	digest  string
	id      string
	sent    time.Time
	done    bool
	blocked bool
}

// simulation runs jobs on a fleet, on a virtual clock. Each endpoint that runs a poison
// request crashes, and all requests on it fail.
type simulation struct {
	*harness
	register *quarantine.Register
	jobs     []*job
	crashes  int
}

func newSimulation(cfg placement.Config, endpoints int) *simulation {
	cfg.Quarantine = quarantine.New(quarantine.Config{})
	return &simulation{harness: newHarness(cfg, endpoints, 16), register: cfg.Quarantine}
}

func (s *simulation) send(digest string) *job {
	j := &job{digest: digest}
	s.jobs = append(s.jobs, j)
	return j
}

// step places waiting jobs, advances the clock by one tick, and completes or crashes the
// jobs that are due.
func (s *simulation) step() {
	for _, j := range s.jobs {
		if j.done || j.blocked || j.id != "" {
			continue
		}
		if s.Refuses(s.now, j.digest) {
			j.blocked = true
			continue
		}
		request := routing.PermitRequest{Digest: j.digest, Repeatable: true, Suspect: s.register.State(s.now, j.digest) == quarantine.Suspect}
		if id, name := s.place(request); name != "" {
			j.id, j.sent = id, s.now
		}
	}
	s.now = s.now.Add(tick)
	for _, j := range s.jobs {
		switch ran := s.now.Sub(j.sent); {
		case j.id == "":
		case j.digest == poison && ran >= crashAfter:
			s.crash(s.placedOn[j.id])
		case ran >= serviceTime:
			s.end(j.id, routing.ResultCompleted)
			j.done, j.id = true, ""
		}
	}
}

func (s *simulation) crash(name string) {
	s.crashes++
	for _, j := range s.jobs {
		if j.id != "" && s.placedOn[j.id] == name {
			s.end(j.id, routing.ResultCrashed)
			j.id = ""
		}
	}
}

func (s *simulation) runFor(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

var _ = Describe("A suspect request", func() {
	It("runs isolated, on an endpoint that is drained for it", func() {
		s := newSimulation(placement.Config{}, 2)
		s.fill(routing.PermitRequest{Repeatable: true})
		id, name := s.place(routing.PermitRequest{Digest: "s", Suspect: true})
		Expect(name).To(BeEmpty())
		for id := range s.placedOn {
			s.end(id, routing.ResultCompleted)
			_, taken := s.place(routing.PermitRequest{Digest: "s", Suspect: true})
			if taken != "" {
				name = taken
				break
			}
			s.place(routing.PermitRequest{Repeatable: true})
		}
		Expect(name).NotTo(BeEmpty(), id)
		Expect(s.status(name).Running).To(Equal(1))
		s.ObserveCache(s.now, name, placement.CacheEvents{Sequence: 1, Stored: []uint64{5}})
		Expect(s.fill(routing.PermitRequest{Repeatable: true, Prefix: []uint64{5}})).NotTo(HaveKey(name))
	})

	It("waits for running copies of itself", func() {
		s := newSimulation(placement.Config{}, 4)
		s.place(routing.PermitRequest{Digest: "s"})
		s.register.Crashed(s.now, "e0009", []string{"s"})
		_, name := s.place(routing.PermitRequest{Digest: "s"})
		Expect(name).To(BeEmpty())
	})

	It("does not run on an endpoint that crashed a moment ago", func() {
		s := newSimulation(placement.Config{}, 1)
		s.send("harmless")
		s.step()
		s.crash("e0000")
		s.now = s.now.Add(quarantine.DefaultDedupWindow)
		_, name := s.place(routing.PermitRequest{Digest: "harmless", Repeatable: true})
		Expect(name).To(BeEmpty())
	})

	It("hands its endpoint to the next waiting suspect", func() {
		s := newSimulation(placement.Config{}, 1)
		first, name := s.place(routing.PermitRequest{Digest: "s", Suspect: true})
		Expect(name).NotTo(BeEmpty())
		s.place(routing.PermitRequest{Digest: "t", Suspect: true})
		s.end(first, routing.ResultCompleted)
		_, other := s.place(routing.PermitRequest{Repeatable: true})
		Expect(other).To(BeEmpty())
		_, next := s.place(routing.PermitRequest{Digest: "t", Suspect: true})
		Expect(next).To(Equal(name))
	})

	DescribeTable("reserves an endpoint only if the others have capacity, or no higher tier runs",
		func(endpoints int, running, tier catalog.Tier, wantReserved bool) {
			s := newSimulation(placement.Config{}, endpoints)
			for range 24 {
				s.place(routing.PermitRequest{Repeatable: true, Tier: running})
			}
			s.place(routing.PermitRequest{Digest: "s", Suspect: true, Tier: tier})
			reserved := lo.ContainsBy(s.Endpoints(s.now), func(status placement.EndpointStatus) bool { return status.ReservedForSuspect })
			Expect(reserved).To(Equal(wantReserved))
		},
		Entry("no capacity, a higher tier runs", 2, catalog.Tier(1), catalog.Tier(3), false),
		Entry("no capacity, the same tier runs", 2, catalog.Tier(1), catalog.Tier(1), true),
		Entry("no capacity, a lower tier runs", 2, catalog.Tier(3), catalog.Tier(2), true),
		Entry("capacity, a higher tier runs", 4, catalog.Tier(1), catalog.Tier(3), true),
	)

	It("loses its reservation when it sends no further permit requests", func() {
		s := newSimulation(placement.Config{}, 1)
		s.place(routing.PermitRequest{Repeatable: true})
		s.place(routing.PermitRequest{Digest: "s", Suspect: true})
		_, name := s.place(routing.PermitRequest{Repeatable: true})
		Expect(name).To(BeEmpty())
		s.now = s.now.Add(placement.DefaultReservationTimeout)
		_, name = s.place(routing.PermitRequest{Repeatable: true})
		Expect(name).NotTo(BeEmpty())
	})

	It("is recognised by the quarantine register if the permit request is not marked", func() {
		s := newSimulation(placement.Config{}, 3)
		s.register.Crashed(s.now, "e0000", []string{"s", "t"})
		_, first := s.place(routing.PermitRequest{Digest: "s"})
		Expect(first).NotTo(BeEmpty())
		Expect(s.status(first).ReservedForSuspect).To(BeTrue())
		Expect(s.Constrained(s.now, routing.PermitRequest{Digest: "t"})).To(BeTrue())
	})

	It("runs when the only endpoint has crashed", func() {
		s := newSimulation(placement.Config{}, 1)
		j := s.send("harmless")
		s.step()
		s.crash("e0000")
		Expect(s.status("e0000").Health).To(Equal(health.HalfOpen))
		s.runFor(20 * time.Second)
		Expect(j.done).To(BeTrue())
	})
})

var _ = Describe("Copies of a request", func() {
	It("stay on two endpoints until one copy has completed", func() {
		s := newSimulation(placement.Config{}, 5)
		first, _ := s.place(routing.PermitRequest{Digest: "d", Repeatable: true})
		Expect(s.fill(routing.PermitRequest{Digest: "d", Repeatable: true})).To(HaveLen(2))
		s.end(first, routing.ResultCompleted)
		Expect(len(s.fill(routing.PermitRequest{Digest: "d", Repeatable: true}))).To(BeNumerically(">=", 3))
	})
})

var _ = Describe("A poison request whose crash reports are late", func() {
	retry := func(avoid ...string) routing.PermitRequest {
		return routing.PermitRequest{Digest: poison, Repeatable: true, Avoid: avoid}
	}

	It("gets no third endpoint before the reports arrive, nor after", func() {
		s := newSimulation(placement.Config{}, 5)
		first, e := s.place(retry())
		second, f := s.place(retry(e))
		Expect(f).NotTo(Or(BeEmpty(), Equal(e)))
		_, third := s.place(retry(e, f))
		Expect(third).To(BeEmpty())
		s.end(second, routing.ResultCrashed)
		_, third = s.place(retry(e, f))
		Expect(third).To(BeEmpty())
		s.end(first, routing.ResultCrashed)
		_, third = s.place(retry(e, f))
		Expect(third).To(BeEmpty())
		Expect(s.Refuses(s.now, poison)).To(BeTrue())
	})

	It("is counted once for two copies on one endpoint, and placed on another", func() {
		s := newSimulation(placement.Config{}, 5)
		first, e := s.place(retry())
		s.now = s.now.Add(tick)
		second, f := s.place(retry())
		Expect(f).To(Equal(e), "a copy joins the running one")
		s.now = s.now.Add(tick)
		s.end(second, routing.ResultCrashed)
		s.end(first, routing.ResultCrashed)
		Expect(s.register.State(s.now, poison)).To(Equal(quarantine.Suspect))
		_, next := s.place(retry())
		Expect(next).NotTo(Or(BeEmpty(), Equal(e)))
		Expect(s.status(next).ReservedForSuspect).To(BeTrue())
	})
})

// TestPoisonCrashesAtMostTwoEndpoints sends copies of a poison request, by generated
// schedules, at the same time and repeatedly, among requests that share its endpoints.
// It guards against more than two crashes, and against requests that are blocked or never
// complete because a poison request crashed their endpoint.
func TestPoisonCrashesAtMostTwoEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(placement.Config{}, rapid.IntRange(2, 9).Draw(t, "endpoints"))
		var harmless []*job
		for n := range rapid.IntRange(1, 30).Draw(t, "sends") {
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				s.send(poison)
			} else {
				harmless = append(harmless, s.send(fmt.Sprint("harmless", n)))
			}
			s.runFor(time.Duration(rapid.IntRange(0, 6).Draw(t, "gap")) * tick)
		}
		s.runFor(2 * time.Minute)
		if s.crashes > 2 {
			t.Fatalf("%d endpoint crashes, at most 2 allowed", s.crashes)
		}
		for _, j := range harmless {
			if !j.done || j.blocked {
				t.Fatalf("%s was blocked or has no response: %+v", j.digest, *j)
			}
		}
	})
}

var _ = Describe("A poison request after a change of the broker", func() {
	It("crashes its only endpoint twice at most", func() {
		first := newSimulation(placement.Config{}, 1)
		first.send(poison)
		first.runFor(crashAfter)
		Expect(first.crashes).To(Equal(1))
		next := &simulation{harness: newHarness(placement.Config{Quarantine: first.register}, 1, 16), register: first.register}
		next.now = first.now
		next.send(poison)
		next.runFor(time.Minute)
		Expect(first.crashes + next.crashes).To(Equal(2))
	})
})
