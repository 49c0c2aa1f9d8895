package membership

import (
	"context"
	"time"
)

// Fact is what one daemon says of a member. Facts about one incarnation are
// ordered by Sequence; of two incarnations, the one that compares higher is newer.
type Fact struct {
	Member   Member
	Sequence uint64
}

// QuarantineEntry is a request digest that crashed endpoints.
type QuarantineEntry struct {
	Digest string
	// Crashes counts the endpoints that fell.
	Crashes int
	// Endpoints names them.
	Endpoints []string
	// Quarantined digests are refused; others are suspects.
	Quarantined bool
	// Remaining is how long the entry stays.
	Remaining time.Duration
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
	Quarantine []QuarantineEntry
	// Running covers the pools that the receiver brokers.
	Running []RunningDigest
	// Restate names pools whose running grants the receiver should restate.
	Restate []string
}

// Heartbeat is one message, or its reply.
type Heartbeat struct {
	Sender Fact
	Facts  []Fact
	// Unreachable lists members that the sender's own calls do not reach.
	Unreachable []string
	Payload     Payload
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
