package gossip_test

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/gossip"
)

func addresses(n int) []netip.Addr {
	all := make([]netip.Addr, n)
	for i := range all {
		all[i] = netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
	}
	return all
}

// TestRelayPlanReachesEveryDaemonOnce draws fleets of up to 1,400 daemons in several data
// centres, some of them lost, some with no known data centre yet.
func TestRelayPlanReachesEveryDaemonOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 1400).Draw(t, "daemons")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		centres := rapid.SampledFrom([][]string{{"a"}, {"a", "b", "c"}, {"a", "b", ""}}).Draw(t, "data centres")
		lostPercent := rapid.IntRange(0, 100).Draw(t, "lost percent")
		targets := make([]gossip.BroadcastTarget, n)
		byAddress := make(map[netip.Addr]gossip.BroadcastTarget)
		for i, a := range addresses(n) {
			p := gossip.BroadcastTarget{Address: a, DataCentre: centres[random.IntN(len(centres))]}
			p.Live = p.DataCentre != "" && random.IntN(100) >= lostPercent
			targets[i], byAddress[a] = p, p
		}
		deliveries := make(map[netip.Addr]int)
		plan := gossip.PlanRelays(targets, random.Perm)
		for _, hop := range plan {
			deliveries[hop.To]++
			for _, a := range hop.ForwardTo {
				deliveries[a]++
				if byAddress[a].DataCentre != byAddress[hop.To].DataCentre {
					t.Fatalf("a relay forwards to a daemon in another data centre")
				}
			}
			if len(hop.ForwardTo) > 0 && !byAddress[hop.To].Live {
				t.Fatalf("a lost daemon is a relay")
			}
			if len(hop.ForwardTo) > gossip.MaxForwardsPerRelay {
				t.Fatalf("one relay forwards to %d daemons", len(hop.ForwardTo))
			}
		}
		if len(deliveries) != n {
			t.Fatalf("the plan reaches %d of %d daemons", len(deliveries), n)
		}
		for a, times := range deliveries {
			if times != 1 {
				t.Fatalf("the plan reaches %v %d times", a, times)
			}
		}
		if lostPercent == 0 && centres[len(centres)-1] != "" && len(plan) > n/19+len(centres) {
			t.Fatalf("%d direct datagrams for %d daemons", len(plan), n)
		}
	})
}

var _ = Describe("An envelope", func() {
	It("holds a message and the maximum number of forward addresses in one datagram", func() {
		body := bytes.Repeat([]byte{7}, gossip.MaxBroadcastBytes)
		forwardTo := addresses(gossip.MaxForwardsPerRelay)
		data, err := gossip.EncodeEnvelope(body, forwardTo)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<=", 1400))
		gotBody, gotForwardTo, err := gossip.DecodeEnvelope(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(gotBody).To(Equal(body))
		Expect(gotForwardTo).To(Equal(forwardTo))
	})

	It("is rejected if it has too many forward addresses or can't be decoded", func() {
		data, err := gossip.EncodeEnvelope(nil, addresses(gossip.MaxForwardsPerRelay+1))
		Expect(err).NotTo(HaveOccurred())
		_, _, err = gossip.DecodeEnvelope(data)
		Expect(err).To(HaveOccurred())
		_, _, err = gossip.DecodeEnvelope([]byte("hello"))
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("The parts of a delta", func() {
	delta := bytes.Repeat([]byte("0123456789"), 1000)

	It("are joined in any order, and duplicates ignored", func() {
		parts := gossip.SplitDelta(1, delta)
		Expect(parts).To(HaveLen(10))
		reassembler := &gossip.Reassembler{}
		for _, i := range []int{3, 9, 0, 0, 1, 2, 4, 5, 6, 7} {
			Expect(reassembler.Add("a", parts[i])).To(BeNil())
		}
		Expect(reassembler.Add("b", parts[8])).To(BeNil(), "the part is from another sender")
		Expect(reassembler.Add("a", parts[8])).To(Equal(delta))
		Expect(reassembler.Add("a", parts[8])).To(BeNil())
	})

	It("are dropped once a later delta arrives", func() {
		reassembler := &gossip.Reassembler{}
		early, late := gossip.SplitDelta(1, delta), gossip.SplitDelta(2, []byte("short"))
		for _, p := range early[1:] {
			reassembler.Add("a", p)
		}
		Expect(reassembler.Add("a", late[0])).To(Equal([]byte("short")))
		Expect(reassembler.Add("a", early[0])).To(BeNil())
		reassembler.Forget("a")
		Expect(reassembler.Add("a", gossip.SplitDelta(1, []byte("again"))[0])).To(Equal([]byte("again")), "a restarted sender restarts its sequence")
	})

	It("are not sent for a delta that is too large, and are ignored with an invalid index or total", func() {
		Expect(gossip.SplitDelta(1, make([]byte, 30000))).To(BeNil())
		reassembler := &gossip.Reassembler{}
		for _, p := range []gossip.DeltaPart{{Total: 0}, {Total: 1, Index: 1}, {Total: 1, Index: -1}, {Total: 1 << 40}} {
			Expect(reassembler.Add("a", p)).To(BeNil())
		}
	})
})
