package membership

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/primrosewell/primrosewell/internal/quarantine"
)

// QuarantineExchange sends the changes of a quarantine register along with
// heartbeats, until each member has acknowledged them.
type QuarantineExchange struct {
	register *quarantine.Register
	clock    clockwork.Clock

	mu    sync.Mutex
	peers map[string]quarantinePeer
}

// quarantinePeer holds change counters of one incarnation.
type quarantinePeer struct {
	incarnation string
	// acknowledged is our counter up to which it has merged; merged is its, for us.
	acknowledged uint64
	merged       uint64
}

// NewQuarantineExchange returns an exchange for register.
func NewQuarantineExchange(register *quarantine.Register, clock clockwork.Clock) *QuarantineExchange {
	return &QuarantineExchange{register: register, clock: clock, peers: map[string]quarantinePeer{}}
}

// Outgoing implements Exchange.
func (q *QuarantineExchange) Outgoing(to Member) Payload {
	known := q.peer(to)
	entries, version := q.register.EntriesSince(q.clock.Now(), known.acknowledged)
	return Payload{Quarantine: entries, QuarantineVersion: version, QuarantineAck: known.merged}
}

// Incoming implements Exchange.
func (q *QuarantineExchange) Incoming(from Member, payload Payload) {
	q.register.Merge(q.clock.Now(), payload.Quarantine)
	q.mu.Lock()
	defer q.mu.Unlock()
	known := q.peers[from.ID]
	if known.incarnation != from.Incarnation {
		known = quarantinePeer{incarnation: from.Incarnation}
	}
	known.acknowledged = payload.QuarantineAck
	known.merged = max(known.merged, payload.QuarantineVersion)
	q.peers[from.ID] = known
}

func (q *QuarantineExchange) peer(m Member) quarantinePeer {
	q.mu.Lock()
	defer q.mu.Unlock()
	known := q.peers[m.ID]
	if known.incarnation != m.Incarnation {
		return quarantinePeer{}
	}
	return known
}
