// Package placement chooses the endpoint on which a request runs.
//
// A Fleet holds one pool. Open endpoints are kept in an index; a decision draws
// some of them, adds those believed to have the prompt's prefix cached, drops what
// the filters refuse, and takes the best score. docs/design/placement.md gives
// the reasons.
package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/limit"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// refreshPerCall is the number of endpoints brought up to date by each call, in
// turn, so that changes that come with time alone are seen.
const refreshPerCall = 4

// Fleet places the requests of one pool. All methods may be called concurrently;
// one lock guards the whole pool.
type Fleet struct {
	mu      sync.Mutex
	cfg     Config
	rng     *rand.Rand
	scorers []weighted

	byName map[string]*endpoint
	slots  []*endpoint // by endpoint.slot; nil once dropped.
	all    []*endpoint // in no order; refreshed in turn.
	turn   int
	open   []*endpoint
	total  contribution
	tiers  [catalog.LowestTier + 1]int // running requests by tier.

	health   *health.Pool
	runs     map[string]*run
	copies   *copySet
	prefixes *prefixIndex
	suspects suspectRuns
	output   outputRate

	updates    uint64
	decisions  uint64
	candidates []candidate // reused by each decision.
}

// NewFleet returns a fleet without endpoints. The fleet owns rng from then on.
func NewFleet(cfg Config, rng *rand.Rand) *Fleet {
	cfg = cfg.withDefaults()
	return &Fleet{
		cfg:      cfg,
		rng:      rng,
		scorers:  cfg.Weights.scorers(),
		byName:   map[string]*endpoint{},
		health:   health.NewPool(cfg.Health),
		runs:     map[string]*run{},
		copies:   newCopySet(),
		prefixes: newPrefixIndex(cfg.MaxBlocks),
	}
}

// Update takes in the configured endpoints and the VMs that the platform lists as
// leaving, by address, IP number or name. Endpoints that join a pool start slowly.
func (f *Fleet) Update(now time.Time, endpoints []catalog.Endpoint, leavingVMs map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	joinsPool := f.total.eligible > 0
	f.updates++
	for i := range endpoints {
		e := f.configure(now, endpoints[i].WithDefaults(), joinsPool)
		e.named = f.updates
		e.listedLeaving = e.config.Leaving || e.matches(leavingVMs)
		f.refresh(now, e)
	}
	if len(f.all) > len(endpoints) {
		f.dropUnnamed(now)
	}
}

// dropUnnamed takes out the endpoints that the last update did not name.
func (f *Fleet) dropUnnamed(now time.Time) {
	for _, e := range slices.Clone(f.all) {
		if e.named == f.updates {
			continue
		}
		e.gone = true
		f.refresh(now, e)
		f.dropIfDone(e)
	}
}

// configure returns the endpoint that c describes. Another address is another endpoint.
func (f *Fleet) configure(now time.Time, c catalog.Endpoint, joinsPool bool) *endpoint {
	if e, ok := f.byName[c.Name]; ok && e.config.Address == c.Address {
		e.gone = false
		e.config = c
		e.limiter.SetMax(c.MaxConcurrent)
		return e
	} else if ok {
		e.gone = true
		f.refresh(now, e)
	}
	e := &endpoint{
		config:  c,
		host:    hostOf(c.Address),
		slot:    int32(len(f.slots)),
		health:  f.health.Add(),
		limiter: limit.New(f.cfg.Limit, c.MaxConcurrent),
		hot:     hot{position: notOpen},
	}
	if joinsPool {
		e.limiter.BeginSlowStart(now)
	}
	f.byName[c.Name] = e
	f.slots = append(f.slots, e)
	f.all = append(f.all, e)
	return e
}

// dropIfDone forgets an endpoint that is gone and on which nothing runs.
func (f *Fleet) dropIfDone(e *endpoint) {
	if !e.gone || e.running.len > 0 || f.slots[e.slot] == nil {
		return
	}
	f.health.Remove(e.health)
	f.slots[e.slot] = nil
	f.all = slices.DeleteFunc(f.all, func(other *endpoint) bool { return other == e })
	if f.byName[e.config.Name] == e {
		delete(f.byName, e.config.Name)
	}
}

// refresh brings the index of open endpoints and the capacity up to date with e.
func (f *Fleet) refresh(now time.Time, e *endpoint) {
	e.update(now)
	next := e.contribution(now)
	f.total.slots += next.slots - e.counted.slots
	f.total.busy += next.busy - e.counted.busy
	f.total.eligible += next.eligible - e.counted.eligible
	e.counted = next
	open := e.open(now)
	switch {
	case open && e.position == notOpen:
		e.position = len(f.open)
		f.open = append(f.open, e)
	case !open && e.position != notOpen:
		last := f.open[len(f.open)-1]
		f.open[e.position] = last
		last.position = e.position
		f.open = f.open[:len(f.open)-1]
		e.position = notOpen
	}
}

