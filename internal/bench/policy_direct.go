package bench

import (
	"math/rand/v2"
	"slices"

	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// directRouter sends each request on at once; it waits inside the engine.
type directRouter struct {
	sim    *simulation
	pool   *poolModel
	random *rand.Rand
	pick   func(r *directRouter, daemon int, engines []*engine) *engine
	next   []int
	// outstanding counts each daemon's own requests on each endpoint.
	outstanding []map[string]int
}

func directPolicy(pick func(*directRouter, int, []*engine) *engine) func(*simulation, *poolModel, uint64) router {
	return func(s *simulation, p *poolModel, seed uint64) router {
		r := &directRouter{sim: s, pool: p, random: rand.New(rand.NewPCG(seed, 2)), pick: pick}
		r.next = make([]int, s.size.daemons)
		for i := range r.next {
			r.next[i] = r.random.IntN(len(p.engines))
			r.outstanding = append(r.outstanding, map[string]int{})
		}
		return r
	}
}

func pickRoundRobin(r *directRouter, daemon int, engines []*engine) *engine {
	r.next[daemon]++
	return engines[r.next[daemon]%len(engines)]
}

func pickLeastOutstanding(r *directRouter, daemon int, engines []*engine) *engine {
	at := r.random.IntN(len(engines))
	best := engines[at]
	for i := range engines {
		e := engines[(at+i)%len(engines)]
		if r.outstanding[daemon][e.name] < r.outstanding[daemon][best.name] {
			best = e
		}
	}
	return best
}

func pickPowerOfTwo(r *directRouter, _ int, engines []*engine) *engine {
	a, b := engines[r.random.IntN(len(engines))], engines[r.random.IntN(len(engines))]
	loadA, loadB := r.pool.seenLoad[a.name], r.pool.seenLoad[b.name]
	if loadB.Running+loadB.Waiting < loadA.Running+loadA.Waiting {
		return b
	}
	return a
}

func (r *directRouter) submit(a *attempt) {
	avoid := r.sim.ask(a).Avoid
	engines := slices.DeleteFunc(slices.Clone(r.pool.engines), func(e *engine) bool { return slices.Contains(avoid, e.name) })
	if len(engines) == 0 {
		engines = r.pool.engines
	}
	e := r.pick(r, a.job.daemon, engines)
	r.outstanding[a.job.daemon][e.name]++
	r.sim.granted(a, e.name, int(a.job.class.tier))
}

func (r *directRouter) release(a *attempt, report routing.Report) {
	r.outstanding[a.job.daemon][report.Endpoint]--
}

func (r *directRouter) cancel(*attempt)                     {}
func (r *directRouter) load(load routing.Load)              { r.pool.seenLoad[load.Endpoint] = load }
func (r *directRouter) cache(string, placement.CacheEvents) {}
func (r *directRouter) tick()                               {}
func (r *directRouter) lose(int)                            {}
func (r *directRouter) violations() int                     { return 0 }
