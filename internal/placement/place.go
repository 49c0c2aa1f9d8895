package placement

import (
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Reasons of placements.
const (
	// ReasonLoad means the best of load and speed.
	ReasonLoad = "load"
	// ReasonAffinity means that the endpoint is believed to have the prompt's prefix.
	ReasonAffinity = "affinity"
	// ReasonProbe means that the request probes a half-open endpoint.
	ReasonProbe = "probe"
	// ReasonAlone means that a suspect runs alone.
	ReasonAlone = "alone"
	// ReasonCopy means that another copy of the request runs there.
	ReasonCopy = "copy"
)

// Place reserves an endpoint for ask; false means that none may take it now. A
// blocked digest is never placed; see Refuses.
func (f *Fleet) Place(now time.Time, ask routing.PermitRequest) (routing.Placement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshSome(now)
	switch f.stateOf(now, &ask) {
	case quarantine.Blocked:
		return routing.Placement{}, false
	case quarantine.Suspect:
		return f.placeSuspect(now, &ask)
	default:
		return f.placeScored(now, &ask)
	}
}

// Refuses reports whether the digest is blocked, so that waiting is of no use.
func (f *Fleet) Refuses(now time.Time, digest string) bool {
	return digest != "" && f.cfg.Quarantine.State(now, digest) == quarantine.Blocked
}

// Constrained reports whether ask may be refused by Place although other asks
// would be taken, so that it must not hold up the queue.
func (f *Fleet) Constrained(now time.Time, ask routing.PermitRequest) bool {
	if ask.Suspect || len(ask.Avoid) > 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stateOf(now, &ask) != quarantine.Clear || len(f.copies.endpoints(ask.Digest)) >= maxCopyEndpoints
}

func (f *Fleet) stateOf(now time.Time, ask *routing.PermitRequest) quarantine.State {
	state := quarantine.Clear
	if ask.Digest != "" {
		state = f.cfg.Quarantine.State(now, ask.Digest)
	}
	if state == quarantine.Clear && ask.Suspect {
		return quarantine.Suspect
	}
	return state
}

func (f *Fleet) placeScored(now time.Time, ask *routing.PermitRequest) (routing.Placement, bool) {
	d := &decision{now: now, ask: ask, strictAvoid: f.strictAvoid(ask), only: f.copies.endpoints(ask.Digest)}
	f.drawCandidates(d)
	best := f.best(d)
	if best == nil {
		return routing.Placement{}, false
	}
	alternatives := len(f.open)
	r := f.start(now, ask, best.endpoint, best.matched)
	return routing.Placement{
		Endpoint:     best.endpoint.config,
		Alternatives: alternatives,
		Reason:       d.reason(r),
		HedgeAfter:   f.hedgeAfter(ask),
	}, true
}

func (d *decision) reason(r *run) string {
	switch {
	case r.probe:
		return ReasonProbe
	case slices.Contains(d.only, r.endpoint):
		return ReasonCopy
	case r.matched > 0:
		return ReasonAffinity
	default:
		return ReasonLoad
	}
}

// strictAvoid reports whether an eligible endpoint is left beside those to avoid.
func (f *Fleet) strictAvoid(ask *routing.PermitRequest) bool {
	avoided := 0
	for _, name := range ask.Avoid {
		if e, ok := f.byName[name]; ok && e.eligible() {
			avoided++
		}
	}
	return f.total.eligible > avoided
}

// drawCandidates fills f.candidates with endpoints that pass the filters: those
// with copies of the request, those with the prompt's prefix, and a sample of
// the open ones, or all of them if they are few.
func (f *Fleet) drawCandidates(d *decision) {
	f.candidates = f.candidates[:0]
	f.decisions++
	for _, e := range d.only {
		f.consider(d, e, 0)
	}
	if len(f.candidates) > 0 {
		return
	}
	f.prefixes.visit(d.ask.Prefix, func(x holder, depth int) bool {
		if e := f.slots[x.slot]; e != nil && e.cacheEpoch == x.epoch {
			f.consider(d, e, depth)
		}
		return len(f.candidates) < maxHolders
	})
	if len(f.open) <= 2*f.cfg.Sample {
		for _, e := range f.open {
			f.consider(d, e, 0)
		}
		return
	}
	for range f.cfg.Sample {
		f.consider(d, f.open[f.rng.IntN(len(f.open))], 0)
	}
}

// consider adds e to the candidates once, if the filters keep it.
func (f *Fleet) consider(d *decision, e *endpoint, matched int) {
	if e.drawn == f.decisions {
		return
	}
	e.drawn = f.decisions
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

// start counts ask as running on e.
func (f *Fleet) start(now time.Time, ask *routing.PermitRequest, e *endpoint, matched int) *run {
	r := newRun(now, ask, e)
	r.matched = matched
	if e.health.State(now) == health.HalfOpen {
		r.probe = true
		e.health.StartProbe(now)
	}
	f.count(now, r)
	f.prefixes.learn(ask.Prefix, holder{slot: e.slot, epoch: e.cacheEpoch})
	return r
}

// count adds a run to the endpoint's and the fleet's counts.
func (f *Fleet) count(now time.Time, r *run) {
	e := r.endpoint
	e.running.add(r)
	r.inFlight = e.running.len
	f.runs[r.askID] = r
	f.tiers[r.tier]++
	f.copies.add(r.digest, e)
	if r.suspect {
		e.suspects++
		f.suspects.running++
	}
	f.refresh(now, e)
}

// minHedgeAfter bounds the delay of a hedge from below.
const minHedgeAfter = 20 * time.Millisecond

// hedgeAfter is the time within which the first token comes for 95 in 100 such prompts.
func (f *Fleet) hedgeAfter(ask *routing.PermitRequest) time.Duration {
	high := f.health.Typical().FirstTokenHigh()
	if !ask.Repeatable || high == 0 || f.total.eligible < 2 {
		return 0
	}
	return max(high, minHedgeAfter)
}

// Restore counts a grant that is still running; it is idempotent by AskID. For a
// known grant it shows how the answer comes along.
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
	ask := progress.Request
	ask.ID = progress.AttemptID
	r := newRun(now.Add(-progress.Elapsed), &ask, e)
	r.suspect = f.stateOf(now, &ask) == quarantine.Suspect
	f.count(now, r)
}
