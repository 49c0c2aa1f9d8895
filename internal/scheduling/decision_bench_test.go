package scheduling_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/estimate"
	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
)

// The size aimed at.
const (
	benchEndpoints  = 1400
	benchSlots      = 16
	benchWaiting    = 10_000
	benchWorkspaces = 1700
	benchProfiles   = 12
	// profilesEach is the number of profiles that a workspace uses.
	profilesEach = 2
)

// decisionBed holds a saturated pool.
type decisionBed struct {
	pool     *scheduling.Pool
	random   *rand.Rand
	now      time.Time
	next     int
	running  []routing.PermitRequest
	submits  *hdrhistogram.Histogram
	releases *hdrhistogram.Histogram
}

func newDecisionBed(asks int) *decisionBed {
	b := &decisionBed{
		random:   rand.New(rand.NewPCG(1, 2)),
		now:      time.Unix(1000, 0),
		submits:  hdrhistogram.New(1, int64(time.Second), 3),
		releases: hdrhistogram.New(1, int64(time.Second), 3),
	}
	fleet := placement.NewFleet(placement.Config{}, rand.New(rand.NewPCG(3, 4)))
	var endpoints []catalog.Endpoint
	for i := range benchEndpoints {
		endpoints = append(endpoints, catalog.Endpoint{
			Name: fmt.Sprint("e", i), Address: fmt.Sprintf("192.0.2.1:%d", 1000+i), MaxConcurrent: benchSlots,
		})
	}
	fleet.Update(b.now, endpoints, nil)
	b.pool = scheduling.NewPool("p", scheduling.DefaultConfig(), fleet, estimate.New(estimate.Config{}))
	for range asks {
		b.submit()
	}
	return b
}

// submit enters one ask; its prompt shares the first blocks with others.
func (b *decisionBed) submit() {
	b.next++
	workspace := b.random.IntN(benchWorkspaces)
	profile := (workspace + b.random.IntN(profilesEach)) % benchProfiles
	a := ask(fmt.Sprint(b.next), catalog.Tier(1+profile%3))
	a.Class, a.Profile = fmt.Sprint("class", profile), fmt.Sprint("profile", profile)
	a.Workspace = fmt.Sprint(workspace)
	a.Digest, a.Repeatable, a.PromptTokens = a.ID, true, 2048
	a.Target.FirstTokenMS, a.MaxWait = 3_600_000, time.Hour
	for i := range 16 {
		a.Prefix = append(a.Prefix, uint64(profile*1000+i/8*b.next+i))
	}
	b.measure(b.submits, func() []scheduling.Decision { return b.pool.Submit(b.now, a) })
}

// release ends a random grant.
func (b *decisionBed) release() {
	at := b.random.IntN(len(b.running))
	a := b.running[at]
	b.running[at] = b.running[len(b.running)-1]
	b.running = b.running[:len(b.running)-1]
	report := routing.Report{
		AttemptID: a.ID, Profile: a.Profile, Workspace: a.Workspace, Class: a.Class, Digest: a.Digest,
		Result: routing.ResultCompleted, FirstToken: 200 * time.Millisecond, TokenGap: 20 * time.Millisecond,
		Elapsed: 2 * time.Second, PromptTokens: 2048, OutputTokens: 50 + b.random.IntN(100),
	}
	b.measure(b.releases, func() []scheduling.Decision { return b.pool.Release(b.now, report) })
}

func (b *decisionBed) measure(times *hdrhistogram.Histogram, decide func() []scheduling.Decision) {
	b.now = b.now.Add(80 * time.Microsecond)
	began := time.Now()
	decisions := decide()
	_ = times.RecordValue(int64(time.Since(began)))
	for _, d := range decisions {
		if d.Kind == scheduling.Granted {
			b.running = append(b.running, d.Request)
		}
	}
}

// BenchmarkDecision measures a submission and a release on a pool of 1,400 full
// endpoints with 10,000 waiting asks.
func BenchmarkDecision(b *testing.B) {
	bed := newDecisionBed(benchEndpoints*benchSlots + benchWaiting)
	bed.submits.Reset()
	bed.releases.Reset()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		bed.submit()
		bed.release()
	}
	b.StopTimer()
	if waiting := bed.pool.Stats(bed.now).Waiting; waiting < benchWaiting/2 {
		b.Fatalf("only %d asks wait", waiting)
	}
	bed.report(b)
}

// BenchmarkGrant measures a submission that is granted at once, on a pool of 1,400
// endpoints that is half full, and the release that makes room for it.
func BenchmarkGrant(b *testing.B) {
	bed := newDecisionBed(benchEndpoints * benchSlots / 2)
	bed.submits.Reset()
	bed.releases.Reset()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		bed.release()
		bed.submit()
	}
	b.StopTimer()
	bed.report(b)
}

func (bed *decisionBed) report(b *testing.B) {
	for name, times := range map[string]*hdrhistogram.Histogram{"submit": bed.submits, "release": bed.releases} {
		b.ReportMetric(float64(times.ValueAtQuantile(50)), name+"-p50-ns")
		b.ReportMetric(float64(times.ValueAtQuantile(99)), name+"-p99-ns")
	}
}
