package balance

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// Load pattern: an endpoint in need says in its responses how many requests it can reject in a
// second, N; with one more it falls over, and its load moves to the next. All daemons see the same
// free place, and know of each other's requests with a delay. Each takes a part of the room that it
// knows to be free. Where little is, or a request was rejected nevertheless, a few daemons at a time
// send one request each.

const (
	// settleTime is the time after which other daemons know of a request, and after which one that was
	// not rejected has found room.
	settleTime = 500 * time.Millisecond
	// rejectionTime is the time within which a rejection comes back.
	rejectionTime = 150 * time.Millisecond
	// brittleQuiet is how long a daemon sends nothing to a brittle endpoint that has rejected a request:
	// the users' window. It doubles with each rejection in a row, up to maxQuietDoublings times.
	brittleQuiet      = time.Second
	maxQuietDoublings = 2
	// cautionTime is how long after a rejection few daemons at a time send to the endpoint.
	cautionTime = 3 * time.Second
	// scarceShare is the part of an endpoint's slots beyond which its room counts as little.
	scarceShare = 0.5
	// usedRejectionShare is the part of N that a turn may use up: two turns share a window.
	usedRejectionShare = 0.4
	// brittleTurn is how long the same daemons send where room is little.
	brittleTurn = time.Second
	// maxRejections bounds absurd values of N.
	maxRejections = 1e6
)

// brittleness is that of the process that named it, and what this daemon has sent there.
type brittleness struct {
	routetable.Endpoint
	key        EndpointKey
	rejections float64
	// since is when it was first named, namedAt when it last was, and answeredAt when it last was in a
	// response to this daemon.
	since, namedAt, answeredAt time.Time
	// sent holds the times of the requests sent within settleTime that are running.
	sent []time.Time
	// rejectedAt is when the endpoint last rejected a request of this daemon, which was the number
	// inRow without a success between, and quietUntil until when none is sent.
	rejectedAt, quietUntil time.Time
	inRow                  int
	// rank is this daemon's place among all in a turn.
	turn int64
	rank int
}

// brittleEndpoints holds the brittleness of the latest process that named one, by endpoint id.
type brittleEndpoints map[string]*brittleness

// of returns the brittleness of the endpoint's process, or nil.
func (b brittleEndpoints) of(e routetable.Endpoint) *brittleness {
	if known := b[e.ID]; known != nil && known.StartedAt == e.StartedAt {
		return known
	}
	return nil
}

// takes reports whether this daemon, one of daemons, may send a request to the endpoint now.
func (b *brittleness) takes(now time.Time, e *endpoint, fleet Fleet) bool {
	if now.Before(b.quietUntil) {
		return false
	}
	b.forgetSettled(now)
	known := e.running + e.remote.Running
	free := float64(e.Slots - known)
	daemons := max(1, fleet.Size())
	scarce := daemons > 1 && float64(known) >= scarceShare*float64(e.Slots) || now.Sub(b.rejectedAt) < cautionTime
	if share := free / float64(daemons); !scarce && share >= 1 {
		return float64(len(b.sent)) < share
	}
	if now.Sub(b.rejectedAt) >= cautionTime && e.running < b.ownPart(now, e.Slots, daemons, fleet) {
		return true
	}
	if len(b.sent) > 0 && now.Sub(b.sent[len(b.sent)-1]) < rejectionTime {
		return false
	}
	return free > 0 && b.place(now, fleet) < max(1, int(usedRejectionShare*b.rejections))
}

// ownPart returns the number of slots that are this daemon's own: all daemons together have no more
// than there are, those of two turns included.
func (b *brittleness) ownPart(now time.Time, slots, daemons int, fleet Fleet) int {
	if slots < daemons && b.place(now, fleet) < slots/2 {
		return 1
	}
	return slots / daemons
}

// place returns this daemon's place among all in this turn.
func (b *brittleness) place(now time.Time, fleet Fleet) int {
	if turn := now.UnixNano() / int64(brittleTurn); turn != b.turn {
		b.turn, b.rank = turn, fleet.Rank(b.key, turn)
	}
	return b.rank
}

func (b *brittleness) forgetSettled(now time.Time) {
	settled := 0
	for settled < len(b.sent) && now.Sub(b.sent[settled]) >= settleTime {
		settled++
	}
	b.sent = b.sent[settled:]
}

// NoteBrittle records that a response to a request sent at sentAt says how many rejections a second
// the endpoint bears, or doesn't if named is false. A response that doesn't ends the state only if its
// request was sent after it was last named here, as responses overtake each other.
func (c *Choice) NoteBrittle(now, sentAt time.Time, rejections float64, named bool, cause Cause) {
	p, e := c.pool, c.Endpoint
	p.mu.Lock()
	defer p.unlock()
	known := p.brittle[e.ID]
	switch {
	case !named:
		if known != nil && known.StartedAt == e.StartedAt && sentAt.After(known.namedAt) {
			p.endBrittle(now, known, cause)
		}
	case known != nil && known.StartedAt > e.StartedAt: // A late response of an earlier process.
	default:
		b := p.nameBrittle(now, e, rejections, cause)
		b.namedAt, b.answeredAt = now, now
	}
}

