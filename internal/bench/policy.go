package bench

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/estimate"
	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
	"github.com/primrosewell/primrosewell/internal/scheduling/check"
)

// router is a policy at work on one pool.
type router interface {
	// submit asks for an endpoint for a; the answer comes by granted or refused.
	submit(a *attempt)
	// release reports the end of a grant.
	release(a *attempt, report routing.Report)
	// cancel withdraws a waiting attempt.
	cancel(a *attempt)
	load(load routing.Load)
	cache(endpoint string, events placement.CacheEvents)
	tick()
	// lose takes a daemon away.
	lose(daemon int)
	// violations counts breaches of the rule of docs/design/scheduling.md.
	violations() int
}

// policySpec is a named policy.
type policySpec struct {
	name  string
	build func(s *simulation, p *poolModel, seed uint64) router
}

var policies = []policySpec{
	{"round-robin", directPolicy(pickRoundRobin)},
	{"least-outstanding", directPolicy(pickLeastOutstanding)},
	{"power-of-two", directPolicy(pickPowerOfTwo)},
	{"fixed-shares", independentPolicy(fixedShares)},
	{"shared-counts", independentPolicy(sharedCounts)},
	{"broker", brokerPolicy(scheduling.DefaultConfig())},
}

func policyNamed(name string) (policySpec, bool) {
	return lo.Find(policies, func(p policySpec) bool { return p.name == name })
}

// queue is a scheduling pool with its fleet and its history.
type queue struct {
	sim     *simulation
	pool    *scheduling.Pool
	fleet   placer
	history *check.History
}

// placer is a placement with the feeds of the engines.
type placer interface {
	scheduling.Placer
	ObserveLoad(now time.Time, load routing.Load)
	ObserveCache(now time.Time, endpoint string, events placement.CacheEvents)
}

func newQueue(s *simulation, p *poolModel, cfg scheduling.Config, fleet placer, random *rand.Rand) *queue {
	q := &queue{sim: s, fleet: fleet, history: &check.History{}}
	cfg.Recorder = q.history
	cfg.Rand = random
	q.pool = scheduling.NewPool(p.spec.name, cfg, fleet, estimate.New(estimate.Config{}))
	return q
}

func newFleet(s *simulation, p *poolModel, parts int, register *quarantine.Register, random *rand.Rand) *placement.Fleet {
	fleet := placement.NewFleet(placement.Config{Quarantine: register}, random)
	fleet.Update(s.clock.now(), p.endpoints(parts), nil)
	return fleet
}

// deliver carries decisions to the asking daemons after a delay.
func (q *queue) deliver(decisions []scheduling.Decision, delay time.Duration) {
	for _, d := range decisions {
		a, ok := q.sim.attempts[d.Request.ID]
		if !ok {
			continue
		}
		a.job.heldBack = a.job.heldBack || d.Parked
		q.sim.clock.after(delay, func() {
			if d.Kind == scheduling.Granted {
				q.sim.granted(a, d.Grant.Endpoint.Name, d.Grant.Priority)
				return
			}
			q.sim.refused(a, d.Failure)
		})
	}
}

func (q *queue) submit(a *attempt, delay time.Duration) {
	q.deliver(q.pool.Submit(q.sim.clock.now(), q.sim.ask(a)), delay)
}

func (q *queue) violations() int { return len(q.history.Verify(false)) }
