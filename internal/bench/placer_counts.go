package bench

import (
	"math/rand/v2"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// countPlacer chooses by power of two choices on this daemon's own counts and the
// last known counts of the others.
type countPlacer struct {
	endpoints []catalog.Endpoint
	random    *rand.Rand
	own       map[string]int
	others    map[string]int
	// avoidUntil keeps an endpoint out for a while after it failed.
	avoidUntil map[string]time.Time
}

// failedRest is how long a failed endpoint is left alone.
const failedRest = 2 * time.Second

// Place implements scheduling.Placer.
func (p *countPlacer) Place(now time.Time, _ routing.PermitRequest) (routing.Placement, bool) {
	var open []catalog.Endpoint
	for _, e := range p.endpoints {
		if p.load(e) < e.MaxConcurrent && !now.Before(p.avoidUntil[e.Name]) {
			open = append(open, e)
		}
	}
	if len(open) == 0 {
		return routing.Placement{}, false
	}
	chosen, other := open[p.random.IntN(len(open))], open[p.random.IntN(len(open))]
	if p.load(other) < p.load(chosen) {
		chosen = other
	}
	p.own[chosen.Name]++
	return routing.Placement{Endpoint: chosen, Alternatives: len(open), Reason: "count"}, true
}

func (p *countPlacer) load(e catalog.Endpoint) int { return p.own[e.Name] + p.others[e.Name] }

// Done implements scheduling.Placer.
func (p *countPlacer) Done(now time.Time, report routing.Report) {
	p.own[report.Endpoint]--
	if report.Result == routing.ResultCrashed || report.Result == routing.ResultNotStarted {
		if p.avoidUntil == nil {
			p.avoidUntil = map[string]time.Time{}
		}
		p.avoidUntil[report.Endpoint] = now.Add(failedRest)
	}
}

// Restore implements scheduling.Placer.
func (p *countPlacer) Restore(_ time.Time, progress routing.Progress) { p.own[progress.Endpoint]++ }

// Capacity implements scheduling.Placer.
func (p *countPlacer) Capacity(time.Time) routing.Capacity {
	c := routing.Capacity{Endpoints: len(p.endpoints)}
	for _, e := range p.endpoints {
		c.Slots += e.MaxConcurrent
		c.Busy += p.load(e)
	}
	return c
}

// ObserveLoad implements placer; reports are not used.
func (p *countPlacer) ObserveLoad(time.Time, routing.Load) {}

// ObserveCache implements placer; cache events are not used.
func (p *countPlacer) ObserveCache(time.Time, string, placement.CacheEvents) {}
