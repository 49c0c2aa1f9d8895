package placement

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// suspectRuns counts the suspects that run and the endpoints that are kept free for one.
type suspectRuns struct {
	running  int
	reserved []*endpoint
	// waiting is when a suspect last had to wait, and waitingTier its tier.
	waiting     time.Time
	waitingTier catalog.Tier
}

// restAfterCrash is how long an endpoint that crashed takes no suspect, so that
// the next crash there is not taken for another sighting of the last.
const restAfterCrash = 2 * quarantine.DefaultSameCrash

// placeSuspect places ask alone on an idle endpoint. If there is none, it keeps
// the least busy endpoint free of new work until the next try.
func (f *Fleet) placeSuspect(now time.Time, ask *routing.PermitRequest) (routing.Placement, bool) {
	if f.suspects.running >= f.cfg.MaxSuspects || f.copies.running(ask.Digest) {
		f.suspects.waiting, f.suspects.waitingTier = now, ask.Tier
		return routing.Placement{}, false
	}
	d := &decision{now: now, ask: ask, strictAvoid: f.strictAvoid(ask)}
	e := f.leastBusy(d)
	if e == nil || !f.mayClose(e, ask.Tier) {
		return routing.Placement{}, false
	}
	if e.running.len > 0 {
		f.reserve(now, e)
		return routing.Placement{}, false
	}
	f.releaseReserved(now)
	r := newRun(now, ask, e)
	r.suspect = true
	if e.health.State(now) == health.HalfOpen {
		r.probe = true
		e.health.StartProbe(now)
	}
	f.count(now, r)
	return routing.Placement{Endpoint: e.config, Alternatives: 1, Reason: ReasonAlone}, true
}

// leastBusy returns the endpoint for the next suspect: the reserved one, else the
// one with the fewest runs. Half-open endpoints come last.
func (f *Fleet) leastBusy(d *decision) *endpoint {
	f.suspects.reserved = slices.DeleteFunc(f.suspects.reserved, func(e *endpoint) bool { return !e.reserved(d.now) })
	for _, e := range f.suspects.reserved {
		if f.takesSuspect(d, e) {
			return e
		}
	}
	var best *endpoint
	for _, e := range f.all {
		if f.takesSuspect(d, e) && (best == nil || d.lessBusy(e, best)) {
			best = e
		}
	}
	return best
}

func (d *decision) lessBusy(a, b *endpoint) bool {
	healthyA := a.state == health.Healthy
	healthyB := b.state == health.Healthy
	if healthyA != healthyB {
		return healthyA
	}
	if a.running.len != b.running.len {
		return a.running.len < b.running.len
	}
	return a.config.Name < b.config.Name
}

func (f *Fleet) takesSuspect(d *decision, e *endpoint) bool {
	rested := e.lastCrash.IsZero() || d.now.Sub(e.lastCrash) >= restAfterCrash
	kept := leavingFilter{}.keep(d, e) && healthFilter{}.keep(d, e) && avoidFilter{}.keep(d, e)
	return rested && kept && e.suspects == 0
}

func (f *Fleet) reserve(now time.Time, e *endpoint) {
	e.reservedUntil = now.Add(f.cfg.ReserveFor)
	if !slices.Contains(f.suspects.reserved, e) {
		f.suspects.reserved = append(f.suspects.reserved, e)
	}
	f.refresh(now, e)
}

// keepForNext keeps the endpoint of a suspect that has ended free for the next
// one, if one waits, so that it need not be emptied again.
func (f *Fleet) keepForNext(now time.Time, e *endpoint) {
	waits := now.Sub(f.suspects.waiting) < f.cfg.ReserveFor
	if waits && e.running.len == 0 && f.mayClose(e, f.suspects.waitingTier) {
		f.reserve(now, e)
	}
}

// spareShare is the share of the other endpoints' slots that may be busy when an
// endpoint is closed for a suspect of a tier that is not the highest.
const spareShare = 0.9

// mayClose reports whether e may be closed for a suspect of that tier: if the
// other endpoints can carry what runs, or no higher tier runs that would lose by it.
func (f *Fleet) mayClose(e *endpoint, tier catalog.Tier) bool {
	others := f.total.slots - e.counted.slots
	if float64(f.total.busy) <= spareShare*float64(others) {
		return true
	}
	for other, running := range f.tiers {
		if catalog.Tier(other) < tier && running > 0 {
			return false
		}
	}
	return true
}

// releaseReserved opens the reserved endpoints again.
func (f *Fleet) releaseReserved(now time.Time) {
	for _, e := range f.suspects.reserved {
		e.reservedUntil = time.Time{}
		f.refresh(now, e)
	}
	f.suspects.reserved = f.suspects.reserved[:0]
}

// maxProved bounds the digests that are remembered to have completed.
const maxProved = 8192

// copySet knows on which endpoints the copies of each digest run, and which
// digests have completed once. Only copies of an unproven digest are kept together.
type copySet struct {
	runningOn map[string][]*endpoint // one element for each copy.
	done      *simplelru.LRU[string, struct{}]
}

func newCopySet() *copySet {
	// The size is positive, which is the only thing that NewLRU checks.
	done, _ := simplelru.NewLRU[string, struct{}](maxProved, nil)
	return &copySet{runningOn: map[string][]*endpoint{}, done: done}
}

func (c *copySet) add(digest string, e *endpoint) {
	if digest != "" {
		c.runningOn[digest] = append(c.runningOn[digest], e)
	}
}

func (c *copySet) remove(digest string, e *endpoint) {
	if digest == "" {
		return
	}
	list := c.runningOn[digest]
	if at := slices.Index(list, e); at >= 0 {
		list = slices.Delete(list, at, at+1)
	}
	if len(list) == 0 {
		delete(c.runningOn, digest)
		return
	}
	c.runningOn[digest] = list
}

func (c *copySet) proved(digest string) { c.done.Add(digest, struct{}{}) }

func (c *copySet) running(digest string) bool { return len(c.runningOn[digest]) > 0 }

// endpoints returns the distinct endpoints on which copies of an unproven digest run.
func (c *copySet) endpoints(digest string) []*endpoint {
	list := c.runningOn[digest]
	if len(list) == 0 {
		return nil
	}
	if _, ok := c.done.Get(digest); ok {
		return nil
	}
	distinct := make([]*endpoint, 0, maxCopyEndpoints)
	for _, e := range list {
		if !slices.Contains(distinct, e) {
			distinct = append(distinct, e)
		}
	}
	return distinct
}
