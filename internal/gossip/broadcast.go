package gossip

import (
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
	"github.com/samber/oops"
)

// Load pattern: a fleet of hundreds. A daemon that told each of the others itself would
// fill its link and use up its processor; it tells some, and each of them tells some more.

const (
	// relayed is the number of daemons that one relay tells, and maxRelayed the most that it
	// may be asked to tell; each takes 5 bytes of a datagram.
	relayed, maxRelayed = 18, 36
)

// place is where a daemon is, as far as is known.
type place struct {
	address    netip.Addr
	dataCentre string
	live       bool
}

// envelope is what a datagram holds: a message, and to whom its receiver passes it on.
type envelope struct {
	_     struct{} `cbor:",toarray"`
	Relay []uint32
	Body  []byte
}

func encodeEnvelope(body []byte, relay []netip.Addr) ([]byte, error) {
	data, err := cbor.Marshal(envelope{Relay: lo.Map(relay, func(a netip.Addr, _ int) uint32 { return numberOf(a) }), Body: body})
	return data, oops.Wrapf(err, "gossip envelope")
}

func decodeEnvelope(data []byte) (body []byte, relay []netip.Addr, err error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, nil, oops.Wrapf(err, "gossip envelope")
	}
	if len(e.Relay) > maxRelayed {
		return nil, nil, oops.Errorf("gossip envelope for %d daemons", len(e.Relay))
	}
	return e.Body, lo.Map(e.Relay, func(n uint32, _ int) netip.Addr { return addrOf(n) }), nil
}

func numberOf(a netip.Addr) uint32 {
	b := a.As4()
	return uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
}

func addrOf(n uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
}

// leg is one datagram of a spread: its receiver, and to whom that one passes it on.
type leg struct {
	to    netip.Addr
	relay []netip.Addr
}

// legs plans how all are told in two steps. Bytes between data centres are dear, so a relay
// tells daemons of its own data centre; those of which it is not known are told directly.
// Relays are drawn among the live, others each time, so that the loss of one costs some
// daemons one message. permutation draws an order of n indices.
func legs(places []place, permutation func(n int) []int) []leg {
	var plan []leg
	for _, group := range lo.PartitionBy(places, func(p place) string { return p.dataCentre }) {
		live := lo.Filter(group, func(p place, _ int) bool { return p.live })
		heads := (len(group) + relayed) / (relayed + 1)
		if group[0].dataCentre == "" || heads > len(live) || (len(group)-heads+heads-1)/heads > maxRelayed {
			plan = append(plan, lo.Map(group, func(p place, _ int) leg { return leg{to: p.address} })...)
			continue
		}
		drawn := make(map[netip.Addr]bool, heads)
		from := len(plan)
		for _, i := range permutation(len(live))[:heads] {
			drawn[live[i].address] = true
			plan = append(plan, leg{to: live[i].address})
		}
		rest := lo.Filter(group, func(p place, _ int) bool { return !drawn[p.address] })
		for i, p := range rest {
			l := &plan[from+i%heads]
			l.relay = append(l.relay, p.address)
		}
	}
	return plan
}

// parseAddresses leaves out what is no IPv4 number: a peer passed it on, and no message
// comes from it either.
func parseAddresses(addresses []string) []netip.Addr {
	parsed := make([]netip.Addr, 0, len(addresses))
	for _, address := range addresses {
		if a, err := netip.ParseAddr(address); err == nil && a.Is4() {
			parsed = append(parsed, a)
		}
	}
	return slices.Clip(parsed)
}
