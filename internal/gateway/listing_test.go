package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

func TestListing(t *testing.T) {
	g := NewWithT(t)
	newListing := func() *listing {
		return &listing{directory: directory.New(), changed: func() {}, log: telemetry.SilentLogger(), away: true}
	}
	row := func(id string) routetable.Endpoint {
		return routetable.Endpoint{ID: id, Service: "s", Address: id + ":1"}
	}
	ids := func(l *listing) (ids []string) {
		for _, e := range l.directory.Rows() {
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

	idle.TakeFromPeer(follower.Number(), follower.directory.Rows(), follower.directory.Lapsed(), "follower")
	idle.Idle()
	g.Expect(ids(idle)).To(ConsistOf("a", "b"))
	hour := now.Add(time.Hour)
	idle.Confirm(hour, 9<<dropBits)
	g.Expect(idle.Age(hour)).To(BeNumerically(">", 59*time.Minute), "a peer knows more")
	idle.Confirm(hour, follower.Number())
	g.Expect(idle.Age(hour)).To(BeZero())
	idle.TakeFromPeer(6<<dropBits, nil, nil, "late")
	g.Expect(ids(idle)).To(ConsistOf("a", "b"), "an older list is not taken")

	// Entries lapse in an outage; the follower drops them after the grace, and the others follow.
	follower.StoreAway()
	follower.StoreBack()
	follower.directory.Replace(now, []routetable.Endpoint{row("a")})
	g.Expect(follower.directory.Rows()).To(HaveLen(2), "peers hear of entries within the grace")
	before := follower.Number()
	follower.Expire(time.Now().Add(time.Minute))
	g.Expect(follower.Number()).To(BeNumerically(">", before))
	g.Expect(idle.Behind(follower.Number())).To(BeTrue())
	idle.TakeFromPeer(follower.Number(), follower.directory.Rows(), follower.directory.Lapsed(), "follower")
	g.Expect(ids(idle)).To(ConsistOf("a"))

	follower.Reached(8)
	g.Expect(follower.Number()).To(Equal(int64(8 << dropBits)))
}

// A gateway that was cut off from the platform, and its peers were not: what was removed
// meanwhile does not come back, neither there nor at those that follow it.
func TestListingAfterOwnOutage(t *testing.T) {
	g := NewWithT(t)
	newListing := func() *listing {
		return &listing{directory: directory.New(), changed: func() {}, log: telemetry.SilentLogger(), away: true}
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
	idle.TakeFromPeer(5<<dropBits, all, nil, "told")
	idle.Idle()

	cut.StoreAway()
	told.directory.Remove(now, "gone")
	told.Reached(6)
	idle.TakeFromPeer(told.Number(), told.directory.Rows(), told.directory.Lapsed(), "told")
	g.Expect(usable(idle)).To(ConsistOf("a"))

	// Back before it heard of the removal, it waits for the entry; its list is the newest.
	cut.StoreBack()
	cut.directory.Replace(time.Now(), []routetable.Endpoint{row("a"), row("new")})
	cut.Reached(9)
	g.Expect(usable(cut)).To(ConsistOf("a", "gone", "new"))
	idle.TakeFromPeer(cut.Number(), cut.directory.Rows(), cut.directory.Lapsed(), "cut")
	g.Expect(usable(idle)).To(ConsistOf("a", "new"))

	// Told of the removal by a peer while it is cut off, it does not wait for the entry at all.
	again := newListing()
	again.TakeFromPeer(5<<dropBits, all, nil, "told")
	again.TakeFromPeer(told.Number(), told.directory.Rows(), told.directory.Lapsed(), "told")
	g.Expect(usable(again)).To(ConsistOf("a"))
	again.StoreBack()
	again.directory.Replace(time.Now(), []routetable.Endpoint{row("a"), row("new")})
	g.Expect(usable(again)).To(ConsistOf("a", "new"))
}
