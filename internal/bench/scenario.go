package bench

import (
	"time"

	"github.com/samber/lo"
)

// Times of a run.
const (
	warmUp   = 10 * time.Second
	loadEnd  = 70 * time.Second
	runEnd   = 200 * time.Second
	faultAt  = 25 * time.Second
	burstEnd = 60 * time.Second
)

// Loads, as multiples of the pools' computation.
const (
	steadyLoad   = 0.7
	backgroundIn = 0.5
	overload     = 2.0
	burstLoad    = 3.0
	resendLoad   = 1.5
)

// scenarioSpec describes one scenario.
type scenarioSpec struct {
	name string
	// load is the multiple of the pool's computation that a class brings at a time.
	// A class brings its own share of it, but for a burst, which is of the whole pool.
	load func(c *classSpec, at time.Duration) float64
	// reportLag is the age of load reports when they arrive.
	reportLag time.Duration
	// resends is how often a caller sends a refused or failed request again.
	resends int
	// impatient is the share of callers that ignore Retry-After.
	impatient float64
	// begin plans the faults.
	begin func(s *simulation)
}

// reportLag is the usual age of a load report.
const reportLag = 500 * time.Millisecond

func constant(load float64) func(*classSpec, time.Duration) float64 {
	return func(c *classSpec, _ time.Duration) float64 { return load * c.share }
}

// burst lets the classes of one tier bring 3 times the whole pool's computation.
func burst(tier int) func(*classSpec, time.Duration) float64 {
	return func(c *classSpec, at time.Duration) float64 {
		if int(c.tier) == tier && at >= warmUp && at < burstEnd {
			return burstLoad
		}
		return backgroundIn * c.share
	}
}

var scenarios = []scenarioSpec{
	{name: "steady", load: constant(steadyLoad)},
	{name: "burst-low", load: burst(3)},
	{name: "burst-middle", load: burst(2)},
	{name: "burst-top", load: burst(1)},
	{name: "overload", load: constant(overload)},
	{name: "straggler", load: constant(steadyLoad), begin: slowOne},
	{name: "late-reports", load: constant(overload), reportLag: 5 * time.Second},
	{name: "crash", load: constant(steadyLoad), begin: crashOne},
	{name: "poison", load: constant(steadyLoad), begin: sendPoison, resends: 3},
	{name: "daemon-loss", load: constant(overload), begin: loseDaemon, resends: 1},
	{name: "resend", load: constant(resendLoad), resends: 5, impatient: 0.3},
}

// stragglerFactor is how much slower a straggler is.
const stragglerFactor = 10

func slowOne(s *simulation) {
	s.clock.after(faultAt, func() {
		for _, p := range s.pools {
			p.engines[0].slow = stragglerFactor
		}
	})
}

func crashOne(s *simulation) {
	s.clock.after(faultAt, func() {
		for _, p := range s.pools {
			p.engines[0].crash()
		}
	})
}

// sendPoison sends a request that crashes each engine that runs it.
func sendPoison(s *simulation) {
	s.clock.after(faultAt, func() {
		p := s.pools[0]
		s.send(s.newJob(p, &p.spec.classes[1], true))
	})
}

// loseDaemon takes away the daemon that decides for the first pool.
func loseDaemon(s *simulation) {
	s.clock.after(faultAt, func() { s.loseDaemon(0) })
}

func scenarioNamed(name string) (scenarioSpec, bool) {
	return lo.Find(scenarios, func(s scenarioSpec) bool { return s.name == name })
}
