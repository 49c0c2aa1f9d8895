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
	startedAt int64
	until     time.Time
	// ended is set once until has passed.
	ended bool
}

// backoffs holds the backoff of the latest process that asked for one, by endpoint id. It
// outlasts the endpoint's absence from the list.
type backoffs map[string]*backoff

// of returns the backoff of the endpoint's process, or nil. An entry of an earlier process of
// the id would lead to the one that asked.
func (b backoffs) of(e routetable.Endpoint) *backoff {
	if known := b[e.ID]; known != nil && e.StartedAt <= known.startedAt {
		return known
	}
	return nil
}

// Backoff keeps all requests of this daemon from a process for d, which its refusal asked for.
// A later call can extend that time and nothing can shorten it; a d of zero has no effect. The
// attempt that was refused ends with the result BackedOff.
func (p *Pool) Backoff(now time.Time, e routetable.Endpoint, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endBackoffs(now)
	p.backOff(now, e, d)
}

// Backoff is Pool.Backoff for the endpoint of the choice.
func (c *Choice) Backoff(now time.Time, d time.Duration) { c.pool.Backoff(now, c.Endpoint, d) }

func (p *Pool) backOff(now time.Time, e routetable.Endpoint, d time.Duration) {
	if d <= 0 {
		return
	}
	until := now.Add(min(d, maxBackoff))
	known := p.backoffs[e.ID]
	switch {
	case known == nil || known.startedAt < e.StartedAt, known.startedAt > e.StartedAt && known.ended:
		p.setBackoff(e.ID, &backoff{startedAt: e.StartedAt, until: until})
	case known.startedAt > e.StartedAt:
		// A late answer of an earlier process.
	case until.After(known.until):
		known.until, known.ended = until, false
	}
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
		b.ended = b.ended || !now.Before(b.until)
		if b.ended && now.Sub(b.until) >= returnTime {
			p.setBackoff(id, nil)
		}
	}
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
