package gossip

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/directory"
)

const (
	// lostAfter is the time without a message after which a peer counts as lost, enough for
	// several messages in a row to go missing.
	lostAfter = 1500 * time.Millisecond
	// forgetAfter is the time without a message after which a peer's address is dropped.
	forgetAfter = 60 * time.Second
	// loadsTTL is how long the loads that a peer reported are used.
	loadsTTL = time.Second
	// aggregatedTTL is how long aggregated loads are used: a few of the watchers that send
	// them may be lost at once.
	aggregatedTTL = 3 * Interval
	// introductionInterval is the minimum time between two introductions to a reported
	// watcher that has not sent a message.
	introductionInterval = 500 * time.Millisecond
	// watcherSettleTime is how long it takes after a daemon has become a watcher until all
	// others send to it.
	watcherSettleTime = 3 * time.Second
	// minKnownPercent is the part of the daemons that a watcher has to know to aggregate loads, of
	// those that another watcher knows: one that has restarted knows few at first, and its sums
	// would replace those of the others.
	minKnownPercent = 90
	// budgetShareGrace is how long a lost peer still counts as a holder of its share of
	// shared budgets; it may be unreachable from here only.
	budgetShareGrace = 15 * time.Second
)

// peer is the state that another daemon reported.
type peer struct {
	address      string
	node         string
	dataCentre   string
	incarnation  int64
	tableVersion int64
	listVersion  directory.Version
	// spreadNumber is the newest list version that has spread, as the peer observes it.
	spreadNumber        int64
	watching            bool
	platformUnreachable bool
	unreachableSince    time.Time
	leaving             bool
	// carries is set if the peer carries connections of others to endpoints.
	carries      bool
	lastReceived time.Time
	addedAt      time.Time
	// seed is set if the settings name the peer, which is then never forgotten.
	seed  bool
	lost  bool
	loads map[balance.EndpointKey]balance.Load
	// introducedAt is when this daemon was last introduced to the peer, which another peer
	// had reported as a watcher and which had not sent a message.
	introducedAt time.Time
	// daemonCount is the number of daemons that the peer observes; see ObservedCount.
	daemonCount int
	// loadsAt is when the loads were received.
	loadsAt time.Time
}

// Change describes a peer that was found, lost or restarted.
type Change struct {
	Node, Address, Kind string
	// SilentFor is the time since the peer's last message.
	SilentFor time.Duration
}

// Members holds the state of the other daemons, by address. It performs no I/O and is safe
// for concurrent use.
type Members struct {
	mu    sync.Mutex
	self  string
	peers map[string]*peer
	// aggregated is the load of all daemons at each endpoint, as the watchers of a large fleet
	// report it. sentLoads is this daemon's part of it.
	aggregated map[balance.EndpointKey]aggregatedLoad
	sentLoads  map[balance.EndpointKey]balance.Load
	role       watcherRole
}

// aggregatedLoad is the load of all daemons at one endpoint, and when it was received.
type aggregatedLoad struct {
	load       balance.Load
	receivedAt time.Time
}

// NewMembers returns the members known from the settings; self is this daemon's address.
func NewMembers(now time.Time, self string, seeds []string) *Members {
	m := &Members{self: self, peers: make(map[string]*peer), aggregated: make(map[balance.EndpointKey]aggregatedLoad), role: watcherRole{started: now}}
	m.AddSeeds(now, seeds)
	return m
}

// AddSeeds adds further addresses to send to.
func (m *Members) AddSeeds(now time.Time, seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, seed := range seeds {
		if p := m.add(now, seed); p != nil {
			p.seed = true
		}
	}
}

func (m *Members) add(now time.Time, address string) *peer {
	if address == m.self || address == "" {
		return nil
	}
	p := m.peers[address]
	if p == nil {
		p = &peer{address: address, addedAt: now, lost: true}
		m.peers[address] = p
	}
	return p
}

// HandleMessage processes a peer's message and returns the change to the peer, if any.
func (m *Members) HandleMessage(now time.Time, message Message) (Change, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, address := range message.KnownAddresses {
		m.add(now, address)
	}
	p := m.add(now, message.Address)
	// A lower incarnation belongs to a late message of an earlier process. Once the peer has
	// sent nothing for lostAfter, it is taken for a new process on a VM whose clock was set
	// back.
	if p == nil || message.Incarnation < p.incarnation && now.Sub(p.lastReceived) < lostAfter {
		return Change{}, false // The message is this daemon's own, or late.
	}
	change := Change{Node: message.Node, Address: message.Address}
	switch {
	case p.incarnation != 0 && message.Incarnation != p.incarnation:
		change.Kind = "restarted"
	case p.lost:
		change.Kind = "found"
	}
	if message.PlatformUnreachable && !p.platformUnreachable {
		p.unreachableSince = now
	}
	m.role.reading.note(now, message.WatcherCount)
	m.role.announced.note(now, message.AnnouncedCount)
	p.node, p.dataCentre, p.incarnation = message.Node, message.DataCentre, message.Incarnation
	p.daemonCount, p.carries = message.DaemonCount, message.Carries
	p.watching, p.platformUnreachable, p.leaving = message.Watching, message.PlatformUnreachable, message.Leaving
	p.tableVersion, p.listVersion, p.spreadNumber = message.TableVersion, message.listVersion(), message.SpreadNumber
	p.lastReceived, p.lost = now, false
	if !message.LoadsOmitted || change.Kind == "restarted" {
		p.loads, p.loadsAt = loadsOf(message.Loads), now
	}
	return change, change.Kind != ""
}

