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

// The target deployment size.
const (
	benchEndpoints  = 1400
	benchSlots      = 16
	benchWaiting    = 10_000
	benchWorkspaces = 1700
	benchProfiles   = 12
	// profilesPerWorkspace is the number of profiles that a workspace uses.
	profilesPerWorkspace = 2
)

// benchFixture holds a pool under load and the durations of its decisions.
type benchFixture struct {
	pool     *scheduling.Pool
	random   *rand.Rand
	now      time.Time
	lastID   int
	running  []routing.PermitRequest
	submits  *hdrhistogram.Histogram
	releases *hdrhistogram.Histogram
}

func newBenchFixture(requests int) *benchFixture {
	f := &benchFixture{
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
	fleet.Update(f.now, endpoints, nil)
	f.pool = scheduling.NewPool("p", scheduling.DefaultConfig(), fleet, estimate.New(estimate.Config{}))
	for range requests {
		f.submit()
	}
	return f
}

// submit submits one request whose prompt shares its first blocks with other requests.
func (f *benchFixture) submit() {
	f.lastID++
	workspace := f.random.IntN(benchWorkspaces)
	profile := (workspace + f.random.IntN(profilesPerWorkspace)) % benchProfiles
	request := newRequest(fmt.Sprint(f.lastID), catalog.Tier(1+profile%3))
	request.Class, request.Profile = fmt.Sprint("class", profile), fmt.Sprint("profile", profile)
	request.Workspace = fmt.Sprint(workspace)
	request.Digest, request.Repeatable, request.PromptTokens = request.ID, true, 2048
	request.Target.FirstTokenMS, request.MaxWait = 3_600_000, time.Hour
	for i := range 16 {
		request.Prefix = append(request.Prefix, uint64(profile*1000+i/8*f.lastID+i))
	}
	f.measure(f.submits, func() []scheduling.Decision { return f.pool.Submit(f.now, request) })
}

// release releases a random grant.
func (f *benchFixture) release() {
	index := f.random.IntN(len(f.running))
	request := f.running[index]
	f.running[index] = f.running[len(f.running)-1]
	f.running = f.running[:len(f.running)-1]
	report := routing.Report{
		AttemptID: request.ID, Profile: request.Profile, Workspace: request.Workspace, Class: request.Class, Digest: request.Digest,
		Result: routing.ResultCompleted, FirstToken: 200 * time.Millisecond, TokenGap: 20 * time.Millisecond,
		Elapsed: 2 * time.Second, PromptTokens: 2048, OutputTokens: 50 + f.random.IntN(100),
	}
	f.measure(f.releases, func() []scheduling.Decision { return f.pool.Release(f.now, report) })
}

func (f *benchFixture) measure(times *hdrhistogram.Histogram, decide func() []scheduling.Decision) {
	f.now = f.now.Add(80 * time.Microsecond)
	began := time.Now()
	decisions := decide()
	_ = times.RecordValue(int64(time.Since(began)))
	for _, d := range decisions {
		if d.Kind == scheduling.Granted {
			f.running = append(f.running, d.Request)
		}
	}
}

// BenchmarkDecision measures a submission and a release on a pool of 1,400 full
// endpoints with 10,000 waiting requests.
func BenchmarkDecision(b *testing.B) {
	f := newBenchFixture(benchEndpoints*benchSlots + benchWaiting)
	f.submits.Reset()
	f.releases.Reset()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.submit()
		f.release()
	}
	b.StopTimer()
	if waiting := f.pool.Stats(f.now).Waiting; waiting < benchWaiting/2 {
		b.Fatalf("only %d requests wait", waiting)
	}
	f.report(b)
}

// BenchmarkGrant measures a submission that is granted at once on a pool of 1,400
// half-full endpoints, and the release before it.
func BenchmarkGrant(b *testing.B) {
	f := newBenchFixture(benchEndpoints * benchSlots / 2)
	f.submits.Reset()
	f.releases.Reset()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.release()
		f.submit()
	}
	b.StopTimer()
	f.report(b)
}

func (f *benchFixture) report(b *testing.B) {
	for name, times := range map[string]*hdrhistogram.Histogram{"submit": f.submits, "release": f.releases} {
		b.ReportMetric(float64(times.ValueAtQuantile(50)), name+"-p50-ns")
		b.ReportMetric(float64(times.ValueAtQuantile(99)), name+"-p99-ns")
	}
}
