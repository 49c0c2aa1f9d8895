package gossip

import (
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
	"github.com/samber/oops"
)

// Load pattern: a fleet of hundreds of daemons. A daemon that sent to each of the others
// itself would saturate its link and its CPU. It sends to some relays instead, and each of
// them forwards to some more.

const (
	// forwardsPerRelay is the planned number of daemons to which one relay forwards, and
	// maxForwardsPerRelay the most that it may be asked to; each takes 5 bytes of a datagram.
	forwardsPerRelay, maxForwardsPerRelay = 18, 36
)

// broadcastTarget is a daemon that a broadcast has to reach. dataCentre is empty if unknown.
type broadcastTarget struct {
	address    netip.Addr
	dataCentre string
	live       bool
}

// envelope is the content of a datagram: an encoded message, and the IPv4 addresses to which
// its receiver forwards it.
type envelope struct {
	_         struct{} `cbor:",toarray"`
	ForwardTo []uint32
	Body      []byte
}

func encodeEnvelope(body []byte, forwardTo []netip.Addr) ([]byte, error) {
	data, err := cbor.Marshal(envelope{ForwardTo: lo.Map(forwardTo, func(a netip.Addr, _ int) uint32 { return ipv4ToUint32(a) }), Body: body})
	return data, oops.Wrapf(err, "gossip envelope")
}

func decodeEnvelope(data []byte) (body []byte, forwardTo []netip.Addr, err error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, nil, oops.Wrapf(err, "gossip envelope")
	}
	if len(e.ForwardTo) > maxForwardsPerRelay {
		return nil, nil, oops.Errorf("gossip envelope with too many forward addresses: %d", len(e.ForwardTo))
	}
	return e.Body, lo.Map(e.ForwardTo, func(n uint32, _ int) netip.Addr { return uint32ToIPv4(n) }), nil
}

func ipv4ToUint32(a netip.Addr) uint32 {
	b := a.As4()
	return uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
}

func uint32ToIPv4(n uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
}

// relayHop is one datagram of a broadcast: its receiver, and the addresses to which the
// receiver forwards it.
type relayHop struct {
	to        netip.Addr
	forwardTo []netip.Addr
}

// planRelays plans a broadcast in two hops. Traffic between data centres is expensive, so a
// relay forwards only within its own data centre; daemons with no known data centre are sent
// to directly. Relays are drawn anew among the live daemons for each broadcast, so that the
// loss of one costs some daemons one message only. permutation returns a random order of n
// indices.
func planRelays(targets []broadcastTarget, permutation func(n int) []int) []relayHop {
	var plan []relayHop
	for _, group := range lo.PartitionBy(targets, func(target broadcastTarget) string { return target.dataCentre }) {
		live := lo.Filter(group, func(target broadcastTarget, _ int) bool { return target.live })
		relayCount := (len(group) + forwardsPerRelay) / (forwardsPerRelay + 1)
		if group[0].dataCentre == "" || relayCount > len(live) || (len(group)-relayCount+relayCount-1)/relayCount > maxForwardsPerRelay {
			plan = append(plan, lo.Map(group, func(target broadcastTarget, _ int) relayHop { return relayHop{to: target.address} })...)
			continue
		}
		relays := make(map[netip.Addr]bool, relayCount)
		firstRelay := len(plan)
		for _, i := range permutation(len(live))[:relayCount] {
			relays[live[i].address] = true
			plan = append(plan, relayHop{to: live[i].address})
		}
		rest := lo.Filter(group, func(target broadcastTarget, _ int) bool { return !relays[target.address] })
		for i, target := range rest {
			hop := &plan[firstRelay+i%relayCount]
			hop.forwardTo = append(hop.forwardTo, target.address)
		}
	}
	return plan
}

// parseAddresses skips addresses that are not IPv4: peers may have passed them on, and a
// daemon at such an address can't send here either.
func parseAddresses(addresses []string) []netip.Addr {
	parsed := make([]netip.Addr, 0, len(addresses))
	for _, address := range addresses {
		if a, err := netip.ParseAddr(address); err == nil && a.Is4() {
			parsed = append(parsed, a)
		}
	}
	return slices.Clip(parsed)
}