// Expire marks peers as lost that have stopped sending, and returns them.
func (m *Members) Expire(now time.Time) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lost []Change
	for address, p := range m.peers {
		silent := now.Sub(p.lastReceived)
		if !p.lost && silent > m.lossTimeout(now, p) {
			p.lost = true
			lost = append(lost, Change{Node: p.node, Address: address, Kind: "lost", SilentFor: silent})
		}
		if p.lost && (!p.seed || !p.lastReceived.IsZero()) && !p.recent(now) {
			delete(m.peers, address)
		}
	}
	return lost
}

// fullRound is the time in which a daemon that does not watch the platform sends to every
// peer once.
func (m *Members) fullRound() time.Duration {
	if len(m.peers) <= maxDirectPeers {
		return Interval
	}
	return Interval * time.Duration((len(m.peers)+peersPerInterval-1)/peersPerInterval)
}

// watcherInterval is the time between two messages of a peer to the watchers.
func (m *Members) watcherInterval() time.Duration {
	return Interval * time.Duration(intervalsPerWatcherMessage(len(m.peers)))
}

// intervalsPerWatcherMessage is the number of intervals between two messages of a daemon to
// the watchers, which bounds the rate that each watcher receives.
func intervalsPerWatcherMessage(peers int) int {
	maxPeers := maxWatcherMessagesPerSecond * int(Interval/time.Millisecond) / int(time.Second/time.Millisecond)
	return max(1, (peers+maxPeers-1)/maxPeers)
}

// lossTimeout is the time without a message after which the peer counts as lost. It depends
// on how often the peer sends: a watcher sends to every peer at each interval, and receives
// from every peer once per watcherInterval.
func (m *Members) lossTimeout(now time.Time, p *peer) time.Duration {
	switch {
	case p.watching:
		return lostAfter
	case m.role.watching && now.Sub(m.role.watchingSince) > watcherSettleTime:
		return max(lostAfter, 4*m.watcherInterval())
	default:
		return max(lostAfter, 3*m.fullRound())
	}
}

// Addresses returns the sorted addresses of all peers, lost ones included.
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

// RecentAddresses returns the addresses of the peers that sent a message or were added within
// forgetAfter. Lost ones are included: they may be unreachable from here only.
func (m *Members) RecentAddresses(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	addresses := make([]string, 0, len(m.peers))
	for address, p := range m.peers {
		if p.recent(now) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// recent reports whether the peer sent a message or was added within forgetAfter.
func (p *peer) recent(now time.Time) bool {
	return now.Sub(p.lastReceived) < forgetAfter || now.Sub(p.addedAt) < forgetAfter
}

// LiveAddresses returns the addresses of the peers that are not lost.
func (m *Members) LiveAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	addresses := make([]string, 0, len(m.peers))
	for address, p := range m.peers {
		if !p.lost {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// broadcastTargets returns all peers, sorted by address.
func (m *Members) broadcastTargets() []broadcastTarget {
	m.mu.Lock()
	defer m.mu.Unlock()
	targets := make([]broadcastTarget, 0, len(m.peers))
	for address, p := range m.peers {
		if a, err := netip.ParseAddr(address); err == nil && a.Is4() {
			targets = append(targets, broadcastTarget{address: a, dataCentre: p.dataCentre, live: !p.lost})
		}
	}
	slices.SortFunc(targets, func(a, b broadcastTarget) int { return a.address.Compare(b.address) })
	return targets
}

// HeardAddresses returns the sorted addresses of the peers that sent a message within forgetAfter. Only
// these are passed on: daemons would remind each other of ones that have stopped.
func (m *Members) HeardAddresses(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for address, p := range m.peers {
		if now.Sub(p.lastReceived) < forgetAfter {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// IsLargeFleet reports whether there are too many peers to send to all of them at each
// interval.
func (m *Members) IsLargeFleet() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) > maxDirectPeers
}

// Has reports whether a peer with this address is known.
func (m *Members) Has(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[address] != nil
}

// Live returns the number of live peers and the longest time since one of them sent a message.
func (m *Members) Live(now time.Time) (n int, oldest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if !p.lost {
			n++
			oldest = max(oldest, now.Sub(p.lastReceived))
		}
	}
	return n, oldest
}

// ContactAges returns the time since each peer's last message, by node name.
func (m *Members) ContactAges(now time.Time) map[string]time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	ages := make(map[string]time.Duration, len(m.peers))
	for _, p := range m.peers {
		if !p.lastReceived.IsZero() {
			ages[p.node] = now.Sub(p.lastReceived)
		}
	}
	return ages
}

// BudgetSharers returns the number of daemons, this one included, among which shared budgets
// are divided. In a large fleet the watchers observe more daemons than this one does, so the
// highest count of theirs is used.
func (m *Members) BudgetSharers(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.observedCount(now)
	for _, p := range m.peers {
		if !p.lost && p.watching {
			n = max(n, p.daemonCount)
		}
	}
	return n
}

// ObservedCount returns the number of daemons, this one included, that sent a message or
// were added within budgetShareGrace.
func (m *Members) ObservedCount(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.observedCount(now)
}

func (m *Members) observedCount(now time.Time) int {
	n := 1
	for _, p := range m.peers {
		if !p.lastReceived.IsZero() && now.Sub(p.lastReceived) < budgetShareGrace || p.lastReceived.IsZero() && now.Sub(p.addedAt) < budgetShareGrace {
			n++
		}
	}
	return n
}

// NewestTableVersion returns the highest route table version of a live peer, and its address.
func (m *Members) NewestTableVersion() (version int64, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if !p.lost && p.tableVersion > version {
			version, address = p.tableVersion, p.address
		}
	}
	return version, address
}

// NewestListVersion returns the newest endpoint list version of a live peer, and its address.
func (m *Members) NewestListVersion() (version directory.Version, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if !p.lost && p.listVersion.After(version) {
			version, address = p.listVersion, p.address
		}
	}
	return version, address
}

// LastMessage returns when the last message of any peer was received, or the zero time.
func (m *Members) LastMessage() (last time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.lastReceived.After(last) {
			last = p.lastReceived
		}
	}
	return last
}