// refreshSome refreshes the next few endpoints in turn.
func (f *Fleet) refreshSome(now time.Time) {
	for range min(refreshPerCall, len(f.all)) {
		f.turn = (f.turn + 1) % len(f.all)
		e := f.all[f.turn]
		f.checkAges(now, e)
		f.refresh(now, e)
	}
}

// ageCheckEvery is the time between two looks at the ages of an endpoint's runs.
const ageCheckEvery = time.Second

// checkAges shows the health judgement how long the endpoint's work has been running.
func (f *Fleet) checkAges(now time.Time, e *endpoint) {
	if now.Sub(e.lastAgeCheck) < ageCheckEvery {
		return
	}
	e.lastAgeCheck = now
	if r := e.running.median(); r != nil {
		e.health.ObserveRunning(now, now.Sub(r.sent))
	}
}

// ObserveLoad takes in an engine's lagging load report.
func (f *Fleet) ObserveLoad(now time.Time, load routing.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.byName[load.Endpoint]
	made := now.Add(-load.Age)
	if !ok || made.Before(e.reportedAt) {
		return
	}
	e.reportedAt = made
	e.saysLeaving = load.Leaving
	e.limiter.ObserveReport(now, made, load.Running, load.Waiting)
	f.refresh(now, e)
}

// ObserveCache takes in an engine's cache events. A gap in the sequence clears
// what is believed of that endpoint's cache; a message that comes twice is ignored.
func (f *Fleet) ObserveCache(_ time.Time, name string, events CacheEvents) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.byName[name]
	if !ok {
		return
	}
	restarted := events.Sequence == 1 && e.cacheSequence > 1
	if events.Sequence <= e.cacheSequence && !restarted {
		return
	}
	if restarted || events.Cleared || events.Sequence != e.cacheSequence+1 {
		e.cacheEpoch++
	}
	e.cacheSequence = events.Sequence
	for _, block := range events.Evicted {
		f.prefixes.evict(block, e.slot)
	}
	for _, block := range events.Stored {
		f.prefixes.store(block, holder{slot: e.slot, epoch: e.cacheEpoch})
	}
}

// Capacity describes what the pool can take now.
func (f *Fleet) Capacity(now time.Time) routing.Capacity {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshSome(now)
	return routing.Capacity{
		Slots:           f.total.slots,
		Busy:            f.total.busy,
		Endpoints:       f.total.eligible,
		TokensPerSecond: f.output.perSecond(now),
		FirstToken:      f.health.Typical().FirstToken(),
	}
}

// EndpointStatus describes one endpoint to an operator.
type EndpointStatus struct {
	Endpoint catalog.Endpoint `json:"endpoint"`
	Running  int              `json:"running"`
	Limit    int              `json:"limit"`
	Leaving  bool             `json:"leaving"`
	Health   health.State     `json:"health"`
	// Cause says why an endpoint that is not healthy was ejected.
	Cause health.Cause `json:"cause,omitempty"`
	// Speed is the endpoint's latency over the pool's median; 1 is typical, 2 is twice as slow.
	Slowdown float64 `json:"speed"`
	// ReservedForSuspect is true while a suspect runs alone here, or is about to.
	ReservedForSuspect bool `json:"reserved_for_suspect,omitempty"`
	// ReportAge is the age of the last load report; zero if none came.
	ReportAge time.Duration `json:"report_age"`
}

// Endpoints describes every endpoint, sorted by name.
func (f *Fleet) Endpoints(now time.Time) []EndpointStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := lo.Map(f.all, func(e *endpoint, _ int) EndpointStatus { return e.status(now) })
	slices.SortFunc(out, func(a, b EndpointStatus) int { return strings.Compare(a.Endpoint.Name, b.Endpoint.Name) })
	return out
}

func (e *endpoint) status(now time.Time) EndpointStatus {
	e.update(now)
	s := EndpointStatus{
		Endpoint:           e.config,
		Running:            e.running.len,
		Limit:              e.limit,
		Leaving:            e.leaving,
		Health:             e.health.State(now),
		Slowdown:           e.health.Speed(),
		ReservedForSuspect: e.closed(now),
	}
	if s.Health != health.Healthy {
		s.Cause = e.health.Cause()
	}
	if !e.reportedAt.IsZero() {
		s.ReportAge = now.Sub(e.reportedAt)
	}
	return s
}
