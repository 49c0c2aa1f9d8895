// Package placement chooses the endpoint on which a request runs.
//
// A Fleet places the requests of one pool. It keeps a list of available endpoints. A
// decision draws a random sample of them, adds those that presumably have the prompt's
// prefix cached, removes what the filters exclude, and picks the candidate with the
// highest score. docs/design/placement.md gives the reasons.
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

// refreshPerCall is the number of endpoints that each call refreshes, round robin.
// It picks up changes that only the passing of time causes, such as the end of a back-off.
const refreshPerCall = 4

// Fleet places the requests of one pool. All methods may be called concurrently;
// one lock guards the whole pool.
type Fleet struct {
	mu      sync.Mutex
	cfg     Config
	rng     *rand.Rand
	scorers []weightedScorer

	byName        map[string]*endpoint
	slots         []*endpoint // indexed by endpoint.slot; nil once the endpoint is dropped.
	all           []*endpoint // unordered.
	refreshCursor int
	available     []*endpoint
	total         contribution
	tiers         [catalog.LowestTier + 1]int // number of running requests by tier.

	health   *health.Pool
	runs     map[string]*run
	copies   *copyTracker
	prefixes *prefixIndex
	suspects suspectState
	output   outputRate

	updateCount   uint64
	decisionCount uint64
	candidates    []candidate // buffer reused by each decision.
}

// NewFleet returns a fleet without endpoints. The caller must not use rng afterwards.
func NewFleet(cfg Config, rng *rand.Rand) *Fleet {
	cfg = cfg.withDefaults()
	return &Fleet{
		cfg:      cfg,
		rng:      rng,
		scorers:  cfg.Weights.scorers(),
		byName:   map[string]*endpoint{},
		health:   health.NewPool(cfg.Health),
		runs:     map[string]*run{},
		copies:   newCopyTracker(),
		prefixes: newPrefixIndex(cfg.MaxBlocks),
	}
}

// Update replaces the configured endpoints and the VMs that the platform lists as
// leaving, by address, IP address or name. An endpoint that joins a pool with other
// eligible endpoints gets a slow start.
func (f *Fleet) Update(now time.Time, endpoints []catalog.Endpoint, leavingVMs map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	slowStart := f.total.eligible > 0
	f.updateCount++
	for i := range endpoints {
		e := f.configure(now, endpoints[i].WithDefaults(), slowStart)
		e.lastUpdate = f.updateCount
		e.listedLeaving = e.config.Leaving || e.isIn(leavingVMs)
		f.refresh(now, e)
	}
	if len(f.all) > len(endpoints) {
		f.removeUnlisted(now)
	}
}

// removeUnlisted marks as removed the endpoints that the last update did not list, and
// drops those on which nothing runs.
func (f *Fleet) removeUnlisted(now time.Time) {
	for _, e := range slices.Clone(f.all) {
		if e.lastUpdate == f.updateCount {
			continue
		}
		e.removed = true
		f.refresh(now, e)
		f.dropIfIdle(e)
	}
}

// configure returns the endpoint that c describes and creates it if needed. The same
// name with another address is a new endpoint.
func (f *Fleet) configure(now time.Time, c catalog.Endpoint, slowStart bool) *endpoint {
	if e, ok := f.byName[c.Name]; ok && e.config.Address == c.Address {
		e.removed = false
		e.config = c
		e.limiter.SetMax(c.MaxConcurrent)
		return e
	} else if ok {
		e.removed = true
		f.refresh(now, e)
	}
	e := &endpoint{
		config:    c,
		host:      hostOf(c.Address),
		slot:      int32(len(f.slots)),
		health:    f.health.Add(),
		limiter:   limit.New(f.cfg.Limit, c.MaxConcurrent),
		hotFields: hotFields{availableIndex: notAvailable},
	}
	if slowStart {
		e.limiter.BeginSlowStart(now)
	}
	f.byName[c.Name] = e
	f.slots = append(f.slots, e)
	f.all = append(f.all, e)
	return e
}

// dropIfIdle deletes a removed endpoint once nothing runs on it.
func (f *Fleet) dropIfIdle(e *endpoint) {
	if !e.removed || e.running.len > 0 || f.slots[e.slot] == nil {
		return
	}
	f.health.Remove(e.health)
	f.slots[e.slot] = nil
	f.all = slices.DeleteFunc(f.all, func(other *endpoint) bool { return other == e })
	if f.byName[e.config.Name] == e {
		delete(f.byName, e.config.Name)
	}
}

