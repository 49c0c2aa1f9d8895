package gossip

import (
	"math"
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
	"github.com/samber/oops"
)

// Load pattern: a fleet of hundreds. A daemon that told each of the others itself would
// fill its link and use up its processor; it tells some, and each of them tells some more.

// maxRelayed bounds the daemons that one relay tells; each takes 5 bytes of a datagram.
const maxRelayed = 36

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

// legs plans how all are told in two steps. Relays are drawn among the live, others each
// time, so that the loss of one costs some daemons one message. permutation draws an order
// of n indices.
func legs(all, live []netip.Addr, permutation func(n int) []int) []leg {
	if len(all) == 0 {
		return nil
	}
	heads := max(int(math.Ceil(math.Sqrt(float64(len(all))))), (len(all)+maxRelayed)/(maxRelayed+1))
	if heads > len(live) {
		return lo.Map(all, func(a netip.Addr, _ int) leg { return leg{to: a} })
	}
	plan := lo.Map(permutation(len(live))[:heads], func(i, _ int) leg { return leg{to: live[i]} })
	rest := lo.Without(all, lo.Map(plan, func(l leg, _ int) netip.Addr { return l.to })...)
	for i, a := range rest {
		l := &plan[i%heads]
		l.relay = append(l.relay, a)
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
