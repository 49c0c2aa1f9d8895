package balance

import (
	"math"
	"time"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// Load pattern: an overloaded endpoint names in its responses the requests a second that it takes
// from all daemons together. Daemons decide alone and learn of the limit one by one. Each keeps a
// part of it; if the limit is too small for all of them, a few daemons at a time share it, others
// after some seconds.

// shareMaxAge is how long a computed share is used. The number of daemons changes over seconds.
const shareMaxAge = 200 * time.Millisecond

// limit is the limit that a process names, and this daemon's part of it.
type limit struct {
	routetable.Endpoint
	key       EndpointKey
	perSecond float64
	// since is when the limit was first named here, and namedAt when it last was.
	since, namedAt time.Time

	share   limitShare
	shareAt time.Time
	slot    int64
	// sharing is set while this daemon is one of those that share the limit.
	sharing bool
	permits float64
	savedAt time.Time
}

// update computes the share anew if it is old, and adds the permits saved since.
func (l *limit) update(now time.Time, fleet Fleet) {
	if l.shareAt.IsZero() || now.Sub(l.shareAt) >= shareMaxAge || l.slotAt(now) != l.slot {
		l.save(now)
		l.share, l.shareAt = shareOf(l.perSecond, max(1, fleet.Size())), now
		l.slot = l.slotAt(now)
		sharing := l.share.rotation == 0 || fleet.Rank(l.key, l.slot) < l.share.active
		if sharing != l.sharing {
			l.sharing, l.permits = sharing, 0
		}
	}
	l.save(now)
}

// save adds the permits since savedAt.
func (l *limit) save(now time.Time) {
	if l.sharing {
		l.permits = min(l.share.burst, l.permits+l.share.rate*max(0, now.Sub(l.savedAt).Seconds()))
	}
	l.savedAt = now
}

func (l *limit) slotAt(now time.Time) int64 {
	if l.share.rotation == 0 {
		return 0
	}
	return now.UnixNano() / int64(l.share.rotation)
}

// permitsRequest reports whether a request of this priority may be sent now.
func (l *limit) permitsRequest(priority int) bool {
	return l.sharing && l.permits >= l.share.permitsNeeded(priority)
}

// wait returns the time until a request of this priority may be sent: here, or, while other daemons
// share the limit, by one of them. A caller that comes back mostly reaches another one.
func (l *limit) wait(priority int) time.Duration {
	needed, rate := l.share.permitsNeeded(priority)-l.permits, l.share.rate
	if !l.sharing {
		needed, rate = 1, l.share.rate*float64(l.share.active)
	}
	return time.Duration(max(0, needed) / rate * float64(time.Second))
}

// limits holds the limit of the latest process that named one, by endpoint id.
type limits map[string]*limit

// of returns the limit of the endpoint's process, or nil.
func (l limits) of(e routetable.Endpoint) *limit {
	if known := l[e.ID]; known != nil && e.StartedAt == known.StartedAt {
		return known
	}
	return nil
}

// SetFleet sets what tells of the other daemons. It must be called before the pool is used; a pool
// without it has one daemon.
func (p *Pool) SetFleet(fleet Fleet) { p.fleet = fleet }

// aloneFleet is a fleet of one daemon.
type aloneFleet struct{}

func (aloneFleet) Size() int                   { return 1 }
func (aloneFleet) Rank(EndpointKey, int64) int { return 0 }

// NoteLimit records that a response to a request sent at sentAt names a limit in requests a second,
// or none if named is false. A response without one ends the limit only if its request was sent after
// the limit was last named here, as responses overtake each other. cause is the kind of the response.
func (c *Choice) NoteLimit(now, sentAt time.Time, perSecond float64, named bool, cause Cause) {
	c.pool.noteLimit(now, c.Endpoint, sentAt, perSecond, named, cause)
}

func (p *Pool) noteLimit(now time.Time, e routetable.Endpoint, sentAt time.Time, perSecond float64, named bool, cause Cause) {
	p.mu.Lock()
	defer p.unlock()
	known := p.limits[e.ID]
	switch {
	case !named:
		if known != nil && known.StartedAt == e.StartedAt && sentAt.After(known.namedAt) {
			delete(p.limits, known.ID)
			t := limitEndOf(now, known, cause)
			t.SentAt = sentAt
			p.noteTransition(t)
		}
	case math.IsNaN(perSecond) || perSecond < 0:
	case known != nil && known.StartedAt > e.StartedAt: // A late response of an earlier process.
	case known != nil && known.StartedAt == e.StartedAt:
		if known.perSecond != perSecond {
			known.perSecond, known.shareAt = perSecond, time.Time{}
		}
		known.namedAt = now
	default:
		if known != nil {
			p.endLimit(now, known, Replaced)
		}
		l := &limit{Endpoint: e, key: KeyOf(e.ID), perSecond: perSecond, since: now, namedAt: now, savedAt: now}
		l.update(now, p.fleet)
		p.limits[e.ID] = l
		p.noteTransition(Transition{Endpoint: e, State: StateLimited, Begins: true, Cause: cause, At: now, Since: now, Limit: perSecond, Sharing: l.share.active})
	}
}

func (p *Pool) endLimit(now time.Time, l *limit, cause Cause) {
	delete(p.limits, l.ID)
	p.noteTransition(limitEndOf(now, l, cause))
}

func limitEndOf(now time.Time, l *limit, cause Cause) Transition {
	return Transition{Endpoint: l.Endpoint, State: StateLimited, Cause: cause, At: now, Since: l.since, Limit: l.perSecond, Sharing: l.share.active}
}

// forgetLimits drops the limits of processes that are not listed and have named none for
// leavingRetention.
func (p *Pool) forgetLimits(now time.Time) {
	for id, l := range p.limits {
		if p.endpoints[id] == nil && now.Sub(l.namedAt) > leavingRetention {
			p.endLimit(now, l, Forgotten)
		}
	}
}

// hasPermit reports whether the limit of an endpoint, if it names one, allows a request now.
func (p *Pool) hasPermit(now time.Time, e *endpoint, priority int) bool {
	if len(p.limits) == 0 {
		return true // Usual, and saves a lookup for each endpoint.
	}
	l := p.limits.of(e.Endpoint)
	if l == nil {
		return true
	}
	l.update(now, p.fleet)
	return l.permitsRequest(priority)
}

// spendPermit takes the permit of a request that is about to be sent.
func (p *Pool) spendPermit(e *endpoint) {
	if l := p.limits.of(e.Endpoint); l != nil {
		l.permits--
	}
}

// ReturnPermit gives back the permit of a request that is not sent.
func (c *Choice) ReturnPermit() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.returnPermit()
}

func (c *Choice) returnPermit() {
	if l := c.pool.limits.of(c.Endpoint); l != nil && c.limited {
		l.permits = min(l.share.burst, l.permits+1)
		c.limited = false
	}
}
