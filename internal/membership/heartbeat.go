package membership

import (
	"context"

	"github.com/primrosewell/primrosewell/internal/quarantine"
)

// MemberUpdate is the state of a member as some daemon saw it. Updates of one incarnation
// are ordered by Sequence; of two incarnations, the one that compares higher is newer.
type MemberUpdate struct {
	Member   Member
	Sequence uint64
}

// RunningDigest is the count and hash of the grants that a daemon has running in a pool.
type RunningDigest struct {
	Pool  string
	Count int
	// Digest is a hash of the attempt IDs that does not depend on their order.
	Digest uint64
}

// Payload is the data of other components in a heartbeat.
type Payload struct {
	// Quarantine holds the entries that the receiver has not acknowledged.
	Quarantine []quarantine.Entry
	// QuarantineVersion is the sender's change counter, and QuarantineAck the
	// receiver's change counter up to which the sender has merged.
	QuarantineVersion uint64
	QuarantineAck     uint64
	// Running has the pools of which the receiver is the broker.
	Running []RunningDigest
	// Restate lists the pools for which the receiver should send its running grants again.
	Restate []string
}

// Heartbeat is a heartbeat message or the reply to one.
type Heartbeat struct {
	Sender  MemberUpdate
	Updates []MemberUpdate
	// Unreachable lists the IDs of members that the sender's calls do not reach.
	Unreachable []string
	Payload     Payload
	// FullSync asks the receiver for all its members. In a reply, it means that Updates
	// holds them all and that the receiver of the reply should not forward them.
	FullSync bool
	// Superseded is set in a reply to a sender that has been replaced by a newer incarnation.
	Superseded bool
}

// Transport sends a heartbeat to a peer address and returns the reply.
type Transport interface {
	Heartbeat(ctx context.Context, address string, message Heartbeat) (Heartbeat, error)
}

// Exchange lets another component send and receive data with heartbeats. Methods may be
// called concurrently.
type Exchange interface {
	// Outgoing returns the payload for a member, in a heartbeat or in a reply.
	Outgoing(to Member) Payload
	// Incoming handles the payload that a member sent.
	Incoming(from Member, payload Payload)
}

// Exchanges combines several exchanges into one.
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
