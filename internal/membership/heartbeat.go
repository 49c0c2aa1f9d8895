package membership

import (
	"context"

	"github.com/primrosewell/primrosewell/internal/quarantine"
)

// Fact is what one daemon says of a member. Facts about one incarnation are
// ordered by Sequence; of two incarnations, the one that compares higher is newer.
type MemberUpdate struct {
	Member   Member
	Sequence uint64
}

// RunningDigest sums up the grants that a daemon has running in a pool.
type RunningDigest struct {
	Pool  string
	Count int
	// Digest is an order-free hash over the ask IDs.
	Digest uint64
}

// Payload is what the other parts of a daemon send along with a heartbeat.
type Payload struct {
	// Quarantine holds the entries that the receiver has not acknowledged.
	Quarantine []quarantine.Entry
	// QuarantineVersion is the sender's change counter, and QuarantineAck the
	// receiver's change counter up to which the sender has merged.
	QuarantineVersion uint64
	QuarantineAck     uint64
	// Running covers the pools that the receiver brokers.
	Running []RunningDigest
	// Restate names pools whose running grants the receiver should restate.
	Restate []string
}

// Heartbeat is one message, or its reply.
type Heartbeat struct {
	Sender  MemberUpdate
	Updates []MemberUpdate
	// Unreachable lists members that the sender's own calls do not reach.
	Unreachable []string
	Payload     Payload
	// Introduction asks the receiver for every member that it knows; in a reply it
	// says that Facts holds those, so that they are no news.
	FullSync bool
	// Superseded is set in a reply to an incarnation that a newer one has replaced.
	Superseded bool
}

// Transport carries heartbeats to a peer address.
type Transport interface {
	Heartbeat(ctx context.Context, address string, message Heartbeat) (Heartbeat, error)
}

// Exchange lets other parts of a daemon take part in heartbeats. Methods may be
// called concurrently.
type Exchange interface {
	// Outgoing returns what to send to a member, in a heartbeat or in a reply.
	Outgoing(to Member) Payload
	// Incoming takes what a member sent.
	Incoming(from Member, payload Payload)
}

// Exchanges joins several into one.
type Exchanges []Exchange

// Outgoing implements Exchange.
func (e Exchanges) Outgoing(to Member) Payload {
	var out Payload
	for _, x := range e {
		p := x.Outgoing(to)
		out.Quarantine = append(out.Quarantine, p.Quarantine...)
		out.QuarantineVersion = max(out.QuarantineVersion, p.QuarantineVersion)
		out.QuarantineAck = max(out.QuarantineAck, p.QuarantineAck)
		out.Running = append(out.Running, p.Running...)
		out.Restate = append(out.Restate, p.Restate...)
	}
	return out
}

// Incoming implements Exchange.
func (e Exchanges) Incoming(from Member, payload Payload) {
	for _, x := range e {
		x.Incoming(from, payload)
	}
}
