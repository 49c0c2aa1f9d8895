package scheduling

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/routing"
)

// Restore accounts for a running grant of a previous broker. It is idempotent.
func (p *Pool) Restore(now time.Time, progress routing.Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	_, runs := p.running[progress.AttemptID]
	_, waits := p.waiting[progress.AttemptID]
	if runs || waits || p.ended.Contains(progress.AttemptID) {
		return
	}
	request := progress.Request
	request.ID = progress.AttemptID
	c := p.classFor(request)
	grant := routing.Grant{AttemptID: request.ID, Priority: priority(request)}
	grant.Endpoint.Name = progress.Endpoint
	p.running[request.ID] = &runningGrant{request: request, grant: grant, class: c}
	c.running++
	p.placer.Restore(now, progress)
}

// SetConservative limits grants to ConservativeShare of the free slots until the given
// time, and makes them on ticks only. Then the share grows to 1 within ConservativeRamp,
// so that long requests of lower tiers do not take every slot at once; during the ramp
// the highest tier and dispatches owed to a floor are not limited.
func (p *Pool) SetConservative(now, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	p.conservativeUntil = until
}

// conservativeShare is the share of the free slots that may be granted now.
func (p *Pool) conservativeShare(now time.Time) float64 {
	if p.conservativeUntil.IsZero() {
		return 1
	}
	if now.Before(p.conservativeUntil) {
		return p.cfg.ConservativeShare
	}
	rampProgress := now.Sub(p.conservativeUntil).Seconds() / p.cfg.ConservativeRamp.Seconds()
	return min(1, p.cfg.ConservativeShare+(1-p.cfg.ConservativeShare)*rampProgress)
}

// conservativeAllows reports whether conservative mode and its ramp allow a grant to
// the item.
func (p *Pool) conservativeAllows(now time.Time, it *item) bool {
	share := p.conservativeShare(now)
	if share >= 1 {
		return true
	}
	if !now.Before(p.conservativeUntil) && (it.class.tier == p.ordered[0].tier || it.class.credit >= 1) {
		return true
	}
	capacity := p.placer.Capacity(now)
	free := capacity.Slots - len(p.running) + p.conservativeGrants
	return float64(p.conservativeGrants) < math.Ceil(share*float64(free))
}

// Expire refuses the waiting requests of a daemon that is no longer a member and
// frees the slots of its running grants.
func (p *Pool) Expire(now time.Time, daemon string) []Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	for _, it := range p.waitingInOrder() {
		if it.request.Daemon == daemon {
			p.dequeue(it)
			p.refuse(now, it, ReasonDaemonGone, cancelledFailure())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.running)) {
		if r := p.running[id]; r.request.Daemon == daemon {
			p.freeSlot(now, r, cancelledReport(id, r))
		}
	}
	p.dispatch(now)
	return p.takeDecisions()
}

// cancelledReport returns the report for a grant whose daemon can no longer report.
func cancelledReport(id string, r *runningGrant) routing.Report {
	return routing.Report{
		AttemptID: id,
		RequestID: r.request.RequestID,
		Pool:      r.request.Pool,
		Endpoint:  r.grant.Endpoint.Name,
		Workspace: r.request.Workspace,
		Profile:   r.request.Profile,
		Class:     r.request.Class,
		Digest:    r.request.Digest,
		Result:    routing.ResultCancelled,
	}
}
