package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/estimate"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
	"github.com/primrosewell/primrosewell/internal/scheduling/check"
)

func TestScheduling(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scheduling")
}

// slotPlacer is a Placer with one endpoint that has a fixed number of slots.
type slotPlacer struct {
	total, busy int
	endpoints   int
	// unplaceable holds the IDs of requests that no endpoint can take.
	unplaceable map[string]bool
	// quarantined holds the digests in quarantine.
	quarantined map[string]bool
}

func (s *slotPlacer) Refuses(_ time.Time, digest string) bool { return s.quarantined[digest] }

func (s *slotPlacer) Place(_ time.Time, request routing.PermitRequest) (routing.Placement, bool) {
	if s.busy >= s.total || s.unplaceable[request.ID] {
		return routing.Placement{}, false
	}
	s.busy++
	return routing.Placement{Endpoint: catalog.Endpoint{Name: "e"}, Alternatives: 1, Reason: "free"}, true
}

func (s *slotPlacer) Done(time.Time, routing.Report)      { s.busy-- }
func (s *slotPlacer) Restore(time.Time, routing.Progress) { s.busy++ }

func (s *slotPlacer) Capacity(time.Time) routing.Capacity {
	return routing.Capacity{Slots: s.total, Busy: s.busy, Endpoints: s.endpoints}
}

// fixture is a pool under test with a clock and a recorded history.
type fixture struct {
	pool    *scheduling.Pool
	placer  *slotPlacer
	history *check.History
	now     time.Time
	grants  []string
	refused map[string]scheduling.Decision
}

func newFixture(slots int, change func(*scheduling.Config)) *fixture {
	f := &fixture{
		placer:  &slotPlacer{total: slots, endpoints: 1, unplaceable: map[string]bool{}, quarantined: map[string]bool{}},
		history: &check.History{},
		now:     time.Unix(1000, 0),
		refused: map[string]scheduling.Decision{},
	}
	cfg := scheduling.DefaultConfig()
	cfg.Recorder = f.history
	if change != nil {
		change(&cfg)
	}
	f.pool = scheduling.NewPool("p", cfg, f.placer, estimate.New(estimate.Config{}))
	return f
}

func (f *fixture) collect(decisions []scheduling.Decision) {
	for _, d := range decisions {
		if d.Kind == scheduling.Granted {
			f.grants = append(f.grants, d.Request.ID)
		} else {
			f.refused[d.Request.ID] = d
		}
	}
}

func (f *fixture) submit(requests ...routing.PermitRequest) {
	for _, request := range requests {
		f.collect(f.pool.Submit(f.now, request))
	}
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }
func (f *fixture) tick()                   { f.collect(f.pool.Tick(f.now)) }

// release reports the attempt with the given ID as completed after elapsed.
func (f *fixture) release(id string, elapsed time.Duration) {
	f.collect(f.pool.Release(f.now, routing.Report{
		AttemptID: id, Result: routing.ResultCompleted, Elapsed: elapsed, OutputTokens: 10,
	}))
}

// releaseAll releases the grants in order, including those made meanwhile.
func (f *fixture) releaseAll() {
	for i := 0; i < len(f.grants); i++ {
		f.release(f.grants[i], 10*time.Millisecond)
	}
}

func newRequest(id string, tier catalog.Tier) routing.PermitRequest {
	return routing.PermitRequest{
		ID: id, RequestID: id, Daemon: "d1", Pool: "p", Workspace: "w", Weight: 1,
		Profile: fmt.Sprint("tier", tier), Class: fmt.Sprint("tier", tier), Tier: tier,
		FloorPercent: 2, Target: catalog.Target{FirstTokenMS: 10_000}, MaxWait: 10 * time.Second, Attempt: 1,
	}
}

func expectNoViolations(f *fixture, complete bool) {
	GinkgoHelper()
	Expect(f.history.Verify(complete)).To(BeEmpty())
}
