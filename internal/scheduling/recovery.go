package scheduling

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/routing"
)

// Restore counts a grant that an earlier broker made. It is idempotent.
func (p *Pool) Restore(now time.Time, progress routing.Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	_, runs := p.running[progress.AttemptID]
	_, waits := p.waiting[progress.AttemptID]
	if runs || waits || p.ended.Contains(progress.AttemptID) {
		return
	}
	ask := progress.Request
	ask.ID = progress.AttemptID
	c := p.classOf(ask)
	grant := routing.Grant{AttemptID: ask.ID, Priority: priority(ask)}
	grant.Endpoint.Name = progress.Endpoint
	p.running[ask.ID] = &run{ask: ask, grant: grant, class: c}
	c.running++
	p.placer.Restore(now, progress)
}

// SetCautious limits grants to a share of the free slots until the given time, and
// makes them on ticks only. After that the share grows to the whole within
// CautiousRamp; the highest tier and the floors are not limited any more, so that
// long work of lower tiers does not take every slot at once.
func (p *Pool) SetConservative(now, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	p.cautiousUntil = until
}

// cautionShare is the share of the free slots that may be granted.
func (p *Pool) cautionShare(now time.Time) float64 {
	if p.cautiousUntil.IsZero() {
		return 1
	}
	if now.Before(p.cautiousUntil) {
		return p.cfg.CautiousShare
	}
	grown := now.Sub(p.cautiousUntil).Seconds() / p.cfg.CautiousRamp.Seconds()
	return min(1, p.cfg.CautiousShare+(1-p.cfg.CautiousShare)*grown)
}

// cautionAllows reports whether a new broker may grant a slot to it.
func (p *Pool) cautionAllows(now time.Time, it *item) bool {
	share := p.cautionShare(now)
	if share >= 1 {
		return true
	}
	if !now.Before(p.cautiousUntil) && (it.class.tier == p.ordered[0].tier || it.class.credit >= 1) {
		return true
	}
	capacity := p.placer.Capacity(now)
	free := capacity.Slots - len(p.running) + p.cautious
	return float64(p.cautious) < math.Ceil(share*float64(free))
}

// Expire drops the waiting asks of a daemon that is gone and frees its running grants.
func (p *Pool) Expire(now time.Time, daemon string) []Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	for _, it := range p.waitingInOrder() {
		if it.ask.Daemon == daemon {
			p.leave(it)
			p.refuse(now, it, ReasonDaemonGone, cancelled())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.running)) {
		if r := p.running[id]; r.ask.Daemon == daemon {
			p.free(now, r, cancelledReport(id, r))
		}
	}
	p.dispatch(now)
	return p.take()
}

// cancelledReport ends a grant whose daemon can not report any more.
func cancelledReport(id string, r *run) routing.Report {
	return routing.Report{
		AttemptID: id,
		RequestID: r.ask.RequestID,
		Pool:      r.ask.Pool,
		Endpoint:  r.grant.Endpoint.Name,
		Workspace: r.ask.Workspace,
		Profile:   r.ask.Profile,
		Class:     r.ask.Class,
		Digest:    r.ask.Digest,
		Result:    routing.ResultCancelled,
	}
}
