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

// suspectState tracks the running suspect requests and the endpoints reserved for one.
type suspectState struct {
	running  int
	reserved []*endpoint
	// lastWait is when a suspect last could not be placed because of the bound on
	// suspects or a running copy, and waitingTier its tier.
	lastWait    time.Time
	waitingTier catalog.Tier
}

// crashCooldown is how long an endpoint takes no suspect after a crash. Otherwise the
// quarantine register could count the next crash there as a duplicate of the last one.
const crashCooldown = 2 * quarantine.DefaultDedupWindow

// placeSuspect places a suspect request in isolation on an idle endpoint. If the chosen
// endpoint is busy, it is reserved, so that its work can finish before the next attempt.
func (f *Fleet) placeSuspect(now time.Time, request *routing.PermitRequest) (routing.Placement, bool) {
	if f.suspects.running >= f.cfg.MaxSuspects || f.copies.running(request.Digest) {
		f.suspects.lastWait, f.suspects.waitingTier = now, request.Tier
		return routing.Placement{}, false
	}
	d := &decision{
		now: now, request: request, enforceAvoid: f.enforceAvoid(request),
		crashedOn: f.cfg.Quarantine.CrashedSince(now, now.Add(-crashCooldown), request.Digest),
	}
	e := f.leastBusy(d)
	if e == nil || !f.mayReserve(e, request.Tier) {
		return routing.Placement{}, false
	}
	if e.running.len > 0 {
		f.reserve(now, e)
		return routing.Placement{}, false
	}
	f.releaseReserved(now)
	r := newRun(now, request, e)
	r.suspect = true
	if e.health.State(now) == health.HalfOpen {
		r.probe = true
		e.health.StartProbe(now)
	}
	f.track(now, r)
	return routing.Placement{Endpoint: e.config, Alternatives: 1, Reason: ReasonIsolated}, true
}

// leastBusy returns the endpoint for the next suspect, or nil: a reserved one if
// possible, else the one with the fewest running requests, healthy before half open.
func (f *Fleet) leastBusy(d *decision) *endpoint {
	f.suspects.reserved = slices.DeleteFunc(f.suspects.reserved, func(e *endpoint) bool { return !e.reserved(d.now) })
	for _, e := range f.suspects.reserved {
		if f.canTakeSuspect(d, e) {
			return e
		}
	}
	var best *endpoint
	for _, e := range f.all {
		if f.canTakeSuspect(d, e) && (best == nil || d.lessBusy(e, best)) {
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

func (f *Fleet) canTakeSuspect(d *decision, e *endpoint) bool {
	cooledDown := e.lastCrash.IsZero() || d.now.Sub(e.lastCrash) >= crashCooldown
	cooledDown = cooledDown && !slices.Contains(d.crashedOn, e.config.Name)
	allowed := leavingFilter{}.keep(d, e) && healthFilter{}.keep(d, e) && avoidFilter{}.keep(d, e)
	return cooledDown && allowed && e.suspects == 0
}

func (f *Fleet) reserve(now time.Time, e *endpoint) {
	e.reservedUntil = now.Add(f.cfg.ReservationTimeout)
	if !slices.Contains(f.suspects.reserved, e) {
		f.suspects.reserved = append(f.suspects.reserved, e)
	}
	f.refresh(now, e)
}

// reserveForNext reserves the endpoint of a finished suspect for the next suspect, if
// one waits, so that the endpoint need not be drained again.
func (f *Fleet) reserveForNext(now time.Time, e *endpoint) {
	suspectWaits := now.Sub(f.suspects.lastWait) < f.cfg.ReservationTimeout
	if suspectWaits && e.running.len == 0 && f.mayReserve(e, f.suspects.waitingTier) {
		f.reserve(now, e)
	}
}

// maxBusyShare is the share of the other endpoints' slots that the pool's running
// requests may fill when an endpoint is reserved for a suspect while higher tiers run.
const maxBusyShare = 0.9

// mayReserve reports whether e may be reserved for a suspect of that tier: either the
// other endpoints have capacity for all running requests, or no request of a higher tier runs.
func (f *Fleet) mayReserve(e *endpoint, tier catalog.Tier) bool {
	others := f.total.slots - e.counted.slots
	if float64(f.total.busy) <= maxBusyShare*float64(others) {
		return true
	}
	for other, running := range f.tiers {
		if catalog.Tier(other) < tier && running > 0 {
			return false
		}
	}
	return true
}

// releaseReserved ends all reservations.
func (f *Fleet) releaseReserved(now time.Time) {
	for _, e := range f.suspects.reserved {
		e.reservedUntil = time.Time{}
		f.refresh(now, e)
	}
	f.suspects.reserved = f.suspects.reserved[:0]
}

// maxCompletedDigests is the maximum number of completed digests that are remembered.
const maxCompletedDigests = 8192

// copyTracker records which endpoints run copies of each digest, that is, requests with
// the same content, and which digests have completed once. Only copies of a digest that
// has not completed are confined to a few endpoints.
type copyTracker struct {
	runningOn map[string][]*endpoint // by digest; one element for each copy.
	completed *simplelru.LRU[string, struct{}]
}

func newCopyTracker() *copyTracker {
	// NewLRU fails only if the size is not positive.
	completed, _ := simplelru.NewLRU[string, struct{}](maxCompletedDigests, nil)
	return &copyTracker{runningOn: map[string][]*endpoint{}, completed: completed}
}

func (c *copyTracker) add(digest string, e *endpoint) {
	if digest != "" {
		c.runningOn[digest] = append(c.runningOn[digest], e)
	}
}

func (c *copyTracker) remove(digest string, e *endpoint) {
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

func (c *copyTracker) markCompleted(digest string) { c.completed.Add(digest, struct{}{}) }

func (c *copyTracker) running(digest string) bool { return len(c.runningOn[digest]) > 0 }

// endpoints returns the distinct endpoints that run copies of the digest, or nil if the
// digest has completed once.
func (c *copyTracker) endpoints(digest string) []*endpoint {
	list := c.runningOn[digest]
	if len(list) == 0 {
		return nil
	}
	if _, ok := c.completed.Get(digest); ok {
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
