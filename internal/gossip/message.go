// Package gossip implements the protocol between gateways. Small UDP datagrams tell each
// daemon which others are live, which versions of the configuration they have, and their
// load at each endpoint. A peer's snapshot is fetched over HTTP. No state is persistent.
package gossip

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/quarantine/parts"
	"github.com/primrosewell/primrosewell/internal/resume"
	"github.com/primrosewell/primrosewell/internal/usage"
)

const (
	// maxDatagram bounds a datagram in bytes; larger ones would be fragmented.
	maxDatagram = 1400
	// envelopeOverhead is the size of an envelope without its message, and
	// forwardAddressBytes that of each address to which the receiver forwards.
	envelopeOverhead, forwardAddressBytes = 16, 5
	// maxDirectBytes bounds a message that is sent directly, and maxBroadcastBytes one that
	// is broadcast through relays.
	maxDirectBytes    = maxDatagram - envelopeOverhead
	maxBroadcastBytes = maxDirectBytes - maxForwardsPerRelay*forwardAddressBytes
)

// protocolVersion changes when older daemons can't decode a message.
const protocolVersion = 3

// Message is what one daemon sends to another.
type Message struct {
	Protocol int `cbor:"1,keyasint"`
	// Node is the sender's name. Incarnation is the start time of its process in Unix ns.
	Node        string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint"`
	// Address is the sender's IP address.
	Address string `cbor:"4,keyasint"`
	// TableVersion is the version of the sender's route table.
	TableVersion int64 `cbor:"5,keyasint"`
	// ListNumber and ListEra are the version of the sender's endpoint list; older daemons send
	// no era.
	ListNumber int64 `cbor:"9,keyasint,omitempty"`
	ListEra    int64 `cbor:"20,keyasint,omitempty"`
	// Watching is set while the sender watches the platform.
	Watching bool `cbor:"11,keyasint,omitempty"`
	// PlatformUnreachable is set while the sender can't read the platform.
	PlatformUnreachable bool `cbor:"12,keyasint,omitempty"`
	// WatcherCount is the number of daemons that watch the platform and can read it, as far
	// as the sender knows from their messages, itself included.
	WatcherCount int `cbor:"16,keyasint,omitempty"`
	// AnnouncedCount is the number of daemons that watch the platform, whether or not they can
	// read it, as WatcherCount. Older daemons don't send it.
	AnnouncedCount int `cbor:"34,keyasint,omitempty"`
	// DaemonCount is the number of daemons that the sender observes, itself included; see
	// Members.ObservedCount.
	DaemonCount int `cbor:"17,keyasint,omitempty"`
	// WatcherAddresses are the IP addresses of some watchers, for a daemon that was just
	// found.
	WatcherAddresses []string `cbor:"19,keyasint,omitempty"`
	// DataCentre is the sender's data centre.
	DataCentre string `cbor:"18,keyasint,omitempty"`
	// Leaving is set while the sender shuts down.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Loads is the sender's own load at each endpoint, highest load first.
	Loads []LoadEntry `cbor:"7,keyasint,omitempty"`
	// AggregatedLoads is the load of all daemons that the sender has current reports of, its
	// own included. Watchers in a large fleet send it in separate datagrams.
	AggregatedLoads []LoadEntry `cbor:"13,keyasint,omitempty"`
	// LoadsOmitted is set in a message without Loads: the loads sent before remain valid.
	LoadsOmitted bool `cbor:"14,keyasint,omitempty"`
	// DeltaParts holds a part of a delta, in a separate datagram.
	DeltaParts []DeltaPart `cbor:"15,keyasint,omitempty"`
	// KnownAddresses are the IP addresses of some daemons that the sender knows.
	KnownAddresses []string `cbor:"8,keyasint,omitempty"`
	// StreamOrigins, StreamQuery and StreamAnswer are about streams that may be resumed, each in
	// a datagram of its own. Older daemons read the rest of such a message only.
	StreamOrigins []resume.Record `cbor:"21,keyasint,omitempty"`
	StreamQuery   *resume.Query   `cbor:"22,keyasint,omitempty"`
	StreamAnswer  *resume.Answer  `cbor:"23,keyasint,omitempty"`
	// PartEvidence is the evidence against parts of prompts that crash endpoints, in a datagram of its
	// own. Older daemons read the rest of such a message only.
	PartEvidence *parts.Evidence `cbor:"24,keyasint,omitempty"`
	// ContentEvidence is the evidence against requests that crash endpoints, in a datagram of its own.
	// Older daemons read the rest of such a message only; key 10 had theirs.
	ContentEvidence *parts.Evidence `cbor:"25,keyasint,omitempty"`
	// ContentTrials and PartTrials belong to the evidence of the same message.
	ContentTrials []parts.RunningTrial `cbor:"26,keyasint,omitempty"`
	PartTrials    []parts.RunningTrial `cbor:"27,keyasint,omitempty"`
	// LimitEnds are the limits of endpoints that ended lately, in a datagram of their own. Older daemons
	// read the rest of such a message only.
	LimitEnds []balance.LimitEnd `cbor:"28,keyasint,omitempty"`
	// BrittleNews are the endpoints that are brittle, in a datagram of their own. Older daemons read the
	// rest of such a message only.
	BrittleNews []balance.BrittleNews `cbor:"30,keyasint,omitempty"`
	// SpreadNumber is the number of the newest list version that has spread, of the era ListEra, as
	// the sender knows from the messages that it received; see resume.SpreadVersion. Older daemons
	// don't send it.
	SpreadNumber int64 `cbor:"31,keyasint,omitempty"`
	// Carries is set by daemons that carry connections of their peers to endpoints. Older daemons don't.
	Carries bool `cbor:"29,keyasint,omitempty"`
	// Usage are counts of requests, in messages to daemons that watch the platform, and the sender's
	// clock. It is sent only where usage reports are a duty. Older daemons read the rest of the message.
	Usage *usage.Report `cbor:"32,keyasint,omitempty"`
}

// listVersion returns the version of the sender's endpoint list.
func (m Message) listVersion() directory.Version {
	return directory.Version{Era: m.ListEra, Number: m.ListNumber}
}

// encode drops the smallest loads until the message fits into maxBytes. A peer takes an
// endpoint that is missing from Loads for one without load.
func encode(m Message, maxBytes int) ([]byte, error) {
	m.Protocol = protocolVersion
	for {
		data, err := cbor.Marshal(m)
		if err != nil {
			return nil, oops.Wrapf(err, "gossip message")
		}
		if len(data) <= maxBytes || len(m.Loads) == 0 {
			return data, nil
		}
		m.Loads = m.Loads[:len(m.Loads)*7/8]
	}
}

func decode(data []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Message{}, oops.Wrapf(err, "gossip message")
	}
	if m.Protocol != protocolVersion || m.Node == "" || m.Address == "" {
		return Message{}, oops.Errorf("gossip message of protocol %d from %q", m.Protocol, m.Node)
	}
	return m, nil
}
