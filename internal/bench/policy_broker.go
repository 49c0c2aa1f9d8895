package bench

import (
	"math/rand/v2"
	"time"

	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
)

const (
	// takeoverDelay is the time from the loss of a broker until the next one acts.
	takeoverDelay = 500 * time.Millisecond
	// heartbeatSpread is the time within which every daemon has restated its grants.
	heartbeatSpread = 250 * time.Millisecond
	// gatherFor is how long a new broker takes asks before its first grant, as in package broker.
	gatherFor = 50 * time.Millisecond
)

// brokerRouter has one queue for the whole pool, on one daemon.
type brokerRouter struct {
	sim      *simulation
	pool     *poolModel
	cfg      scheduling.Config
	random   *rand.Rand
	register *quarantine.Register
	daemon   int
	// queue is nil between the loss of a broker and the takeover.
	queue *queue
	// grantsAt is when the broker makes its first grant.
	grantsAt time.Duration
	// earlier counts the violations of lost brokers.
	earlier int
}

func brokerPolicy(cfg scheduling.Config) func(*simulation, *poolModel, uint64) router {
	return func(s *simulation, p *poolModel, seed uint64) router {
		r := &brokerRouter{
			sim: s, pool: p, cfg: cfg,
			random:   rand.New(rand.NewPCG(seed, 2)),
			register: quarantine.New(quarantine.Config{}),
		}
		r.start()
		return r
	}
}

func (r *brokerRouter) start() {
	fleet := newFleet(r.sim, r.pool, 1, r.register, r.random)
	r.queue = newQueue(r.sim, r.pool, r.cfg, fleet, r.random)
}

func (r *brokerRouter) submit(a *attempt) {
	r.sim.clock.after(hop, func() {
		if r.queue != nil && a.waiting && !a.done {
			r.queue.submit(a, hop)
		}
	})
}

func (r *brokerRouter) release(_ *attempt, report routing.Report) {
	r.sim.clock.after(hop, func() {
		if r.queue != nil {
			r.queue.deliver(r.queue.pool.Release(r.sim.clock.now(), report), hop)
		}
	})
}

func (r *brokerRouter) cancel(a *attempt) {
	r.sim.clock.after(hop, func() {
		if r.queue != nil {
			r.queue.deliver(r.queue.pool.Cancel(r.sim.clock.now(), a.id), hop)
		}
		r.sim.forget(a)
	})
}

func (r *brokerRouter) load(load routing.Load) {
	if r.queue != nil {
		r.queue.fleet.ObserveLoad(r.sim.clock.now(), load)
	}
}

func (r *brokerRouter) cache(endpoint string, events placement.CacheEvents) {
	if r.queue != nil {
		r.queue.fleet.ObserveCache(r.sim.clock.now(), endpoint, events)
	}
}

func (r *brokerRouter) tick() {
	if r.queue != nil && r.sim.clock.elapsed >= r.grantsAt {
		r.queue.deliver(r.queue.pool.Tick(r.sim.clock.now()), hop)
	}
}

func (r *brokerRouter) lose(daemon int) {
	if daemon != r.daemon {
		r.queue.deliver(r.queue.pool.Expire(r.sim.clock.now(), daemonName(daemon)), hop)
		return
	}
	r.earlier += r.queue.violations()
	r.queue = nil
	r.daemon++
	r.sim.clock.after(takeoverDelay, r.takeOver)
}

// takeOver starts a new broker: it is told of every grant that runs, takes asks once
// every daemon has told it, and grants after gatherFor.
func (r *brokerRouter) takeOver() {
	r.start()
	opens := r.sim.clock.elapsed + heartbeatSpread
	r.grantsAt = opens + gatherFor
	r.queue.pool.SetConservative(r.sim.clock.now(), r.sim.clock.now().Add(heartbeatSpread+gatherFor))
	for _, a := range r.sim.liveAttempts() {
		if a.job.pool != r.pool {
			continue
		}
		if a.waiting {
			r.submit(a)
			continue
		}
		spread := time.Duration(r.random.Int64N(int64(heartbeatSpread)))
		r.sim.clock.after(spread, func() { r.restore(a) })
	}
}

func (r *brokerRouter) restore(a *attempt) {
	if a.done || r.queue == nil {
		return
	}
	progress := routing.Progress{
		AttemptID: a.id, Endpoint: a.engine.name, Elapsed: r.sim.clock.elapsed - a.sent, Request: r.sim.ask(a),
	}
	if a.seq != nil {
		progress.OutputTokens = a.seq.produced
	}
	r.queue.pool.Restore(r.sim.clock.now(), progress)
}

func (r *brokerRouter) violations() int {
	if r.queue == nil {
		return r.earlier
	}
	return r.earlier + r.queue.violations()
}