// AddWatchers adds daemons that a peer reported as watchers. It returns those that have not
// sent a message yet and to which this daemon should be introduced now.
func (m *Members) AddWatchers(now time.Time, addresses []string) (unknown []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, address := range addresses {
		p := m.add(now, address)
		if p == nil || !p.lastReceived.IsZero() || now.Sub(p.introducedAt) < introductionInterval {
			continue
		}
		p.introducedAt = now
		unknown = append(unknown, address)
	}
	return unknown
}

// Watchers returns the addresses of up to n live peers that watch the platform.
func (m *Members) Watchers(n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for address, p := range m.peers {
		if !p.lost && p.watching {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses[:min(n, len(addresses))]
}

// Aggregates reports whether this daemon has the loads of all daemons and broadcasts their
// sum. Each daemon reports its loads to the first maxWatcherTargets watchers only, and needs
// time to do so after a daemon has become a watcher.
func (m *Members) Aggregates(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.aggregates(now)
}

func (m *Members) aggregates(now time.Time) bool {
	ahead, counted := 0, 0
	for address, p := range m.peers {
		if !p.lost && p.watching {
			ahead += boolToInt(address < m.self)
			counted = max(counted, p.daemonCount)
		}
	}
	role := &m.role
	if !role.watching || ahead >= maxWatcherTargets {
		role.targetSince = time.Time{}
		return false
	}
	if role.targetSince.IsZero() {
		role.targetSince = now
	}
	return now.Sub(role.targetSince) >= m.aggregationDelay() && m.observedCount(now)*100 >= counted*minKnownPercent
}

// aggregationDelay is the time after which a new watcher has the loads of all daemons: its next
// message tells them to report to it, and each does so twice in the rest.
func (m *Members) aggregationDelay() time.Duration { return Interval + 2*m.watcherInterval() }

// SetSentLoads records the own loads that were last sent to peers.
func (m *Members) SetSentLoads(loads map[balance.EndpointKey]balance.Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sentLoads = loads
}

// StoreAggregatedLoads records the load of all daemons, this one included, at some endpoints.
func (m *Members) StoreAggregatedLoads(now time.Time, loads []LoadEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range loads {
		m.aggregated[e.Endpoint] = aggregatedLoad{load: e.load(), receivedAt: now}
	}
}

// RemoteLoads returns the load of the other daemons at each endpoint: from the aggregated
// loads received within aggregatedTTL, else from what each daemon reported last.
func (m *Members) RemoteLoads(now time.Time) map[balance.EndpointKey]balance.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	remote := make(map[balance.EndpointKey]balance.Load, len(m.aggregated))
	for key, total := range m.aggregated {
		if now.Sub(total.receivedAt) > aggregatedTTL {
			delete(m.aggregated, key)
			continue
		}
		remote[key] = subtract(total.load, m.sentLoads[key])
	}
	if len(remote) == 0 {
		return m.reportedLoads(now)
	}
	return remote
}

// ReportedLoads returns the sum of the loads that the other daemons reported themselves.
func (m *Members) ReportedLoads(now time.Time) map[balance.EndpointKey]balance.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reportedLoads(now)
}

func (m *Members) reportedLoads(now time.Time) map[balance.EndpointKey]balance.Load {
	total := make(map[balance.EndpointKey]balance.Load)
	for _, p := range m.peers {
		if now.Sub(p.loadsAt) > max(loadsTTL, 3*m.watcherInterval()) {
			continue
		}
		addLoads(total, p.loads)
	}
	return total
}
