package membership

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/primrosewell/primrosewell/internal/quarantine"
)

// QuarantineExchange sends the changes of a quarantine register with heartbeats until
// each member has acknowledged them.
type QuarantineExchange struct {
	register *quarantine.Register
	clock    clockwork.Clock

	mu    sync.Mutex
	peers map[string]quarantinePeer
}

// quarantinePeer holds the register versions exchanged with one incarnation of a member.
type quarantinePeer struct {
	incarnation string
	// acknowledged is the version of this register that the member has merged; merged is
	// the version of the member's register that this daemon has merged.
	acknowledged uint64
	merged       uint64
}

// NewQuarantineExchange returns an exchange for register.
func NewQuarantineExchange(register *quarantine.Register, clock clockwork.Clock) *QuarantineExchange {
	return &QuarantineExchange{register: register, clock: clock, peers: map[string]quarantinePeer{}}
}

// Outgoing implements Exchange.
func (q *QuarantineExchange) Outgoing(to Member) Payload {
	counters := q.countersOf(to)
	entries, version := q.register.EntriesSince(q.clock.Now(), counters.acknowledged)
	return Payload{Quarantine: entries, QuarantineVersion: version, QuarantineAck: counters.merged}
}

// Incoming implements Exchange.
func (q *QuarantineExchange) Incoming(from Member, payload Payload) {
	q.register.Merge(q.clock.Now(), payload.Quarantine)
	q.mu.Lock()
	defer q.mu.Unlock()
	counters := q.peers[from.ID]
	if counters.incarnation != from.Incarnation {
		counters = quarantinePeer{incarnation: from.Incarnation}
	}
	counters.acknowledged = payload.QuarantineAck
	counters.merged = max(counters.merged, payload.QuarantineVersion)
	q.peers[from.ID] = counters
}

func (q *QuarantineExchange) countersOf(m Member) quarantinePeer {
	q.mu.Lock()
	defer q.mu.Unlock()
	counters := q.peers[m.ID]
	if counters.incarnation != m.Incarnation {
		return quarantinePeer{}
	}
	return counters
}
