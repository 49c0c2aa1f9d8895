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

	idle.TakeFromPeer(now, follower.Number(), follower.directory.Rows(), "follower")
	idle.Idle()
	g.Expect(ids(idle)).To(ConsistOf("a", "b"))
	hour := now.Add(time.Hour)
	idle.Confirm(hour, 9<<dropBits)
	g.Expect(idle.Age(hour)).To(BeNumerically(">", 59*time.Minute), "a peer knows more")
	idle.Confirm(hour, follower.Number())
	g.Expect(idle.Age(hour)).To(BeZero())
	idle.TakeFromPeer(now, 6<<dropBits, nil, "late")
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
	idle.TakeFromPeer(now, follower.Number(), follower.directory.Rows(), "follower")
	g.Expect(ids(idle)).To(ConsistOf("a"))

	follower.Reached(8)
	g.Expect(follower.Number()).To(Equal(int64(8 << dropBits)))
}
