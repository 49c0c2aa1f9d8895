package bench

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"
)

// Times of a measurement of capacity.
const (
	capacityWarmUp = 10 * time.Second
	capacityEnd    = 60 * time.Second
)

// backlog is how many requests wait in each engine while capacity is measured.
const backlog = 8

var capacities sync.Map // Of poolSpec.name to float64.

// capacityOf is the work that a pool completes in a second when each engine always
// has requests of the pool's mix waiting. Work is the cost without a cached prefix.
func capacityOf(size sizeSpec, spec *poolSpec) float64 {
	if known, ok := capacities.Load(spec.name); ok {
		return known.(float64)
	}
	s := newSimulation(size, scenarioSpec{name: "capacity", load: constant(0)}, policySpec{build: directPolicy(pickRoundRobin)}, 1)
	p, _ := lo.Find(s.pools, func(p *poolModel) bool { return p.spec.name == spec.name })
	f := &feeder{sim: s, pool: p, random: rand.New(rand.NewPCG(1, 3))}
	s.clock.every(tickInterval/4, f.fill)
	s.clock.runUntil(capacityEnd)
	capacity := f.completed() / (capacityEnd - capacityWarmUp).Seconds()
	capacities.Store(spec.name, capacity)
	return capacity
}

// feeder keeps every engine full.
type feeder struct {
	sim    *simulation
	pool   *poolModel
	random *rand.Rand
}

func (f *feeder) fill() {
	for _, e := range f.pool.engines {
		for len(e.queue) < backlog {
			f.feed(e)
		}
	}
}

func (f *feeder) feed(e *engine) {
	j := f.sim.newJob(f.pool, f.draw(), false)
	f.pool.jobs = append(f.pool.jobs, j)
	a := &attempt{number: f.sim.nextID(), job: j, engine: e}
	j.attempts = []*attempt{a}
	a.seq = &sequence{attempt: a, order: a.number, prompt: j.prompt, output: j.output, prefix: j.prefix}
	e.add(a.seq)
}

// draw picks a class by its arrivals at a constant load.
func (f *feeder) draw() *classSpec {
	classes := f.pool.spec.classes
	total := lo.SumBy(classes, func(c classSpec) float64 { return c.rate(*f.pool.spec) })
	x := f.random.Float64() * total
	for i := range classes {
		if x -= classes[i].rate(*f.pool.spec); x < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

func (f *feeder) completed() float64 {
	return lo.SumBy(f.pool.jobs, func(j *job) float64 {
		if j.ending != endCompleted || j.ended < capacityWarmUp {
			return 0
		}
		return j.cost()
	})
}

// cost is the computation for the job's whole answer without a cached prefix, in seconds.
func (j *job) cost() float64 { return j.pool.spec.engine.cost(j.prompt, j.output) }
