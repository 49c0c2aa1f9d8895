package gossip

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/balance"
)

const (
	// lostAfter is the silence after which a peer counts as lost: a few messages in a row.
	lostAfter = 1500 * time.Millisecond
	// forgetAfter is the silence after which a peer's address is tried no more.
	forgetAfter = 60 * time.Second
	// loadsFresh is how long a peer's loads are used.
	loadsFresh = time.Second
	// sumsFresh is how long sums are used: a few of those that send them may be lost at once.
	sumsFresh = 3 * Interval
	// namedFor is the time between two messages to a daemon that was named and does not answer.
	namedFor = 500 * time.Millisecond
	// settled is how long after a daemon began to follow the platform all tell it.
	settled = 3 * time.Second
	// countedFor is how long a lost peer still counts as a holder of its part of shared
	// budgets; it may only be cut off from here.
	countedFor = 15 * time.Second
)

// peer is what is known of another daemon.
type peer struct {
	address     string
	node        string
	dataCentre  string
	incarnation int64
	table       int64
	listing     int64
	following   bool
	blind       bool
	blindSince  time.Time
	leaving     bool
	heard       time.Time
	since       time.Time
	lost        bool
	loads       map[balance.EndpointKey]balance.Load
	// namedAt is when a peer named this one, not heard of yet, as following the platform.
	namedAt time.Time
	// counted is the number of daemons that the peer counts.
	counted int
	// loadsAt is when the loads were heard.
	loadsAt time.Time
}

// Change is a peer that was found, lost or replaced.
type Change struct {
	Node, Address, What string
	// Silent is the time since the last message.
	Silent time.Duration
}

// Members holds the daemons that this one has heard of, by address. It is pure and
// safe for concurrent use.
type Members struct {
	mu    sync.Mutex
	self  string
	peers map[string]*peer
	// sums is the work of all daemons at each endpoint, as those that follow the platform
	// in a large fleet tell it, and sent this daemon's part of it.
	sums map[balance.EndpointKey]summed
	sent map[balance.EndpointKey]balance.Load
	duty duty
}

// summed is the work of all daemons at one endpoint, and when it was heard.
type summed struct {
	load balance.Load
	at   time.Time
}

// NewMembers returns the members known from settings; self is the own address.
func NewMembers(now time.Time, self string, seeds []string) *Members {
	m := &Members{self: self, peers: make(map[string]*peer), sums: make(map[balance.EndpointKey]summed), duty: duty{started: now}}
	for _, seed := range seeds {
		m.add(now, seed)
	}
	return m
}

// AddSeeds notes further addresses to try.
func (m *Members) AddSeeds(now time.Time, seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, seed := range seeds {
		m.add(now, seed)
	}
}

func (m *Members) add(now time.Time, address string) *peer {
	if address == m.self || address == "" {
		return nil
	}
	p := m.peers[address]
	if p == nil {
		p = &peer{address: address, since: now, lost: true}
		m.peers[address] = p
	}
	return p
}

// Heard takes a message and returns what it changed, if anything.
func (m *Members) HandleMessage(now time.Time, message Message) (Change, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, address := range message.Known {
		m.add(now, address)
	}
	p := m.add(now, message.Address)
	// A lower incarnation is late, of an earlier process; or, after a silence, of a later one
	// on a VM whose clock was set back.
	if p == nil || message.Incarnation < p.incarnation && now.Sub(p.heard) < lostAfter {
		return Change{}, false // An own message, or a late one.
	}
	change := Change{Node: message.Node, Address: message.Address}
	switch {
	case p.incarnation != 0 && message.Incarnation != p.incarnation:
		change.What = "restarted"
	case p.lost:
		change.What = "found"
	}
	if message.Blind && !p.blind {
		p.blindSince = now
	}
	m.duty.claim(now, message.Followed)
	p.node, p.dataCentre, p.incarnation = message.Node, message.DataCentre, message.Incarnation
	p.counted = message.Counted
	p.following, p.blind, p.leaving = message.Following, message.Blind, message.Leaving
	p.table, p.listing = message.TableVersion, message.ListVersion
	p.heard, p.lost = now, false
	if !message.Brief || change.What == "restarted" {
		p.loads, p.loadsAt = loadsOf(message.Loads), now
	}
	return change, change.What != ""
}

// Expire marks silent peers as lost and returns them.
func (m *Members) Expire(now time.Time) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lost []Change
	for address, p := range m.peers {
		silent := now.Sub(p.heard)
		if !p.lost && silent > m.patience(now, p) {
			p.lost = true
			lost = append(lost, Change{Node: p.node, Address: address, What: "lost", Silent: silent})
		}
		if p.lost && !p.heard.IsZero() && silent > forgetAfter {
			delete(m.peers, address)
		}
	}
	return lost
}

// round is the time in which a daemon that does not follow the platform tells every peer once.
func (m *Members) round() time.Duration {
	if len(m.peers) <= fanout {
		return Interval
	}
	return Interval * time.Duration((len(m.peers)+othersTold-1)/othersTold)
}

// pace is the time between two messages of a peer to those that follow the platform.
func (m *Members) pace() time.Duration {
	return Interval * time.Duration(followerPace(len(m.peers)))
}

// followerPace is the number of intervals between two messages of each daemon to those
// that follow the platform.
func followerPace(peers int) int {
	most := inboxPerSecond * int(Interval/time.Millisecond) / int(time.Second/time.Millisecond)
	return max(1, (peers+most-1)/most)
}

// patience is the silence after which a peer counts as lost. Those that follow the
// platform tell every peer at each interval, and are told by each at its pace.
func (m *Members) patience(now time.Time, p *peer) time.Duration {
	switch {
	case p.following:
		return lostAfter
	case m.duty.following && now.Sub(m.duty.since) > settled:
		return max(lostAfter, 4*m.pace())
	default:
		return max(lostAfter, 3*m.round())
	}
}

