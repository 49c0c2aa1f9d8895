package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// take gives one list what changed in the other since, and the whole if that is asked for.
func take(l, from *listing, peer string) {
	if !l.TakeFromPeer(from.Number(), from.directory.DeltaSince(l.Number()), peer) {
		l.TakeFromPeer(from.Number(), from.directory.DeltaSince(0), peer)
	}
}

func TestListing(t *testing.T) {
	g := NewWithT(t)
	newListing := func() *listing {
		return &listing{directory: directory.New(), changed: func() {}, renumbered: func() {}, log: telemetry.SilentLogger(), away: true}
	}
	row := func(id string) routetable.Endpoint {
		return routetable.Endpoint{ID: id, Service: "s", Address: id + ":1"}
	}
	ids := func(l *listing) (ids []string) {
		for _, e := range l.directory.Endpoints() {
			ids = append(ids, e.ID)
		}
		return ids
	}
	now := time.Now()

	follower, idle := newListing(), newListing()
	follower.StoreBack()
	follower.directory.Replace(now, []routetable.Endpoint{row("a"), row("b")})
	follower.Reached(7)
	g.Expect(follower.Version()).To(Equal(int64(7)))
	g.Expect(follower.Age(time.Now())).To(BeNumerically("<", time.Minute))
	g.Expect(idle.Age(now)).To(BeZero(), "no list yet")
	g.Expect(follower.Behind(9<<dropBits)).To(BeFalse(), "who follows the platform takes no peer's list")

	take(idle, follower, "follower")
	idle.Idle()
	g.Expect(ids(idle)).To(ConsistOf("a", "b"))
	hour := now.Add(time.Hour)
	idle.Confirm(hour, 9<<dropBits)
	g.Expect(idle.Age(hour)).To(BeNumerically(">", 59*time.Minute), "a peer knows more")
	idle.Confirm(hour, follower.Number())
	g.Expect(idle.Age(hour)).To(BeZero())
	idle.TakeFromPeer(6<<dropBits, directory.Delta{Full: true}, "late")
	g.Expect(ids(idle)).To(ConsistOf("a", "b"), "an older list is not taken")

	// Entries lapse in an outage; the follower drops them after the grace, and the others follow.
	follower.StoreAway()
	follower.StoreBack()
	follower.directory.Replace(now, []routetable.Endpoint{row("a")})
	g.Expect(follower.directory.Endpoints()).To(HaveLen(2), "peers hear of entries within the grace")
	before := follower.Number()
	follower.Expire(time.Now().Add(time.Minute))
	g.Expect(follower.Number()).To(BeNumerically(">", before))
	g.Expect(idle.Behind(follower.Number())).To(BeTrue())
	take(idle, follower, "follower")
	g.Expect(ids(idle)).To(ConsistOf("a"))

	before = follower.Number()
	follower.Reached(8)
	g.Expect(follower.Number()).To(Equal(before), "nothing changed, so there is nothing to fetch")
	follower.directory.Put(row("c"))
	follower.Reached(9)
	g.Expect(follower.Number()).To(Equal(int64(9 << dropBits)))
	news := follower.directory.DeltaSince(idle.Number())
	g.Expect(news.Full).To(BeFalse())
	g.Expect(news.Endpoints).To(ConsistOf(row("c")))
	take(idle, follower, "follower")
	g.Expect(ids(idle)).To(ConsistOf("a", "c"))
}

// Two gateways that follow the platform drop different entries after an outage, under the
// same number; who hears of a change from the other one finds out.
func TestListingsThatDiffer(t *testing.T) {
	g := NewWithT(t)
	newListing := func() *listing {
		return &listing{directory: directory.New(), changed: func() {}, renumbered: func() {}, log: telemetry.SilentLogger(), away: true}
	}
	row := func(id string) routetable.Endpoint {
		return routetable.Endpoint{ID: id, Service: "s", Address: id + ":1"}
	}
	now := time.Now()
	one, other, idle := newListing(), newListing(), newListing()
	for l, rows := range map[*listing][]routetable.Endpoint{one: {row("a"), row("b"), row("c")}, other: {row("a")}} {
		l.StoreBack()
		l.directory.Replace(now, rows)
		l.Reached(5)
	}
	idle.Idle()
	take(idle, one, "one")
	g.Expect(idle.directory.Endpoints()).To(HaveLen(3))
	other.directory.Put(row("d"))
	other.Reached(6)
	g.Expect(idle.TakeFromPeer(other.Number(), other.directory.DeltaSince(idle.Number()), "other")).To(BeFalse())
	g.Expect(idle.Number()).To(Equal(one.Number()), "it goes on asking")
	take(idle, other, "other")
	g.Expect(idle.directory.Endpoints()).To(ConsistOf(row("a"), row("d")))
}

// A gateway that was cut off from the platform, and its peers were not: what was removed
// meanwhile does not come back, neither there nor at those that follow it.
func TestListingAfterOwnOutage(t *testing.T) {
	g := NewWithT(t)
	newListing := func() *listing {
		return &listing{directory: directory.New(), changed: func() {}, renumbered: func() {}, log: telemetry.SilentLogger(), away: true}
	}
	row := func(id string) routetable.Endpoint {
		return routetable.Endpoint{ID: id, Service: "s", Address: id + ":1"}
	}
	usable := func(l *listing) (ids []string) {
		for _, e := range l.directory.Usable()["s"] {
			ids = append(ids, e.ID)
		}
		return ids
	}
	now := time.Now()
	all := []routetable.Endpoint{row("a"), row("gone")}
	cut, told, idle := newListing(), newListing(), newListing()
	for _, l := range []*listing{cut, told} {
		l.StoreBack()
		l.directory.Replace(now, all)
		l.Reached(5)
	}
	idle.TakeFromPeer(5<<dropBits, directory.Delta{Full: true, Endpoints: all}, "told")
	idle.Idle()

	cut.StoreAway()
	told.directory.Remove(now, "gone")
	told.Reached(6)
	take(idle, told, "told")
	g.Expect(usable(idle)).To(ConsistOf("a"))

	// Back before it heard of the removal, it waits for the entry; its list is the newest.
	cut.StoreBack()
	cut.directory.Replace(time.Now(), []routetable.Endpoint{row("a"), row("new")})
	cut.Reached(9)
	g.Expect(usable(cut)).To(ConsistOf("a", "gone", "new"))
	take(idle, cut, "cut")
	g.Expect(usable(idle)).To(ConsistOf("a", "new"))

	// Told of the removal by a peer while it is cut off, it does not wait for the entry at all.
	again := newListing()
	again.TakeFromPeer(5<<dropBits, directory.Delta{Full: true, Endpoints: all}, "told")
	take(again, told, "told")
	g.Expect(usable(again)).To(ConsistOf("a"))
	again.StoreBack()
	again.directory.Replace(time.Now(), []routetable.Endpoint{row("a"), row("new")})
	g.Expect(usable(again)).To(ConsistOf("a", "new"))
}
