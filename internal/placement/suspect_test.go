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
	// crashAfter is how long the poison request runs before its endpoint crashes.
	crashAfter = 300 * time.Millisecond
	// answerTime is how long any other request runs.
	answerTime = 2 * time.Second
	tick       = 100 * time.Millisecond
)

// job is one request that is sent, and sent again when its endpoint crashes.
type job struct {
	digest  string
	id      string
	sent    time.Time
	done    bool
	blocked bool
}

// incident runs jobs on a fleet, on a virtual clock. Each endpoint that runs a
// poison request crashes, with all that runs on it.
type incident struct {
	*world
	register *quarantine.Register
	jobs     []*job
	falls    int
}

func newIncident(cfg placement.Config, endpoints int) *incident {
	cfg.Quarantine = quarantine.New(quarantine.Config{})
	return &incident{world: newWorld(cfg, endpoints, 16), register: cfg.Quarantine}
}

func (i *incident) send(digest string) *job {
	j := &job{digest: digest}
	i.jobs = append(i.jobs, j)
	return j
}

// step places what waits, ends what has run for its time, and moves the clock.
func (i *incident) step() {
	for _, j := range i.jobs {
		if j.done || j.blocked || j.id != "" {
			continue
		}
		if i.Refuses(i.now, j.digest) {
			j.blocked = true
			continue
		}
		ask := routing.PermitRequest{Digest: j.digest, Repeatable: true, Suspect: i.register.State(i.now, j.digest) == quarantine.Suspect}
		if id, name := i.place(ask); name != "" {
			j.id, j.sent = id, i.now
		}
	}
	i.now = i.now.Add(tick)
	for _, j := range i.jobs {
		switch ran := i.now.Sub(j.sent); {
		case j.id == "":
		case j.digest == poison && ran >= crashAfter:
			i.crash(i.at[j.id])
		case ran >= answerTime:
			i.end(j.id, routing.ResultCompleted)
			j.done, j.id = true, ""
		}
	}
}

func (i *incident) crash(name string) {
	i.falls++
	for _, j := range i.jobs {
		if j.id != "" && i.at[j.id] == name {
			i.end(j.id, routing.ResultCrashed)
			j.id = ""
		}
	}
}

func (i *incident) runFor(d time.Duration) {
	for end := i.now.Add(d); i.now.Before(end); {
		i.step()
	}
}