// refresh updates e, its place in Fleet.available and its share of the pool's capacity.
func (f *Fleet) refresh(now time.Time, e *endpoint) {
	e.update(now)
	next := e.contribution(now)
	f.total.slots += next.slots - e.counted.slots
	f.total.busy += next.busy - e.counted.busy
	f.total.eligible += next.eligible - e.counted.eligible
	e.counted = next
	available := e.available(now)
	switch {
	case available && e.availableIndex == notAvailable:
		e.availableIndex = len(f.available)
		f.available = append(f.available, e)
	case !available && e.availableIndex != notAvailable:
		last := f.available[len(f.available)-1]
		f.available[e.availableIndex] = last
		last.availableIndex = e.availableIndex
		f.available = f.available[:len(f.available)-1]
		e.availableIndex = notAvailable
	}
}

// refreshSome refreshes the next refreshPerCall endpoints, round robin.
func (f *Fleet) refreshSome(now time.Time) {
	for range min(refreshPerCall, len(f.all)) {
		f.refreshCursor = (f.refreshCursor + 1) % len(f.all)
		e := f.all[f.refreshCursor]
		f.checkAges(now, e)
		f.refresh(now, e)
	}
}

// ageCheckInterval is the minimum time between two checks of how long an endpoint's
// requests have been running.
const ageCheckInterval = time.Second

// checkAges reports the median age of the running requests to the endpoint's health.
func (f *Fleet) checkAges(now time.Time, e *endpoint) {
	if now.Sub(e.lastAgeCheck) < ageCheckInterval {
		return
	}
	e.lastAgeCheck = now
	if r := e.running.median(); r != nil {
		e.health.ObserveRunning(now, now.Sub(r.sent))
	}
}

// ObserveLoad records an engine's load report, which lags by load.Age. Reports older
// than the last one are ignored.
func (f *Fleet) ObserveLoad(now time.Time, load routing.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.byName[load.Endpoint]
	generatedAt := now.Add(-load.Age)
	if !ok || generatedAt.Before(e.reportedAt) {
		return
	}
	e.reportedAt = generatedAt
	e.reportedLeaving = load.Leaving
	e.limiter.ObserveReport(now, generatedAt, load.Running, load.Waiting)
	f.refresh(now, e)
}

// ObserveCache applies an engine's cache events to the prefix index. A gap or restart
// of the sequence invalidates what the index holds for that endpoint; duplicate and
// late messages are ignored.
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

// Capacity returns the pool's capacity and load at time now.
func (f *Fleet) Capacity(now time.Time) routing.Capacity {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshSome(now)
	return routing.Capacity{
		Slots:           f.total.slots,
		Busy:            f.total.busy,
		Endpoints:       f.total.eligible,
		TokensPerSecond: f.output.perSecond(now),
		FirstToken:      f.health.Baseline().FirstToken(),
	}
}

// EndpointStatus is the state of one endpoint, as shown to operators.
type EndpointStatus struct {
	Endpoint catalog.Endpoint `json:"endpoint"`
	Running  int              `json:"running"`
	Limit    int              `json:"limit"`
	Leaving  bool             `json:"leaving"`
	Health   health.State     `json:"health"`
	// Cause is the reason for the last ejection, if the endpoint is not healthy.
	Cause health.Cause `json:"cause,omitempty"`
	// Slowdown is the ratio of the endpoint's latency to the pool's median; 1 is typical,
	// 2 is twice as slow.
	Slowdown float64 `json:"speed"`
	// ReservedForSuspect is true while a suspect request runs isolated here, or the
	// endpoint is reserved for one.
	ReservedForSuspect bool `json:"reserved_for_suspect,omitempty"`
	// ReportAge is the age of the last load report; zero if none was received.
	ReportAge time.Duration `json:"report_age"`
}

// Endpoints returns the status of every endpoint, sorted by name.
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
		Slowdown:           e.health.Slowdown(),
		ReservedForSuspect: e.heldForSuspect(now),
	}
	if s.Health != health.Healthy {
		s.Cause = e.health.Cause()
	}
	if !e.reportedAt.IsZero() {
		s.ReportAge = now.Sub(e.reportedAt)
	}
	return s
}
