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

// slots is a Placer with one endpoint of a fixed number of slots.
type slots struct {
	total, busy int
	endpoints   int
	// refuses lists asks that no endpoint takes.
	refuses map[string]bool
	// blocked lists digests in quarantine.
	blocked map[string]bool
}

func (s *slots) Refuses(_ time.Time, digest string) bool { return s.blocked[digest] }

func (s *slots) Place(_ time.Time, ask routing.PermitRequest) (routing.Placement, bool) {
	if s.busy >= s.total || s.refuses[ask.ID] {
		return routing.Placement{}, false
	}
	s.busy++
	return routing.Placement{Endpoint: catalog.Endpoint{Name: "e"}, Alternatives: 1, Reason: "free"}, true
}

func (s *slots) Done(time.Time, routing.Report)      { s.busy-- }
func (s *slots) Restore(time.Time, routing.Progress) { s.busy++ }

func (s *slots) Capacity(time.Time) routing.Capacity {
	return routing.Capacity{Slots: s.total, Busy: s.busy, Endpoints: s.endpoints}
}

// bed is a pool under test with a clock and a recorded history.
type bed struct {
	pool    *scheduling.Pool
	slots   *slots
	history *check.History
	now     time.Time
	grants  []string
	refused map[string]scheduling.Decision
}

func newBed(total int, change func(*scheduling.Config)) *bed {
	b := &bed{
		slots:   &slots{total: total, endpoints: 1, refuses: map[string]bool{}, blocked: map[string]bool{}},
		history: &check.History{},
		now:     time.Unix(1000, 0),
		refused: map[string]scheduling.Decision{},
	}
	cfg := scheduling.DefaultConfig()
	cfg.Recorder = b.history
	if change != nil {
		change(&cfg)
	}
	b.pool = scheduling.NewPool("p", cfg, b.slots, estimate.New(estimate.Config{}))
	return b
}

func (b *bed) take(decisions []scheduling.Decision) {
	for _, d := range decisions {
		if d.Kind == scheduling.Granted {
			b.grants = append(b.grants, d.Request.ID)
		} else {
			b.refused[d.Request.ID] = d
		}
	}
}

func (b *bed) submit(asks ...routing.PermitRequest) {
	for _, ask := range asks {
		b.take(b.pool.Submit(b.now, ask))
	}
}

func (b *bed) pass(d time.Duration) { b.now = b.now.Add(d) }
func (b *bed) tick()                { b.take(b.pool.Tick(b.now)) }

// release ends the oldest grant that still runs, after it ran for elapsed.
func (b *bed) release(id string, elapsed time.Duration) {
	b.take(b.pool.Release(b.now, routing.Report{
		AttemptID: id, Result: routing.ResultCompleted, Elapsed: elapsed, OutputTokens: 10,
	}))
}

// drainAll releases one grant after the other, in the order of the grants.
func (b *bed) drainAll() {
	for i := 0; i < len(b.grants); i++ {
		b.release(b.grants[i], 10*time.Millisecond)
	}
}

func ask(id string, tier catalog.Tier) routing.PermitRequest {
	return routing.PermitRequest{
		ID: id, RequestID: id, Daemon: "d1", Pool: "p", Workspace: "w", Weight: 1,
		Profile: fmt.Sprint("tier", tier), Class: fmt.Sprint("tier", tier), Tier: tier,
		FloorPercent: 2, Target: catalog.Target{FirstTokenMS: 10_000}, MaxWait: 10 * time.Second, Attempt: 1,
	}
}

func expectLawful(b *bed, ended bool) {
	GinkgoHelper()
	Expect(b.history.Verify(ended)).To(BeEmpty())
}
