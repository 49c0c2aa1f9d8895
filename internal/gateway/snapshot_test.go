package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/gossip"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// beliefs are a gateway's table and list, with what it tells and takes of them.
type beliefs struct {
	holder  *tableHolder
	listing *listing
	teller  *teller
	news    *peerNews
}

func newBeliefs() *beliefs {
	log := telemetry.SilentLogger()
	b := &beliefs{
		holder:  &tableHolder{source: nativeSource{}, log: log, installed: func() {}},
		listing: &listing{directory: directory.New(), changed: func() {}, renumbered: func() {}, log: log, away: true},
	}
	b.teller = &teller{holder: b.holder, listing: b.listing, log: log}
	b.news = &peerNews{holder: b.holder, listing: b.listing, members: gossip.NewMembers(time.Now(), "10.0.0.1", nil), log: log}
	return b
}

func (b *beliefs) install(t *testing.T, version int64) {
	t.Helper()
	data, err := json.Marshal(routetable.Spec{Version: version})
	if err != nil {
		t.Fatal(err)
	}
	b.holder.Install(data, "test")
}

func (b *beliefs) put(version int64, ids ...string) {
	for _, id := range ids {
		b.listing.directory.Put(routetable.Endpoint{ID: id, Service: "s", Address: id + ":1"})
	}
	b.listing.Reached(version)
}

// ask is what the gateway would ask a peer.
func (b *beliefs) ask(t *testing.T) []byte {
	t.Helper()
	asked, err := json.Marshal(known{Table: b.holder.Version(), Listing: b.listing.Number()})
	if err != nil {
		t.Fatal(err)
	}
	return asked
}

// Load pattern: hundreds of gateways ask for what changed, and a new one for all.
func TestTell(t *testing.T) {
	g := NewWithT(t)
	source, idle := newBeliefs(), newBeliefs()
	g.Expect(source.teller.Tell(nil)).To(BeNil(), "nothing is known yet")
	source.install(t, 3)
	ids := make([]string, 3000)
	for i := range ids {
		ids[i] = fmt.Sprint("i-", i)
	}
	source.put(10, ids...)
	whole := source.teller.Tell(idle.ask(t))
	g.Expect(len(whole)).To(BeNumerically("<", 100<<10), "a whole list is compressed")
	g.Expect(&source.teller.Tell(nil)[0]).To(BeIdenticalTo(&whole[0]), "once for all who ask")
	g.Expect(idle.news.take(whole, "peer")).To(Succeed())
	idle.listing.Idle()
	g.Expect(idle.holder.Version()).To(Equal(int64(3)))
	g.Expect(idle.listing.directory.Endpoints()).To(HaveLen(3000))

	source.put(11, "new")
	told := source.teller.Tell(idle.ask(t))
	g.Expect(len(told)).To(BeNumerically("<", 1<<10), "only what changed is told")
	g.Expect(idle.news.take(told, "peer")).To(Succeed())
	g.Expect(idle.listing.Number()).To(Equal(source.listing.Number()))
	g.Expect(idle.listing.directory.Endpoints()).To(HaveLen(3001))
	g.Expect(source.teller.Tell(nil)).NotTo(Equal(whole), "the whole is made anew after a change")
	g.Expect(idle.news.take([]byte{0x1f, 0x8b, 0}, "peer")).NotTo(Succeed())
}

// Load pattern: a change in a large fleet is told unasked, to who was up to date before it.
func TestRecent(t *testing.T) {
	g := NewWithT(t)
	source, upToDate, behind := newBeliefs(), newBeliefs(), newBeliefs()
	now := time.Unix(1000, 0)
	g.Expect(source.teller.Recent(now)).To(BeNil())
	source.install(t, 3)
	source.put(10, "a")
	behind.install(t, 2)
	behind.put(9, "old")
	behind.listing.Idle()
	g.Expect(upToDate.news.take(source.teller.Tell(nil), "peer")).To(Succeed())
	upToDate.listing.Idle()
	for range 5 {
		g.Expect(source.teller.Recent(now)).To(BeNil(), "nothing is told of the time before it knew anything, nor if nothing changed")
		now = now.Add(gossip.Interval)
	}
	source.put(11, "b")
	source.install(t, 4)
	var news []byte
	for range 3 {
		news = source.teller.Recent(now)
		g.Expect(news).NotTo(BeNil(), "told several times")
		now = now.Add(gossip.Interval)
	}
	upToDate.news.Told(news, "peer")
	g.Expect(upToDate.holder.Version()).To(Equal(int64(4)))
	g.Expect(upToDate.listing.directory.Endpoints()).To(HaveLen(2))
	behind.news.Told(news, "peer")
	g.Expect(behind.holder.Version()).To(Equal(int64(4)), "a table is whole")
	g.Expect(behind.listing.directory.Endpoints()).To(HaveLen(1), "it must fetch the list")
	for range 5 {
		now = now.Add(gossip.Interval)
		news = source.teller.Recent(now)
	}
	g.Expect(news).To(BeNil(), "told for a while only")
}

func TestPatience(t *testing.T) {
	g := NewWithT(t)
	b := newBeliefs()
	now := time.Unix(1000, 0)
	hear := func(i int, listing int64) {
		b.news.members.HandleMessage(now, gossip.Message{Node: fmt.Sprint(i), Address: fmt.Sprint("10.0.1.", i), Incarnation: 1, TableVersion: 1, ListVersion: listing})
	}
	for i := range 30 {
		hear(i, 5)
	}
	g.Expect(b.news.patient(now)).To(BeTrue(), "it has no table")
	b.install(t, 1)
	g.Expect(b.news.patient(now)).To(BeFalse(), "the news are on their way")
	later := now.Add(fetchAfter + fetchSpread)
	g.Expect(b.news.patient(later)).To(BeTrue())
	hear(1, 6)
	g.Expect(b.news.patient(later)).To(BeFalse(), "newer ones are")
}

// Load pattern: endpoints are replaced one after the other, and the list changes each 40 ms.
// A gateway that missed news must not wait for a pause between the changes.
func TestPatienceEnds(t *testing.T) {
	g := NewWithT(t)
	b := newBeliefs()
	b.install(t, 1)
	now := time.Unix(1000, 0)
	for i := range 30 {
		b.news.members.HandleMessage(now, gossip.Message{Node: fmt.Sprint(i), Address: fmt.Sprint("10.0.1.", i), Incarnation: 1, ListVersion: 5})
	}
	fetches := 0
	for i := range 250 {
		now = now.Add(40 * time.Millisecond)
		b.news.members.HandleMessage(now, gossip.Message{Node: "1", Address: "10.0.1.1", Incarnation: 1, ListVersion: int64(6 + i)})
		if b.news.patient(now) {
			fetches++
		}
	}
	g.Expect(fetches).To(BeNumerically(">=", 30), "ten seconds hold forty of the longest waits")
	g.Expect(fetches).To(BeNumerically("<=", 200), "not each change is fetched by itself")
}