func (p *Pool) endBrittle(now time.Time, b *brittleness, cause Cause) {
	delete(p.brittle, b.ID)
	p.noteTransition(Transition{Endpoint: b.Endpoint, State: StateBrittle, Cause: cause, At: now, Since: b.since, Limit: b.rejections})
}

// forgetBrittle drops the states of processes that are not listed and have named none for
// leavingRetention.
func (p *Pool) forgetBrittle(now time.Time) {
	for id, b := range p.brittle {
		if p.endpoints[id] == nil && now.Sub(b.namedAt) > leavingRetention {
			p.endBrittle(now, b, Forgotten)
		}
	}
}

// takesBrittle reports whether the endpoint, if it is brittle, may get a request now.
func (p *Pool) takesBrittle(now time.Time, e *endpoint) bool {
	if len(p.brittle) == 0 {
		return true // Usual, and saves a lookup for each endpoint.
	}
	b := p.brittle.of(e.Endpoint)
	if b != nil && now.Sub(b.namedAt) > brittleMemory {
		p.endBrittle(now, b, Forgotten)
		return true
	}
	return b == nil || b.takes(now, e, p.fleet)
}

// noteBrittleSent records a request that is about to be sent.
func (p *Pool) noteBrittleSent(now time.Time, e *endpoint) {
	if b := p.brittle.of(e.Endpoint); b != nil {
		b.sent = append(b.sent, now)
	}
}

// noteBrittleResult records the result of a request.
func (p *Pool) noteBrittleResult(now time.Time, e *endpoint, result Result) {
	b := p.brittle.of(e.Endpoint)
	switch {
	case b == nil:
	case result == Full || result == BackedOff:
		b.rejectedAt, b.quietUntil = now, now.Add(brittleQuiet<<min(b.inRow, maxQuietDoublings))
		b.inRow++
	case result == Succeeded:
		b.inRow = 0
	}
	if b != nil && len(b.sent) > 0 {
		b.sent = b.sent[1:] // Which one it was makes no difference.
	}
}

const (
	// brittleNewsAge is how old a response may be of which other daemons are notified, and
	// maxBrittleNews bounds the endpoints in a message.
	brittleNewsAge = 2 * time.Second
	maxBrittleNews = 32
	// brittleMemory is how long a state lasts without a response, here or elsewhere, that names it.
	brittleMemory = 10 * time.Second
)

// BrittleNews says that an endpoint named its brittleness Age ago, as daemons exchange it. A daemon
// that has sent nothing to the endpoint would not know.
type BrittleNews struct {
	_          struct{} `cbor:",toarray"`
	Endpoint   EndpointKey
	StartedAt  int64
	Rejections float64
	Age        time.Duration
}

// BrittleNews returns what this daemon's own responses have said within brittleNewsAge.
func (p *Pool) BrittleNews(now time.Time) (news []BrittleNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.brittle {
		if age := now.Sub(b.answeredAt); age < brittleNewsAge && len(news) < maxBrittleNews {
			news = append(news, BrittleNews{Endpoint: b.key, StartedAt: b.StartedAt, Rejections: b.rejections, Age: age})
		}
	}
	return news
}

// LearnBrittle records what other daemons' responses have said.
func (p *Pool) LearnBrittle(now time.Time, news []BrittleNews) {
	p.mu.Lock()
	defer p.unlock()
	for _, n := range news {
		if n.Age < 0 || n.Age > brittleNewsAge || !(n.Rejections >= 0) {
			continue
		}
		for _, e := range p.order {
			if e.key == n.Endpoint && e.StartedAt == n.StartedAt {
				p.nameBrittle(now, e.Endpoint, n.Rejections, NamedToPeer).namedAt = now.Add(-n.Age)
			}
		}
	}
}

// nameBrittle returns the endpoint's state, which begins if there is none, with the number that was
// named.
func (p *Pool) nameBrittle(now time.Time, e routetable.Endpoint, rejections float64, cause Cause) *brittleness {
	rejections = min(rejections, maxRejections)
	b := p.brittle[e.ID]
	if b != nil && b.StartedAt == e.StartedAt {
		b.rejections = rejections
		return b
	}
	if b != nil {
		p.endBrittle(now, b, Replaced)
	}
	b = &brittleness{Endpoint: e, key: KeyOf(e.ID), rejections: rejections, since: now, namedAt: now}
	p.brittle[e.ID] = b
	p.noteTransition(Transition{Endpoint: e, State: StateBrittle, Begins: true, Cause: cause, At: now, Since: now, Limit: rejections})
	return b
}