// Addresses returns the addresses to send to.
func (m *Members) Addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	addresses := make([]string, 0, len(m.peers))
	for address := range m.peers {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// places returns all peers, by address.
func (m *Members) places() []place {
	m.mu.Lock()
	defer m.mu.Unlock()
	places := make([]place, 0, len(m.peers))
	for address, p := range m.peers {
		if a, err := netip.ParseAddr(address); err == nil && a.Is4() {
			places = append(places, place{address: a, dataCentre: p.dataCentre, live: !p.lost})
		}
	}
	slices.SortFunc(places, func(a, b place) int { return a.address.Compare(b.address) })
	return places
}

// Some returns up to n addresses, other ones each time.
func (m *Members) Some(n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	some := make([]string, 0, n)
	for address := range m.peers { // A map is read in an order of its own each time.
		if len(some) == n {
			break
		}
		some = append(some, address)
	}
	return some
}

// Large reports whether there are more daemons than each tells at each interval.
func (m *Members) IsLargeFleet() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) > fanout
}

// Has reports whether the daemon of that address is known.
func (m *Members) Has(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[address] != nil
}

// Live returns the number of live peers and the longest time since one of them was heard.
func (m *Members) Live(now time.Time) (n int, oldest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if !p.lost {
			n++
			oldest = max(oldest, now.Sub(p.heard))
		}
	}
	return n, oldest
}

// Ages returns the time since each peer was heard last, by its name.
func (m *Members) ContactAges(now time.Time) map[string]time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	ages := make(map[string]time.Duration, len(m.peers))
	for _, p := range m.peers {
		if !p.heard.IsZero() {
			ages[p.node] = now.Sub(p.heard)
		}
	}
	return ages
}

// Counted is the number of daemons, this one included, that may use shared budgets. In a
// large fleet those that follow the platform hear of more than this one does.
func (m *Members) BudgetSharers(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.countHeard(now)
	for _, p := range m.peers {
		if !p.lost && p.following {
			n = max(n, p.counted)
		}
	}
	return n
}

// CountHeard is the number of daemons, this one included, that it has heard of itself
// lately, or that may only not have been heard yet.
func (m *Members) CountHeard(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.countHeard(now)
}

func (m *Members) countHeard(now time.Time) int {
	n := 1
	for _, p := range m.peers {
		if !p.heard.IsZero() && now.Sub(p.heard) < countedFor || p.heard.IsZero() && now.Sub(p.since) < countedFor {
			n++
		}
	}
	return n
}

// Newest returns the highest table version that a live peer has, and its address.
func (m *Members) NewestTableVersion() (version int64, address string) {
	return m.highest(func(p *peer) int64 { return p.table })
}

// NewestListing returns the newest list of endpoints that a live peer has, and its address.
func (m *Members) NewestListVersion() (version int64, address string) {
	return m.highest(func(p *peer) int64 { return p.listing })
}

func (m *Members) highest(of func(*peer) int64) (version int64, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if v := of(p); !p.lost && v > version {
			version, address = v, p.address
		}
	}
	return version, address
}

// Named notes daemons that a peer names as following the platform, and returns those that
// were not heard of, to be told at once.
func (m *Members) Named(now time.Time, addresses []string) (strangers []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, address := range addresses {
		p := m.add(now, address)
		if p == nil || !p.heard.IsZero() || now.Sub(p.namedAt) < namedFor {
			continue
		}
		p.namedAt = now
		strangers = append(strangers, address)
	}
	return strangers
}

// Following returns up to n peers that follow the platform for all.
func (m *Members) Following(n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for address, p := range m.peers {
		if !p.lost && p.following {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses[:min(n, len(addresses))]
}

// SumsUp reports whether this daemon hears of the work of all: the others tell the first
// few that follow the platform, and each has had time to do so.
func (m *Members) SumsUp(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	ahead := 0
	for address, p := range m.peers {
		ahead += one(!p.lost && p.following && address < m.self)
	}
	return m.duty.following && ahead < followersTold && now.Sub(m.duty.since) >= 2*m.pace()
}

// SetSent notes the own work that peers were told of.
func (m *Members) SetSent(loads map[balance.EndpointKey]balance.Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent = loads
}

// HeardSums takes the work of all daemons, this one included, at some endpoints.
func (m *Members) HeardSums(now time.Time, sums []LoadEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range sums {
		m.sums[e.Endpoint] = summed{load: balance.Load{Running: e.Running, PendingTokens: e.Reading}, at: now}
	}
}

// Others is the work of the other daemons at each endpoint: from the sums that were heard
// within sumsFresh, else from what each daemon told last.
func (m *Members) RemoteLoads(now time.Time) map[balance.EndpointKey]balance.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := make(map[balance.EndpointKey]balance.Load, len(m.sums))
	for key, s := range m.sums {
		if now.Sub(s.at) > sumsFresh {
			delete(m.sums, key)
			continue
		}
		others[key] = without(s.load, m.sent[key])
	}
	if len(others) == 0 {
		return m.elsewhere(now)
	}
	return others
}

// Elsewhere sums what the other daemons told of their work at each endpoint.
func (m *Members) Elsewhere(now time.Time) map[balance.EndpointKey]balance.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.elsewhere(now)
}

func (m *Members) elsewhere(now time.Time) map[balance.EndpointKey]balance.Load {
	total := make(map[balance.EndpointKey]balance.Load)
	for _, p := range m.peers {
		if now.Sub(p.loadsAt) > max(loadsFresh, 3*m.pace()) {
			continue
		}
		addLoads(total, p.loads)
	}
	return total
}
