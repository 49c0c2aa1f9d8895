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

// TestLegsTellEverybodyOnce draws fleets of up to 1,400 daemons in some data centres, some
// of them silent, some not heard of yet.
func TestLegsTellEverybodyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 1400).Draw(t, "daemons")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		centres := rapid.SampledFrom([][]string{{"a"}, {"a", "b", "c"}, {"a", "b", ""}}).Draw(t, "data centres")
		silent := rapid.IntRange(0, 100).Draw(t, "silent, in 100")
		places := make([]gossip.Place, n)
		at := make(map[netip.Addr]gossip.Place)
		for i, a := range addresses(n) {
			p := gossip.Place{Address: a, DataCentre: centres[random.IntN(len(centres))]}
			p.Live = p.DataCentre != "" && random.IntN(100) >= silent
			places[i], at[a] = p, p
		}
		told := make(map[netip.Addr]int)
		plan := gossip.Legs(places, random.Perm)
		for _, l := range plan {
			told[l.To]++
			for _, a := range l.Relay {
				told[a]++
				if at[a].DataCentre != at[l.To].DataCentre {
					t.Fatalf("a relay tells a daemon of another data centre")
				}
			}
			if len(l.Relay) > 0 && !at[l.To].Live {
				t.Fatalf("a silent daemon is a relay")
			}
			if len(l.Relay) > gossip.MaxRelayed {
				t.Fatalf("%d daemons for one relay", len(l.Relay))
			}
		}
		if len(told) != n {
			t.Fatalf("%d of %d daemons are told", len(told), n)
		}
		for a, times := range told {
			if times != 1 {
				t.Fatalf("%v is told %d times", a, times)
			}
		}
		if silent == 0 && centres[len(centres)-1] != "" && len(plan) > n/19+len(centres) {
			t.Fatalf("%d datagrams to tell %d daemons", len(plan), n)
		}
	})
}

var _ = Describe("An envelope", func() {
	It("holds a message and those to whom it is passed on, in one datagram", func() {
		body := bytes.Repeat([]byte{7}, gossip.MaxSpread)
		relay := addresses(gossip.MaxRelayed)
		data, err := gossip.EncodeEnvelope(body, relay)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<=", 1400))
		gotBody, gotRelay, err := gossip.DecodeEnvelope(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(gotBody).To(Equal(body))
		Expect(gotRelay).To(Equal(relay))
	})

	It("for more than a relay may be asked to tell is refused", func() {
		data, err := gossip.EncodeEnvelope(nil, addresses(gossip.MaxRelayed+1))
		Expect(err).NotTo(HaveOccurred())
		_, _, err = gossip.DecodeEnvelope(data)
		Expect(err).To(HaveOccurred())
		_, _, err = gossip.DecodeEnvelope([]byte("hello"))
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("News in parts", func() {
	news := bytes.Repeat([]byte("0123456789"), 1000)

	It("come together in any order, each once", func() {
		parts := gossip.NewsParts(1, news)
		Expect(parts).To(HaveLen(10))
		inbox := &gossip.Inbox{}
		for _, i := range []int{3, 9, 0, 0, 1, 2, 4, 5, 6, 7} {
			Expect(inbox.Add("a", parts[i])).To(BeNil())
		}
		Expect(inbox.Add("b", parts[8])).To(BeNil(), "of another sender")
		Expect(inbox.Add("a", parts[8])).To(Equal(news))
		Expect(inbox.Add("a", parts[8])).To(BeNil())
	})

	It("give way to later ones", func() {
		inbox := &gossip.Inbox{}
		early, late := gossip.NewsParts(1, news), gossip.NewsParts(2, []byte("short"))
		for _, p := range early[1:] {
			inbox.Add("a", p)
		}
		Expect(inbox.Add("a", late[0])).To(Equal([]byte("short")))
		Expect(inbox.Add("a", early[0])).To(BeNil())
		inbox.Forget("a")
		Expect(inbox.Add("a", gossip.NewsParts(1, []byte("again"))[0])).To(Equal([]byte("again")), "a restarted sender counts anew")
	})

	It("are not told if they are too long, nor taken if their count makes no sense", func() {
		Expect(gossip.NewsParts(1, make([]byte, 30000))).To(BeNil())
		inbox := &gossip.Inbox{}
		for _, p := range []gossip.NewsPart{{Of: 0}, {Of: 1, Part: 1}, {Of: 1, Part: -1}, {Of: 1 << 40}} {
			Expect(inbox.Add("a", p)).To(BeNil())
		}
	})
})
