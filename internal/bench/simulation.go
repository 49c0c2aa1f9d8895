package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routing"
)

const (
	// reportInterval is the time between an engine's load reports and cache events.
	reportInterval = 500 * time.Millisecond
	// cacheLag is the age of cache events when they arrive.
	cacheLag = 300 * time.Millisecond
	// cacheGap is the share of cache events that are lost.
	cacheGap = 0.05
	// tickInterval is the time between ticks of a pool.
	tickInterval = 20 * time.Millisecond
)

// poolModel is one service with its engines and its router.
type poolModel struct {
	spec     *poolSpec
	engines  []*engine
	byName   map[string]*engine
	router   router
	starts   []start
	jobs     []*job
	seenLoad map[string]routing.Load
}

// start records that a request of a tier began to run.
type start struct {
	at    time.Duration
	class *classSpec
}

// simulation drives one policy through one scenario.
type simulation struct {
	clock    clock
	random   *rand.Rand
	size     sizeSpec
	scenario scenarioSpec
	pools    []*poolModel
	attempts map[string]*attempt
	retries  *retry.Budget
	alive    []bool
	sequence uint64
}

func newSimulation(size sizeSpec, scenario scenarioSpec, policy policySpec, seed uint64) *simulation {
	s := &simulation{
		random:   rand.New(rand.NewPCG(seed, 1)),
		size:     size,
		scenario: scenario,
		attempts: map[string]*attempt{},
		retries:  retry.NewBudget(retry.Config{}),
		alive:    make([]bool, size.daemons),
	}
	for i := range s.alive {
		s.alive[i] = true
	}
	for i := range size.pools {
		s.pools = append(s.pools, s.newPool(&size.pools[i], policy, seed))
	}
	return s
}

func (s *simulation) newPool(spec *poolSpec, policy policySpec, seed uint64) *poolModel {
	p := &poolModel{spec: spec, byName: map[string]*engine{}, seenLoad: map[string]routing.Load{}}
	for i := range spec.workers {
		e := newEngine(s, p, fmt.Sprintf("%s-%d", spec.name, i), spec.engine)
		p.engines = append(p.engines, e)
		p.byName[e.name] = e
	}
	p.router = policy.build(s, p, seed)
	return p
}

// endpoints lists the pool's endpoints with their cap divided by parts.
func (p *poolModel) endpoints(parts int) []catalog.Endpoint {
	var list []catalog.Endpoint
	for i, e := range p.engines {
		list = append(list, catalog.Endpoint{
			Name:          e.name,
			Service:       p.spec.name,
			Address:       fmt.Sprintf("192.0.2.%d:8000", i+1),
			DataCentre:    fmt.Sprint("dc", i%dataCentres),
			MaxConcurrent: max(1, p.spec.maxConcurrent/parts),
		})
	}
	return list
}

// run plays the scenario.
func (s *simulation) run() {
	for _, p := range s.pools {
		for i := range p.spec.classes {
			s.arrive(p, &p.spec.classes[i])
		}
		s.clock.every(reportInterval, func() { s.report(p) })
		s.clock.every(tickInterval, p.router.tick)
	}
	if s.scenario.begin != nil {
		s.scenario.begin(s)
	}
	s.clock.runUntil(runEnd)
}

// idleStep is how often a class without load looks at its load again.
const idleStep = 100 * time.Millisecond

// arrive sends the requests of one class.
func (s *simulation) arrive(p *poolModel, c *classSpec) {
	if s.clock.elapsed >= loadEnd {
		return
	}
	rate := c.rate(*p.spec) / c.share * s.scenario.load(c, s.clock.elapsed)
	if rate <= 0 {
		s.clock.after(idleStep, func() { s.arrive(p, c) })
		return
	}
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.clock.after(gap, func() {
		s.send(s.newJob(p, c, false))
		s.arrive(p, c)
	})
}

// report delivers the engines' reports and cache events, late and with gaps.
func (s *simulation) report(p *poolModel) {
	lag := s.scenario.reportLag
	if lag == 0 {
		lag = reportLag
	}
	for _, e := range p.engines {
		if e.down {
			continue
		}
		load := e.load()
		load.Age = lag
		s.clock.after(lag, func() { p.router.load(load) })
		if e.spec.cacheBlocks > 0 {
			s.cacheEvent(e, e.takeCacheEvents())
		}
	}
}

func (s *simulation) cacheEvent(e *engine, events placement.CacheEvents) {
	e.events++
	events.Sequence = e.events
	if s.random.Float64() < cacheGap {
		return
	}
	s.clock.after(cacheLag, func() { e.pool.router.cache(e.name, events) })
}

// loseDaemon takes a daemon away: its callers lose their connections.
func (s *simulation) loseDaemon(daemon int) {
	s.alive[daemon] = false
	for _, a := range s.liveAttempts() {
		if a.job.daemon == daemon {
			s.lose(a)
		}
	}
	for _, p := range s.pools {
		p.router.lose(daemon)
	}
}

// pickDaemon is the balancer: any daemon that lives.
func (s *simulation) pickDaemon() int {
	for {
		if daemon := s.random.IntN(s.size.daemons); s.alive[daemon] {
			return daemon
		}
	}
}

// nextID numbers attempts and jobs.
func (s *simulation) nextID() uint64 {
	s.sequence++
	return s.sequence
}
