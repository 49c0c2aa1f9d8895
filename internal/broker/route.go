package broker

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/membership"
)

// routeKind says who decides for a pool, as this daemon sees it.
type routeKind string

const (
	// routeSelf means that this daemon brokers the pool.
	routeSelf routeKind = "self"
	// routePeer means that another daemon brokers the pool.
	routePeer routeKind = "peer"
	// routeAlone means that this daemon is cut off from most others, and decides
	// alone on its fraction of the slots.
	routeAlone routeKind = "alone"
)

// route is the way to a pool's broker.
type route struct {
	kind   routeKind
	member membership.Member
}

func (r route) same(other route) bool {
	return r.kind == other.kind && r.member.ID == other.member.ID && r.member.Incarnation == other.member.Incarnation
}

// decideRoute finds the broker of a pool. A daemon that sees fewer than half of
// the members that it knows does not take or ask for the role.
func decideRoute(pool string, self membership.Member, members []membership.Member) route {
	live := lo.CountBy(members, func(m membership.Member) bool { return m.State == membership.Live })
	suspected := lo.CountBy(members, func(m membership.Member) bool { return m.State == membership.Suspected })
	first, ok := membership.TopRanked(pool, members)
	switch {
	case !ok && suspected == 0:
		return route{kind: routeSelf, member: self}
	case !ok || live < suspected:
		return route{kind: routeAlone, member: self}
	case first.ID == self.ID:
		return route{kind: routeSelf, member: self}
	default:
		return route{kind: routePeer, member: first}
	}
}

// path is the present route of a pool, with who waits on it.
type path struct {
	mu      sync.Mutex
	route   route
	changed chan struct{}
	// alone is set while no broker was found; it is looked for again at nextProbe.
	alone     bool
	nextProbe time.Time
}

// probeInterval is the time between two looks for a broker that was not found.
const probeInterval = 500 * time.Millisecond

func newPath(r route) *path { return &path{route: r, changed: make(chan struct{})} }

// update sets the route and wakes those who wait on the earlier one.
func (p *path) update(r route) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.route.same(r) {
		p.route = r
		return false
	}
	p.route = r
	p.alone = false
	p.wake()
	return true
}

// wake ends the waits on the route; the lock is held.
func (p *path) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// now returns the route and a channel that is closed when it changes.
func (p *path) now() (route, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.route, p.changed
}

// goAlone notes that no broker was found.
func (p *path) goAlone(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alone = true
	p.nextProbe = now.Add(probeInterval)
}

// found notes that the broker answered; those who wait on this daemon's own
// decisions look for the broker again.
func (p *path) found() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.alone {
		p.alone = false
		p.wake()
	}
}

// decidesAlone reports whether asks go to the local queue at once.
func (p *path) decidesAlone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.alone || p.route.kind == routeAlone
}

// takeProbe reports whether the broker that was not found is to be looked for now, at
// most once each probeInterval.
func (p *path) takeProbe(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.alone || p.route.kind != routePeer || now.Before(p.nextProbe) {
		return false
	}
	p.nextProbe = now.Add(probeInterval)
	return true
}
