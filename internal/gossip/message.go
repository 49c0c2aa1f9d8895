// Package gossip is the inner protocol between gateways: small datagrams that tell
// each daemon which others live, which configuration they have, and how much work they
// have at each endpoint. It holds no state that must last.
package gossip

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/quarantine"
)

const (
	// maxDatagram bounds a datagram; larger ones would be cut into fragments.
	maxDatagram = 1400
	// envelopeBytes is what an envelope takes, and relayBytes each relay that it names.
	envelopeBytes, relayBytes = 16, 5
	// maxMessage bounds a message that its sender tells itself, and maxSpread one that is
	// told by way of relays.
	maxMessage = maxDatagram - envelopeBytes
	maxSpread  = maxMessage - maxRelayed*relayBytes
)

// protocolVersion changes when older daemons can't read a message.
const protocolVersion = 3

// Message is what one daemon tells another.
type Message struct {
	Protocol int `cbor:"1,keyasint"`
	// Node is the sender's name and Incarnation the start of its process, in Unix ns.
	Node        string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint"`
	// Address is the sender's IP number.
	Address string `cbor:"4,keyasint"`
	// Table is the version of the sender's route table.
	TableVersion int64 `cbor:"5,keyasint"`
	// Listing numbers the sender's list of endpoints; a higher number is newer.
	ListVersion int64 `cbor:"9,keyasint,omitempty"`
	// Following is set while the sender follows the platform itself.
	Following bool `cbor:"11,keyasint,omitempty"`
	// Blind is set while the sender can't read the platform.
	Blind bool `cbor:"12,keyasint,omitempty"`
	// Followed is the number of daemons that the sender has heard follow the platform and
	// read it, itself included.
	Followed int `cbor:"16,keyasint,omitempty"`
	// Counted is the number of daemons that the sender has heard of lately, itself included.
	Counted int `cbor:"17,keyasint,omitempty"`
	// Followers are the addresses of some that follow the platform, for a daemon that was
	// just found.
	Followers []string `cbor:"19,keyasint,omitempty"`
	// DataCentre is where the sender is.
	DataCentre string `cbor:"18,keyasint,omitempty"`
	// Leaving is set while the sender shuts down.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Loads is the sender's own work at each endpoint, the most work first.
	Loads []LoadEntry `cbor:"7,keyasint,omitempty"`
	// Sums is set in a datagram of its own that daemons which follow the platform send in
	// a large fleet: the work of all daemons that the sender heard lately, its own included.
	Sums []LoadEntry `cbor:"13,keyasint,omitempty"`
	// Brief is set in a message without Loads: what the sender told before stands.
	Brief bool `cbor:"14,keyasint,omitempty"`
	// News is set in a datagram of its own: a part of what changed lately.
	News []NewsPart `cbor:"15,keyasint,omitempty"`
	// Crashes is the evidence against requests that crash endpoints.
	Crashes []quarantine.Entry `cbor:"10,keyasint,omitempty"`
	// Known are the IP numbers of some daemons that the sender heard of lately.
	Known []string `cbor:"8,keyasint,omitempty"`
}

// encode drops the smallest loads until the message fits. Peers take an
// endpoint that is not named for one without work.
func encode(m Message, most int) ([]byte, error) {
	m.Protocol = protocolVersion
	for {
		data, err := cbor.Marshal(m)
		if err != nil {
			return nil, oops.Wrapf(err, "gossip message")
		}
		if len(data) <= most || len(m.Loads) == 0 {
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
