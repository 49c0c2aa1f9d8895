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
	routetable.Endpoint
	since, lastListed time.Time
	// replaced is set once a later process of the id was listed.
	replaced bool
}

// leavingInstances holds the leaving processes by endpoint id.
type leavingInstances map[string]*leavingInstance

// has reports whether the endpoint's process leaves. An earlier process of the same id has
// ended, and its entry would lead to the leaving one.
func (l leavingInstances) has(e routetable.Endpoint) bool {
	instance, found := l[e.ID]
	return found && e.StartedAt <= instance.StartedAt
}

// keep refreshes the entry of a listed process.
func (l leavingInstances) keep(now time.Time, listed routetable.Endpoint) {
	if l.has(listed) {
		l[listed.ID].lastListed = now
	}
}

// expireLeaving forgets processes that were last listed more than leavingRetention ago.
func (p *Pool) expireLeaving(now time.Time) {
	for id, instance := range p.leaving {
		if now.Sub(instance.lastListed) > leavingRetention {
			delete(p.leaving, id)
			p.endLeaving(now, instance, Forgotten)
		}
	}
}

// MarkLeaving takes a process out for new requests, whatever later lists say. Requests that
// run there are not affected. cause is the answer that said so.
func (p *Pool) MarkLeaving(now time.Time, e routetable.Endpoint, cause Cause) {
	p.mu.Lock()
	defer p.unlock()
	p.markLeaving(now, e, cause)
}

// MarkLeaving is Pool.MarkLeaving for the endpoint of the choice.
func (c *Choice) MarkLeaving(now time.Time, cause Cause) { c.pool.MarkLeaving(now, c.Endpoint, cause) }

func (p *Pool) markLeaving(now time.Time, e routetable.Endpoint, cause Cause) {
	if p.leaving.has(e) {
		return
	}
	if earlier := p.leaving[e.ID]; earlier != nil {
		p.endLeaving(now, earlier, Replaced)
	}
	p.leaving[e.ID] = &leavingInstance{Endpoint: e, since: now, lastListed: now}
	p.noteTransition(Transition{Endpoint: e, State: StateLeaving, Begins: true, Cause: cause, At: now, Since: now})
	p.order = slices.DeleteFunc(p.order, func(listed *endpoint) bool { return p.leaving.has(listed.Endpoint) })
	p.resetReservation()
}

// endLeaving notes the end of the state, once. The process stays known after it was replaced:
// an older list may still name it.
func (p *Pool) endLeaving(now time.Time, instance *leavingInstance, cause Cause) {
	if instance.replaced {
		return
	}
	instance.replaced = cause == Replaced
	p.noteTransition(Transition{Endpoint: instance.Endpoint, State: StateLeaving, Cause: cause, At: now, Since: instance.since})
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

// String returns the reason in words.
func (w Withdrawal) String() string {
	return [...]string{NotWithdrawn: "not withdrawn", Leaving: "it leaves", InBackoff: "it asked for no requests"}[w]
}

// Withdrawn returns whether and why the endpoint gets no requests now, including health checks
// and probes.
func (p *Pool) Withdrawn(now time.Time, e routetable.Endpoint) Withdrawal {
	p.mu.Lock()
	defer p.unlock()
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
// then ends with the result NotSent and no request.
func (c *Choice) Withdrawn(now time.Time) Withdrawal { return c.pool.Withdrawn(now, c.Endpoint) }

// CurrentFetchFrom returns FetchFrom, or "" if its endpoint was withdrawn after the choice.
func (c *Choice) CurrentFetchFrom(now time.Time) string {
	if c.FetchFrom == "" || c.pool.Withdrawn(now, c.fetchSource) != NotWithdrawn {
		return ""
	}
	return c.FetchFrom
}
