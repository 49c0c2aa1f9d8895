package gossip_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/gossip"
)

var _ = Describe("Members", func() {
	now := time.Unix(1000, 0)
	var m *gossip.Members
	message := func(address string, incarnation int64) gossip.Message {
		return gossip.Message{Node: "n" + address, Address: address, Incarnation: incarnation, TableVersion: 7, ListVersion: 9}
	}

	BeforeEach(func() { m = gossip.NewMembers(now, "1", []string{"1", "2"}) })

	It("finds peers by seeds and by what peers pass on, but not itself", func() {
		greeting := message("2", 5)
		greeting.Known = []string{"1", "3"}
		change, changed := m.HandleMessage(now, greeting)
		Expect(changed).To(BeTrue())
		Expect(change.What).To(Equal("found"))
		Expect(m.Addresses()).To(Equal([]string{"2", "3"}))
		_, changed = m.HandleMessage(now, message("1", 5))
		Expect(changed).To(BeFalse())
	})

	It("ignores what an earlier process of a peer sent", func() {
		m.HandleMessage(now, message("2", 5))
		late := message("2", 4)
		late.TableVersion = 99
		m.HandleMessage(now, late)
		version, address := m.NewestTableVersion()
		Expect(version).To(Equal(int64(7)))
		Expect(address).To(Equal("2"))
	})

	It("hears a peer that restarted after its clock was set back, once the earlier process is silent", func() {
		m.HandleMessage(now, message("2", 50))
		back := message("2", 4)
		back.TableVersion = 99
		m.HandleMessage(now.Add(time.Second), back)
		version, _ := m.NewestTableVersion()
		Expect(version).To(Equal(int64(7)))
		change, _ := m.HandleMessage(now.Add(2*time.Second), back)
		Expect(change.What).To(Equal("restarted"))
		version, _ = m.NewestTableVersion()
		Expect(version).To(Equal(int64(99)))
	})

	It("tells of a restart, and of a loss once", func() {
		m.HandleMessage(now, message("2", 5))
		change, _ := m.HandleMessage(now, message("2", 6))
		Expect(change.What).To(Equal("restarted"))
		lost := m.Expire(now.Add(5 * time.Second))
		Expect(lost).To(HaveLen(1))
		Expect(m.Expire(now.Add(6 * time.Second))).To(BeEmpty())
		version, _ := m.NewestListVersion()
		Expect(version).To(BeZero(), "a lost peer's news can't be fetched")
	})

	It("uses loads only while they are fresh, and sums them", func() {
		e := balance.KeyOf("e")
		for _, address := range []string{"2", "3"} {
			loaded := message(address, 5)
			loaded.Loads = []gossip.LoadEntry{{Endpoint: e, Running: 2, Reading: 10}}
			m.HandleMessage(now, loaded)
		}
		Expect(m.Elsewhere(now)).To(HaveKeyWithValue(e, balance.Load{Running: 4, PendingTokens: 20}))
		Expect(m.Elsewhere(now.Add(2 * time.Second))).To(BeEmpty())
	})

	// Load pattern: a burst over 68 daemons, which tell each other directly once in 1.2 s.
	It("takes the sums of those that follow the platform, without its own part, while they are fresh", func() {
		e, f := balance.KeyOf("e"), balance.KeyOf("f")
		stale := message("2", 5)
		stale.Loads = []gossip.LoadEntry{{Endpoint: e, Running: 2, Reading: 10}}
		m.HandleMessage(now, stale)
		m.SetSent(map[balance.EndpointKey]balance.Load{e: {Running: 3, PendingTokens: 40}, f: {Running: 9}})
		m.HeardSums(now, []gossip.LoadEntry{{Endpoint: e, Running: 50, Reading: 700}, {Endpoint: f, Running: 4}})
		Expect(m.RemoteLoads(now)).To(HaveKeyWithValue(e, balance.Load{Running: 47, PendingTokens: 660}))
		Expect(m.RemoteLoads(now)).To(HaveKeyWithValue(f, balance.Load{}), "a sum older than the own part is not below zero")
		Expect(m.RemoteLoads(now.Add(700 * time.Millisecond))).To(Equal(map[balance.EndpointKey]balance.Load{e: {Running: 2, PendingTokens: 10}}))
	})

	It("names the live peers that follow the platform", func() {
		for _, address := range []string{"2", "3", "4"} {
			told := message(address, 5)
			told.Following = address != "3"
			m.HandleMessage(now, told)
		}
		Expect(m.Following(6)).To(Equal([]string{"2", "4"}))
		Expect(m.Following(1)).To(Equal([]string{"2"}))
		m.Expire(now.Add(10 * time.Second))
		Expect(m.Following(6)).To(BeEmpty())
	})

	It("sums up once the others had time to tell it, unless enough others do", func() {
		alone := gossip.NewMembers(now, "7", nil)
		Expect(alone.SumsUp(now)).To(BeFalse(), "it does not follow the platform")
		Expect(alone.ShouldWatch(now)).To(BeTrue())
		Expect(alone.SumsUp(now)).To(BeFalse(), "nobody had time to tell it")
		late := now.Add(time.Second)
		Expect(alone.SumsUp(late)).To(BeTrue())
		for _, address := range []string{"1", "2", "3", "4", "5", "6"} {
			told := message(address, 5)
			told.Following, told.Blind = true, true
			alone.HandleMessage(late, told)
		}
		Expect(alone.SumsUp(late)).To(BeFalse(), "the others tell the first six")
	})

	It("tells how long ago each peer was heard", func() {
		m.HandleMessage(now, message("2", 5))
		m.HandleMessage(now.Add(time.Second), message("3", 5))
		Expect(m.ContactAges(now.Add(3 * time.Second))).To(Equal(map[string]time.Duration{"n2": 3 * time.Second, "n3": 2 * time.Second}))
	})

	It("counts a peer that was just lost among the holders of shared budgets", func() {
		Expect(m.BudgetSharers(now)).To(Equal(2), "a seed that was not heard of may be there")
		m.HandleMessage(now, message("2", 5))
		m.Expire(now.Add(5 * time.Second))
		Expect(m.BudgetSharers(now.Add(5 * time.Second))).To(Equal(2))
		Expect(m.BudgetSharers(now.Add(30 * time.Second))).To(Equal(1))
	})
})
