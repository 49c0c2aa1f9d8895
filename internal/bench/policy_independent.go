package bench

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
)

// independentRouter gives each daemon a queue of its own.
type independentRouter struct {
	sim    *simulation
	queues []*queue
	// gossip is told the counts of all daemons; nil if they share none.
	gossip func()
}

func independentPolicy(build func(*independentRouter, *poolModel, uint64)) func(*simulation, *poolModel, uint64) router {
	return func(s *simulation, p *poolModel, seed uint64) router {
		r := &independentRouter{sim: s}
		build(r, p, seed)
		return r
	}
}

// fixedShares gives each daemon an equal part of each endpoint's slots.
func fixedShares(r *independentRouter, p *poolModel, seed uint64) {
	register := quarantine.New(quarantine.Config{})
	for i := range r.sim.size.daemons {
		random := rand.New(rand.NewPCG(seed, uint64(10+i)))
		fleet := newFleet(r.sim, p, r.sim.size.daemons, register, random)
		r.queues = append(r.queues, newQueue(r.sim, p, scheduling.DefaultConfig(), fleet, random))
	}
}

// sharedCounts lets each daemon choose by power of two choices on the counts that
// the daemons tell each other.
func sharedCounts(r *independentRouter, p *poolModel, seed uint64) {
	var placers []*countPlacer
	for i := range r.sim.size.daemons {
		random := rand.New(rand.NewPCG(seed, uint64(10+i)))
		placer := &countPlacer{endpoints: p.endpoints(1), random: random, own: map[string]int{}, others: map[string]int{}}
		placers = append(placers, placer)
		r.queues = append(r.queues, newQueue(r.sim, p, scheduling.DefaultConfig(), placer, random))
	}
	r.gossip = func() { exchangeCounts(placers) }
	r.sim.clock.every(gossipInterval, r.gossip)
}

// gossipInterval is the time between exchanges of counts.
const gossipInterval = 200 * time.Millisecond

func exchangeCounts(placers []*countPlacer) {
	total := map[string]int{}
	for _, p := range placers {
		for name, n := range p.own {
			total[name] += n
		}
	}
	for _, p := range placers {
		for _, e := range p.endpoints {
			p.others[e.Name] = total[e.Name] - p.own[e.Name]
		}
	}
}

func (r *independentRouter) of(a *attempt) *queue { return r.queues[a.job.daemon] }

func (r *independentRouter) submit(a *attempt) { r.of(a).submit(a, 0) }

func (r *independentRouter) release(a *attempt, report routing.Report) {
	q := r.of(a)
	q.deliver(q.pool.Release(r.sim.clock.now(), report), 0)
}

func (r *independentRouter) cancel(a *attempt) {
	q := r.of(a)
	q.deliver(q.pool.Cancel(r.sim.clock.now(), a.id), 0)
	r.sim.forget(a)
}

func (r *independentRouter) load(load routing.Load) {
	for _, q := range r.queues {
		q.fleet.ObserveLoad(r.sim.clock.now(), load)
	}
}

func (r *independentRouter) cache(endpoint string, events placement.CacheEvents) {
	for _, q := range r.queues {
		q.fleet.ObserveCache(r.sim.clock.now(), endpoint, events)
	}
}

func (r *independentRouter) tick() {
	for _, q := range r.queues {
		q.deliver(q.pool.Tick(r.sim.clock.now()), 0)
	}
}

// lose frees what the lost daemon held, so that shared counts forget it.
func (r *independentRouter) lose(daemon int) {
	r.queues[daemon].pool.Expire(r.sim.clock.now(), daemonName(daemon))
}

func (r *independentRouter) violations() int {
	return lo.SumBy(r.queues, func(q *queue) int { return q.violations() })
}

var _ placer = (*placement.Fleet)(nil)
