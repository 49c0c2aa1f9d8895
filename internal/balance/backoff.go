package balance

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// Load pattern: an overloaded endpoint refuses requests and says for how long it wants none of
// this daemon's. Many daemons got the same answer at about the same time, so that all of them
// would come back in one moment, and to an endpoint that looks idle by then.

const (
	// maxBackoff bounds the time for which an endpoint is left alone, against absurd values.
	maxBackoff = time.Hour
	// returnTime is how long an endpoint takes part in fewer choices after its backoff. The
	// daemons exchange their loads a few times meanwhile.
	returnTime = time.Second
)

// backoff is the time for which a process gets no requests, because it said so. It is kept
// until returnTime after its end.
type backoff struct {
	routetable.Endpoint
	since time.Time
	// asked is the time that the latest refusal asked for.
	asked time.Duration
	until time.Time
	// ended is set once until has passed, and replaced once a later process of the id was listed.
	ended, replaced bool
}

// backoffs holds the backoff of the latest process that asked for one, by endpoint id. It
// outlasts the endpoint's absence from the list.
type backoffs map[string]*backoff

// of returns the backoff of the endpoint's process, or nil. An entry of an earlier process of
// the id would lead to the one that asked.
func (b backoffs) of(e routetable.Endpoint) *backoff {
	if known := b[e.ID]; known != nil && e.StartedAt <= known.StartedAt {
		return known
	}
	return nil
}

// Backoff keeps all requests of this daemon from a process for d, which its refusal asked for.
// A later call can extend that time and nothing can shorten it; a d of zero has no effect. The
// attempt that was refused ends with the result BackedOff. cause is the kind of the answer.
func (p *Pool) Backoff(now time.Time, e routetable.Endpoint, d time.Duration, cause Cause) {
	p.mu.Lock()
	defer p.unlock()
	p.endBackoffs(now)
	p.backOff(now, e, d, cause)
}

// Backoff is Pool.Backoff for the endpoint of the choice.
func (c *Choice) Backoff(now time.Time, d time.Duration) {
	c.pool.Backoff(now, c.Endpoint, d, OnRefusal)
}

func (p *Pool) backOff(now time.Time, e routetable.Endpoint, d time.Duration, cause Cause) {
	if d <= 0 {
		return
	}
	next := &backoff{Endpoint: e, since: now, asked: d, until: now.Add(min(d, maxBackoff))}
	known := p.backoffs[e.ID]
	switch {
	case known == nil || known.ended:
	case known.StartedAt > e.StartedAt:
		return // A late answer of an earlier process.
	case known.StartedAt < e.StartedAt:
		p.endBackoff(now, known, Replaced)
	default:
		if next.until.After(known.until) {
			known.asked, known.until = next.asked, next.until
		}
		return
	}
	p.setBackoff(e.ID, next)
	p.noteTransition(Transition{Endpoint: e, State: StateBackoff, Begins: true, Cause: cause, At: now, Since: now, Asked: d, Until: next.until})
}

// setBackoff replaces or, if b is nil, deletes the backoff of an endpoint id.
func (p *Pool) setBackoff(id string, b *backoff) {
	p.backoffs[id] = b
	if b == nil {
		delete(p.backoffs, id)
	}
	if e := p.endpoints[id]; e != nil {
		e.backoff = p.backoffs.of(e.Endpoint)
	}
}

// endBackoffs ends the backoffs and the returns whose time has passed.
func (p *Pool) endBackoffs(now time.Time) {
	for id, b := range p.backoffs {
		if !b.ended && !now.Before(b.until) {
			b.ended = true
			p.endBackoff(now, b, Elapsed)
		}
		if b.ended && now.Sub(b.until) >= returnTime {
			p.setBackoff(id, nil)
		}
	}
}

// endBackoff notes the end of the state, once. The backoff stays in force after its process was
// replaced: an older list may still name it.
func (p *Pool) endBackoff(now time.Time, b *backoff, cause Cause) {
	if b.replaced {
		return
	}
	b.replaced = cause == Replaced
	p.noteTransition(Transition{Endpoint: b.Endpoint, State: StateBackoff, Cause: cause, At: now, Since: b.since, Asked: b.asked, Until: b.until})
}

// backedOff reports whether the endpoint gets no requests because it asked for none.
func (e *endpoint) backedOff() bool { return e.backoff != nil && !e.backoff.ended }

// admitsReturn reports whether the endpoint takes part in one choice, which is rarer for some
// time after its backoff.
func (p *Pool) admitsReturn(now time.Time, e *endpoint) bool {
	return e.backoff == nil || p.random.Float64() < returnShare(now.Sub(e.backoff.until), p.daemons)
}

// returnShare returns the share of a daemon's choices in which an endpoint takes part so long
// after its backoff. All daemons together begin with about what one of them would send.
func returnShare(elapsed time.Duration, daemons int) float64 {
	return max(1/float64(max(1, daemons)), float64(elapsed)/float64(returnTime))
}

// SpreadReturn returns the Retry-After for a caller that was refused because every endpoint
// takes no requests for quiet. random is uniform in [0, 1).
func SpreadReturn(quiet time.Duration, random float64) time.Duration {
	return quiet + time.Duration(random*float64(returnTime))
}
