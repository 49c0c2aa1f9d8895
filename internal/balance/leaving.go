package balance

import (
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// Load pattern: an endpoint says in its answers that it leaves, while the platform or a list
// from another daemon still calls it ready. It gets no new requests from then on; the process
// is identified by its id and start time, as its address may soon belong to another one.

// leavingRetention is how long after it was last listed a leaving process is remembered. A list
// that names it later is older than any that this daemon has to expect.
const leavingRetention = time.Hour

// leavingInstance is the latest process of an endpoint id that leaves.
type leavingInstance struct {
	startedAt  int64
	lastListed time.Time
}

// leavingInstances holds the leaving processes by endpoint id.
type leavingInstances map[string]leavingInstance

// has reports whether the endpoint's process leaves. An earlier process of the same id has
// ended, and its entry would lead to the leaving one.
func (l leavingInstances) has(e routetable.Endpoint) bool {
	instance, found := l[e.ID]
	return found && e.StartedAt <= instance.startedAt
}

// keep refreshes the entry of a listed process.
func (l leavingInstances) keep(now time.Time, listed routetable.Endpoint) {
	if l.has(listed) {
		l[listed.ID] = leavingInstance{startedAt: l[listed.ID].startedAt, lastListed: now}
	}
}

// expire forgets processes that were last listed more than leavingRetention ago.
func (l leavingInstances) expire(now time.Time) {
	for id, instance := range l {
		if now.Sub(instance.lastListed) > leavingRetention {
			delete(l, id)
		}
	}
}

// MarkLeaving takes a process out for new requests, whatever later lists say. Requests that
// run there are not affected.
func (p *Pool) MarkLeaving(now time.Time, e routetable.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markLeaving(now, e)
}

// MarkLeaving is Pool.MarkLeaving for the endpoint of the choice.
func (c *Choice) MarkLeaving(now time.Time) { c.pool.MarkLeaving(now, c.Endpoint) }

func (p *Pool) markLeaving(now time.Time, e routetable.Endpoint) {
	if p.leaving.has(e) {
		return
	}
	p.leaving[e.ID] = leavingInstance{startedAt: e.StartedAt, lastListed: now}
	p.order = slices.DeleteFunc(p.order, func(listed *endpoint) bool { return p.leaving.has(listed.Endpoint) })
	p.resetReservation()
}

// Withdrawal is why an endpoint gets no new requests, whoever chose it and when.
type Withdrawal int

const (
	// NotWithdrawn means that the endpoint may get requests.
	NotWithdrawn Withdrawal = iota
	// Leaving means that its process said that it leaves.
	Leaving
	// InBackoff means that its process asked for no requests for a time that has not passed.
	InBackoff
)

// Withdrawn returns whether and why the endpoint gets no requests now, including health checks
// and probes.
func (p *Pool) Withdrawn(now time.Time, e routetable.Endpoint) Withdrawal {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving.has(e) {
		return Leaving
	}
	p.endBackoffs(now)
	if b := p.backoffs.of(e); b != nil && !b.ended {
		return InBackoff
	}
	return NotWithdrawn
}

// Withdrawn returns whether and why the endpoint was withdrawn after it was chosen. The choice
// then ends with the result Withdrawn instead of a request.
func (c *Choice) Withdrawn(now time.Time) Withdrawal { return c.pool.Withdrawn(now, c.Endpoint) }

// CurrentFetchFrom returns FetchFrom, or "" if its endpoint was withdrawn after the choice.
func (c *Choice) CurrentFetchFrom(now time.Time) string {
	if c.fetchSource == nil || c.pool.Withdrawn(now, c.fetchSource.Endpoint) != NotWithdrawn {
		return ""
	}
	return c.FetchFrom
}