var _ = Describe("A suspect", func() {
	It("runs alone, on an endpoint that is emptied for it", func() {
		i := newIncident(placement.Config{}, 2)
		i.fill(routing.PermitRequest{Repeatable: true})
		id, name := i.place(routing.PermitRequest{Digest: "s", Suspect: true})
		Expect(name).To(BeEmpty())
		for id := range i.at {
			i.end(id, routing.ResultCompleted)
			_, taken := i.place(routing.PermitRequest{Digest: "s", Suspect: true})
			if taken != "" {
				name = taken
				break
			}
			i.place(routing.PermitRequest{Repeatable: true})
		}
		Expect(name).NotTo(BeEmpty(), id)
		Expect(i.status(name).Running).To(Equal(1))
		i.ObserveCache(i.now, name, placement.CacheEvents{Sequence: 1, Stored: []uint64{5}})
		Expect(i.fill(routing.PermitRequest{Repeatable: true, Prefix: []uint64{5}})).NotTo(HaveKey(name))
	})

	It("waits for the copies of itself that still run", func() {
		i := newIncident(placement.Config{}, 4)
		i.place(routing.PermitRequest{Digest: "s"})
		i.register.Crashed(i.now, "e0009", []string{"s"})
		_, name := i.place(routing.PermitRequest{Digest: "s"})
		Expect(name).To(BeEmpty())
	})

	It("does not run on an endpoint that has only just crashed", func() {
		i := newIncident(placement.Config{}, 1)
		i.send("innocent")
		i.step()
		i.crash("e0000")
		i.now = i.now.Add(quarantine.DefaultSameCrash)
		_, name := i.place(routing.PermitRequest{Digest: "innocent", Repeatable: true})
		Expect(name).To(BeEmpty())
	})

	It("leaves its endpoint to the next suspect that waits", func() {
		i := newIncident(placement.Config{}, 1)
		first, name := i.place(routing.PermitRequest{Digest: "s", Suspect: true})
		Expect(name).NotTo(BeEmpty())
		i.place(routing.PermitRequest{Digest: "t", Suspect: true})
		i.end(first, routing.ResultCompleted)
		_, other := i.place(routing.PermitRequest{Repeatable: true})
		Expect(other).To(BeEmpty())
		_, next := i.place(routing.PermitRequest{Digest: "t", Suspect: true})
		Expect(next).To(Equal(name))
	})

	DescribeTable("closes an endpoint only if others can carry the load, or no higher tier runs",
		func(endpoints int, running, tier catalog.Tier, closes bool) {
			i := newIncident(placement.Config{}, endpoints)
			for range 24 {
				i.place(routing.PermitRequest{Repeatable: true, Tier: running})
			}
			i.place(routing.PermitRequest{Digest: "s", Suspect: true, Tier: tier})
			closed := lo.ContainsBy(i.Endpoints(i.now), func(s placement.EndpointStatus) bool { return s.ReservedForSuspect })
			Expect(closed).To(Equal(closes))
		},
		Entry("no room, a higher tier runs", 2, catalog.Tier(1), catalog.Tier(3), false),
		Entry("no room, the same tier runs", 2, catalog.Tier(1), catalog.Tier(1), true),
		Entry("no room, a lower tier runs", 2, catalog.Tier(3), catalog.Tier(2), true),
		Entry("room, a higher tier runs", 4, catalog.Tier(1), catalog.Tier(3), true),
	)

	It("gives the endpoint back when it asks no more", func() {
		i := newIncident(placement.Config{}, 1)
		i.place(routing.PermitRequest{Repeatable: true})
		i.place(routing.PermitRequest{Digest: "s", Suspect: true})
		_, name := i.place(routing.PermitRequest{Repeatable: true})
		Expect(name).To(BeEmpty())
		i.now = i.now.Add(placement.DefaultReserveFor)
		_, name = i.place(routing.PermitRequest{Repeatable: true})
		Expect(name).NotTo(BeEmpty())
	})

	It("is found by the register though the ask does not say so", func() {
		i := newIncident(placement.Config{}, 3)
		i.register.Crashed(i.now, "e0000", []string{"s", "t"})
		_, first := i.place(routing.PermitRequest{Digest: "s"})
		Expect(first).NotTo(BeEmpty())
		Expect(i.status(first).ReservedForSuspect).To(BeTrue())
		Expect(i.Constrained(i.now, routing.PermitRequest{Digest: "t"})).To(BeTrue())
	})

	It("runs when the only endpoint has crashed", func() {
		i := newIncident(placement.Config{}, 1)
		j := i.send("innocent")
		i.step()
		i.crash("e0000")
		Expect(i.status("e0000").Health).To(Equal(health.HalfOpen))
		i.runFor(20 * time.Second)
		Expect(j.done).To(BeTrue())
	})
})

var _ = Describe("Copies of a request", func() {
	It("stay on two endpoints until one copy has completed", func() {
		i := newIncident(placement.Config{}, 5)
		first, _ := i.place(routing.PermitRequest{Digest: "d", Repeatable: true})
		Expect(i.fill(routing.PermitRequest{Digest: "d", Repeatable: true})).To(HaveLen(2))
		i.end(first, routing.ResultCompleted)
		Expect(len(i.fill(routing.PermitRequest{Digest: "d", Repeatable: true}))).To(BeNumerically(">=", 3))
	})
})

// TestPoisonTakesTwoEndpoints sends a poison request by generated schedules, many
// at once and again and again, among requests that share its endpoints.
func TestPoisonTakesTwoEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := newIncident(placement.Config{}, rapid.IntRange(2, 9).Draw(t, "endpoints"))
		var innocent []*job
		for n := range rapid.IntRange(1, 30).Draw(t, "sends") {
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				i.send(poison)
			} else {
				innocent = append(innocent, i.send(fmt.Sprint("innocent", n)))
			}
			i.runFor(time.Duration(rapid.IntRange(0, 6).Draw(t, "gap")) * tick)
		}
		i.runFor(2 * time.Minute)
		if i.falls > 2 {
			t.Fatalf("%d endpoints fell", i.falls)
		}
		for _, j := range innocent {
			if !j.done || j.blocked {
				t.Fatalf("%s has no answer: %+v", j.digest, *j)
			}
		}
	})
}
