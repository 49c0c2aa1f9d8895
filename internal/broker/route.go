package broker

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/membership"
)

// routeKind says which daemon decides for a pool, in this daemon's view.
type routeKind string

const (
	// routeSelf means that this daemon brokers the pool.
	routeSelf routeKind = "self"
	// routePeer means that another daemon brokers the pool.
	routePeer routeKind = "peer"
	// routeLocal means that this daemon is cut off from most others, and decides locally
	// within its share of the slots.
	routeLocal routeKind = "alone"
)

// route names the daemon that decides for a pool.
type route struct {
	kind   routeKind
	member membership.Member
}

func (r route) same(other route) bool {
	return r.kind == other.kind && r.member.ID == other.member.ID && r.member.Incarnation == other.member.Incarnation
}

// decideRoute determines the broker of a pool. A daemon that sees more suspected than live
// members neither takes the role nor calls another broker.
func decideRoute(pool string, self membership.Member, members []membership.Member) route {
	live := lo.CountBy(members, func(m membership.Member) bool { return m.State == membership.Live })
	suspected := lo.CountBy(members, func(m membership.Member) bool { return m.State == membership.Suspected })
	broker, ok := membership.TopRanked(pool, members)
	switch {
	case !ok && suspected == 0:
		return route{kind: routeSelf, member: self}
	case !ok || live < suspected:
		return route{kind: routeLocal, member: self}
	case broker.ID == self.ID:
		return route{kind: routeSelf, member: self}
	default:
		return route{kind: routePeer, member: broker}
	}
}

// poolRoute is the current route of a pool, which calls can watch for changes.
type poolRoute struct {
	mu      sync.Mutex
	route   route
	changed chan struct{}
	// fallback is set while the broker is unreachable; it is probed again at nextProbe.
	fallback  bool
	nextProbe time.Time
}

// probeInterval is the time between two probes of an unreachable broker.
const probeInterval = 500 * time.Millisecond

func newPoolRoute(r route) *poolRoute { return &poolRoute{route: r, changed: make(chan struct{})} }

// update sets the route; a change ends the waits on the previous one.
func (p *poolRoute) update(r route) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.route.same(r) {
		p.route = r
		return false
	}
	p.route = r
	p.fallback = false
	p.signalChange()
	return true
}

// signalChange ends the waits on the route. p.mu must be held.
func (p *poolRoute) signalChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// current returns the route and a channel that is closed when the route changes or the fallback ends.
func (p *poolRoute) current() (route, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.route, p.changed
}

// startFallback records that the broker is unreachable.
func (p *poolRoute) startFallback(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fallback = true
	p.nextProbe = now.Add(probeInterval)
}

// endFallback records that the broker responded; requests that wait in the local queue go to
// the broker again.
func (p *poolRoute) endFallback() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fallback {
		p.fallback = false
		p.signalChange()
	}
}

// decidesLocally reports whether permit requests go to the local queue at once.
func (p *poolRoute) decidesLocally() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fallback || p.route.kind == routeLocal
}

// probeDue reports whether to probe the unreachable broker now, at most once each
// probeInterval.
func (p *poolRoute) probeDue(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fallback || p.route.kind != routePeer || now.Before(p.nextProbe) {
		return false
	}
	p.nextProbe = now.Add(probeInterval)
	return true
}
