package placement

import (
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Values of Placement.Reason.
const (
	// ReasonLoad means that load and speed decided.
	ReasonLoad = "load"
	// ReasonAffinity means that the endpoint presumably has part of the prompt cached.
	ReasonAffinity = "affinity"
	// ReasonProbe means that the request probes a half-open endpoint.
	ReasonProbe = "probe"
	// ReasonIsolated means that a suspect request runs alone on the endpoint.
	ReasonIsolated = "alone"
	// ReasonCopy means that another copy of the request runs there.
	ReasonCopy = "copy"
)

// Place reserves an endpoint for a permit request. It returns false if no endpoint can
// take the request now. A blocked digest is never placed; see Refuses.
func (f *Fleet) Place(now time.Time, request routing.PermitRequest) (routing.Placement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshSome(now)
	switch f.quarantineState(now, &request) {
	case quarantine.Blocked:
		return routing.Placement{}, false
	case quarantine.Suspect:
		return f.placeSuspect(now, &request)
	default:
		return f.placeScored(now, &request)
	}
}

// Refuses reports whether the digest is blocked, so that the request should be rejected
// rather than queued.
func (f *Fleet) Refuses(now time.Time, digest string) bool {
	return digest != "" && f.cfg.Quarantine.State(now, digest) == quarantine.Blocked
}

// Constrained reports whether Place may return false for this request although it would
// place others. Such a request must not block the queue behind it.
func (f *Fleet) Constrained(now time.Time, request routing.PermitRequest) bool {
	if request.Suspect || len(request.Avoid) > 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantineState(now, &request) != quarantine.Clear || len(f.copies.endpoints(request.Digest)) >= maxCopyEndpoints
}

func (f *Fleet) quarantineState(now time.Time, request *routing.PermitRequest) quarantine.State {
	state := quarantine.Clear
	if request.Digest != "" {
		state = f.cfg.Quarantine.State(now, request.Digest)
	}
	if state == quarantine.Clear && request.Suspect {
		return quarantine.Suspect
	}
	return state
}

func (f *Fleet) placeScored(now time.Time, request *routing.PermitRequest) (routing.Placement, bool) {
	d := &decision{now: now, request: request, enforceAvoid: f.enforceAvoid(request), copyEndpoints: f.copies.endpoints(request.Digest)}
	f.drawCandidates(d)
	best := f.best(d)
	if best == nil {
		return routing.Placement{}, false
	}
	alternatives := len(f.available)
	r := f.startRun(now, request, best.endpoint, best.matched)
	return routing.Placement{
		Endpoint:     best.endpoint.config,
		Alternatives: alternatives,
		Reason:       d.reason(r),
		HedgeAfter:   f.hedgeAfter(request),
	}, true
}

func (d *decision) reason(r *run) string {
	switch {
	case r.probe:
		return ReasonProbe
	case slices.Contains(d.copyEndpoints, r.endpoint):
		return ReasonCopy
	case r.matched > 0:
		return ReasonAffinity
	default:
		return ReasonLoad
	}
}

// enforceAvoid reports whether there is an eligible endpoint besides those to avoid.
func (f *Fleet) enforceAvoid(request *routing.PermitRequest) bool {
	avoided := 0
	for _, name := range request.Avoid {
		if e, ok := f.byName[name]; ok && e.eligible() {
			avoided++
		}
	}
	return f.total.eligible > avoided
}

// drawCandidates fills f.candidates with endpoints that pass the filters. Endpoints
// that run copies of the request come first; if any qualifies, no others are drawn.
// Otherwise the candidates are the presumed holders of the prompt's prefix and a random
// sample of the available endpoints, or all of those if they are few.
func (f *Fleet) drawCandidates(d *decision) {
	f.candidates = f.candidates[:0]
	f.decisionCount++
	for _, e := range d.copyEndpoints {
		f.consider(d, e, 0)
	}
	if len(f.candidates) > 0 {
		return
	}
	f.prefixes.visit(d.request.Prefix, func(x holder, depth int) bool {
		if e := f.slots[x.slot]; e != nil && e.cacheEpoch == x.epoch {
			f.consider(d, e, depth)
		}
		return len(f.candidates) < maxHolders
	})
	if len(f.available) <= 2*f.cfg.SampleSize {
		for _, e := range f.available {
			f.consider(d, e, 0)
		}
		return
	}
	for range f.cfg.SampleSize {
		f.consider(d, f.available[f.rng.IntN(len(f.available))], 0)
	}
}

// consider adds e to the candidates if it passes the filters. Further calls for the same
// endpoint in one decision do nothing.
func (f *Fleet) consider(d *decision, e *endpoint, matched int) {
	if e.lastDecision == f.decisionCount {
		return
	}
	e.lastDecision = f.decisionCount
	if keep(d, e) {
		f.candidates = append(f.candidates, candidate{endpoint: e, matched: matched})
	}
}

func (f *Fleet) best(d *decision) *candidate {
	for i := range f.candidates {
		c := &f.candidates[i]
		for _, s := range f.scorers {
			c.score += s.weight * s.scorer.score(d, c)
		}
	}
	return pickBest(f.candidates, f.rng)
}

// startRun records that request runs on e, as a probe if e is half open.
func (f *Fleet) startRun(now time.Time, request *routing.PermitRequest, e *endpoint, matched int) *run {
	r := newRun(now, request, e)
	r.matched = matched
	if e.health.State(now) == health.HalfOpen {
		r.probe = true
		e.health.StartProbe(now)
	}
	f.track(now, r)
	f.prefixes.storePrefix(request.Prefix, holder{slot: e.slot, epoch: e.cacheEpoch})
	return r
}

// track adds a run to the endpoint's and the fleet's counts.
func (f *Fleet) track(now time.Time, r *run) {
	e := r.endpoint
	e.running.add(r)
	r.inFlight = e.running.len
	f.runs[r.attemptID] = r
	f.tiers[r.tier]++
	f.copies.add(r.digest, e)
	if r.suspect {
		e.suspects++
		f.suspects.running++
	}
	f.refresh(now, e)
}

// minHedgeAfter is the minimum delay before a hedge.
const minHedgeAfter = 20 * time.Millisecond

// hedgeAfter returns the 95th percentile of the pool's time to first token, at least
// minHedgeAfter. It returns zero if the request must not be hedged.
func (f *Fleet) hedgeAfter(request *routing.PermitRequest) time.Duration {
	p95 := f.health.Baseline().FirstTokenP95()
	if !request.Repeatable || p95 == 0 || f.total.eligible < 2 {
		return 0
	}
	return max(p95, minHedgeAfter)
}

// Restore records a grant that is still running, so that a new broker can rebuild its
// counts. For a grant that is already recorded (by AttemptID), it only reports the
// progress to the endpoint's health.
func (f *Fleet) Restore(now time.Time, progress routing.Progress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.runs[progress.AttemptID]; ok {
		r.endpoint.health.ObserveProgress(now, r.probe, progress.Elapsed, progress.OutputTokens)
		f.refresh(now, r.endpoint)
		return
	}
	e, ok := f.byName[progress.Endpoint]
	if !ok {
		return
	}
	request := progress.Request
	request.ID = progress.AttemptID
	r := newRun(now.Add(-progress.Elapsed), &request, e)
	r.suspect = f.quarantineState(now, &request) == quarantine.Suspect
	f.track(now, r)
}
