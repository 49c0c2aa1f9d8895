package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load pattern: hundreds of daemons start at once, or lose the platform at once. If each
// listed the platform's objects itself, the platform's rate limit would be used up and no
// list would complete; if each broadcast as a watcher does, messages would grow with the
// square of the fleet. A few daemons watch the platform on behalf of all. A daemon that
// sees too few watchers takes over the role, after a delay that staggers the candidates.
// Watchers that can't read the platform keep the role, as others may not be able to either;
// meanwhile the other daemons probe the platform in turn, without a broadcast, and one that
// can read it becomes a watcher.

const (
	// targetWatchers is the number of daemons that watch the platform on behalf of all. It
	// exceeds the number that commonly lose the platform at once, and is small compared
	// with a large fleet.
	targetWatchers = 4
	// unreachableGrace is how long a watcher that can't read the platform still counts as
	// reliable: after a broken watch, a new list succeeds within a few tries.
	unreachableGrace = 500 * time.Millisecond
	// takeoverStep is the delay between two candidates for the watcher role.
	// maxTakeoverDelay bounds a candidate's total delay, since the candidates before it may
	// be gone without having been detected as lost. Candidates that have just started know too
	// few others to take turns by them: they spread over maxTakeoverDelay if there is a watcher, else
	// over takeoverStep for each daemon of the fleet.
	takeoverStep, maxTakeoverDelay = 20 * time.Millisecond, 2 * time.Second
	// startupWait is how long a daemon waits after its start for a peer that names
	// watchers; a seed replies within a few milliseconds.
	startupWait = 20 * time.Millisecond
	// trustReportsFor is how long after its start a daemon relies on the watcher counts that
	// peers report, because it has not received messages from the watchers themselves.
	// reportTTL is how long such a report is valid.
	trustReportsFor, reportTTL = 3 * time.Second, time.Second
	// handoverMargin is how much longer a watcher keeps the role than those that precede it
	// need until they aggregate loads: the aggregated loads would be missing in between.
	handoverMargin = 300 * time.Millisecond
	// probeSpacing is the mean time between the begins of two daemons' probes, whatever the
	// size of the fleet: eight a second find a daemon that can read the platform, and with two
	// collections and some retries cost it about 50 calls a second.
	probeSpacing = 125 * time.Millisecond
	// probeTime is the length of a probe: a list takes up to 300 ms, and a role check is made
	// every 100 ms. minProbePeriod is the least time between two probes of one daemon.
	probeTime, minProbePeriod = 500 * time.Millisecond, 2 * time.Second
)

// watcherRole decides whether this daemon watches the platform.
type watcherRole struct {
	started  time.Time
	watching bool
	// watchingSince is when this daemon started to watch.
	watchingSince time.Time
	// targetSince is when this daemon was first among the watchers to which the others report
	// their loads, zero while it is not.
	targetSince time.Time
	// surplusSince is when enough watchers that precede this one were first seen, zero while
	// there are too few.
	surplusSince time.Time
	// shortageSince is when too few watchers were first seen, zero while there are enough.
	shortageSince time.Time
	// unreadSince is when too few watchers that can read the platform were first seen, and
	// enoughSince when enough were; the other one is zero.
	unreadSince, enoughSince time.Time
	// unreachable is set while this daemon's reads of the platform fail.
	unreachable bool
	// reading and announced are the numbers of watchers according to peers: those that can read
	// the platform, and all.
	reading, announced report
}

// report is a number that a peer reported.
type report struct {
	n  int
	at time.Time
}

// note records a peer's report. The highest valid one is kept, since peers that have just
// started report too few.
func (r *report) note(now time.Time, n int) {
	if n >= r.n || now.Sub(r.at) >= reportTTL {
		r.n, r.at = n, now
	}
}

func (r *report) valid(now time.Time) int {
	if now.Sub(r.at) >= reportTTL {
		return 0
	}
	return r.n
}

// ShouldWatch reports whether this daemon is to read the platform now: as a watcher on behalf
// of all, or to probe it. It has to be called often: a daemon takes over the watcher role only
// in a call of it or of Announces.
func (m *Members) ShouldWatch(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.updateRole(now)
	return m.role.watching || m.probes(now, w)
}

// Announces reports whether this daemon is a watcher: it tells the others so and broadcasts
// on behalf of all. A daemon that only probes the platform does not.
func (m *Members) Announces(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateRole(now)
	return m.role.watching
}

// NoteReading records whether a read of the platform by this daemon succeeded. A daemon that
// probed the platform becomes a watcher if there are too few that can read it; NoteReading
// reports whether it has.
func (m *Members) NoteReading(now time.Time, succeeded bool) (becameWatcher bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateRole(now)
	role := &m.role
	role.unreachable = !succeeded
	if !succeeded || role.watching || role.unreadSince.IsZero() {
		return false
	}
	role.watching, role.watchingSince = true, now
	return true
}

// HandsOver reports whether this daemon is a watcher that only keeps the role until others, which
// precede it, aggregate loads. What changes is for those to send.
func (m *Members) HandsOver() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role.watching && !m.role.surplusSince.IsZero()
}

// EnoughWatchersFor returns how long this daemon has seen enough watchers that can read the
// platform, or zero if there are too few.
func (m *Members) EnoughWatchersFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.updateRole(now); m.role.enoughSince.IsZero() {
		return 0
	}
	return now.Sub(m.role.enoughSince)
}

// updateRole gives up the watcher role or takes it over, and returns the watchers that it saw.
func (m *Members) updateRole(now time.Time) watchers {
	w, role := m.assessWatchers(now), &m.role
	if role.watching {
		if w.ahead < targetWatchers {
			role.surplusSince = time.Time{}
		} else if role.surplusSince.IsZero() {
			role.surplusSince = now
		}
		aggregates := m.aggregates(now)
		if w.ahead >= targetWatchers && (!aggregates || now.Sub(role.surplusSince) >= m.aggregationDelay()+handoverMargin) {
			*role = watcherRole{started: role.started, reading: role.reading, announced: role.announced}
		}
		return w
	}
	age := now.Sub(role.started)
	if age < startupWait && len(m.peers) > 0 {
		return w
	}
	if age < trustReportsFor {
		w.reliable, w.announced = max(w.reliable, role.reading.valid(now)), max(w.announced, role.reading.valid(now), role.announced.valid(now))
	}
	switch {
	case w.reliable >= targetWatchers && role.enoughSince.IsZero():
		role.unreadSince, role.enoughSince = time.Time{}, now
	case w.reliable < targetWatchers && role.unreadSince.IsZero():
		role.unreadSince, role.enoughSince = now, time.Time{}
	}
	if w.announced >= targetWatchers {
		role.shortageSince = time.Time{}
		return w
	}
	if role.shortageSince.IsZero() {
		role.shortageSince = now
	}
	// As many candidates as there are watchers missing take over without a delay.
	steps := max(0, w.position-(targetWatchers-1-w.announced))
	delay := min(time.Duration(steps)*takeoverStep, maxTakeoverDelay)
	if age < trustReportsFor && w.live > 0 {
		spread := maxTakeoverDelay
		if w.announced == 0 {
			spread = min(spread, takeoverStep*time.Duration(m.fleetSize(now)))
		}
		delay = max(delay, time.Duration(float64(spread)*m.hashPosition()))
	}
	if now.Sub(role.shortageSince) >= delay {
		role.watching, role.watchingSince, role.unreachable = true, now, false
	}
	return w
}

// probes reports whether it is this daemon's turn to probe the platform. Turns follow the hash
// order, so that daemons that know few of the others, as after a restart of all, keep them, too.
func (m *Members) probes(now time.Time, w watchers) bool {
	role := &m.role
	if role.unreadSince.IsZero() {
		return false
	}
	size := m.fleetSize(now)
	period := max(minProbePeriod, time.Duration(size)*probeSpacing)
	turn := time.Duration(float64(period) * m.hashPosition())
	if w.position < targetWatchers-w.reliable && (now.Sub(role.started) >= trustReportsFor || size <= 2*targetWatchers) {
		turn = 0 // As many as are missing begin at once.
	}
	since := now.Sub(role.unreadSince) - turn
	return since >= 0 && since%period < probeTime
}

// fleetSize returns the number of daemons, this one included, as it or a peer observes.
func (m *Members) fleetSize(now time.Time) int {
	size := m.observedCount(now)
	for _, p := range m.peers {
		if !p.lost {
			size = max(size, p.daemonCount)
		}
	}
	return size
}

// hashPosition returns this daemon's position in hash order, from 0 to 1. It is the same whether
// or not the daemon knows the others.
func (m *Members) hashPosition() float64 {
	return float64(xxhash.Sum64String(m.self)>>11) / (1 << 53)
}

// watchers are the watchers as this daemon sees them.
type watchers struct {
	// live counts the daemons, watchers or not, that have sent a message and are not lost.
	live int
	// announced counts all that are live, and reliable those that can read the platform.
	announced, reliable int
	// ahead counts those that precede this daemon, were it a watcher: the ones that can read the
	// platform precede the ones that can't, and otherwise hash order decides.
	ahead int
	// position counts the candidates for the role that precede this daemon in hash order.
	position int
}

func (m *Members) assessWatchers(now time.Time) (w watchers) {
	ownHash := xxhash.Sum64String(m.self)
	for address, p := range m.peers {
		// A peer that was named but has not sent a message may have started just now, like
		// this daemon.
		unconfirmed := p.lastReceived.IsZero() && now.Sub(p.addedAt) < trustReportsFor
		if p.lost && !unconfirmed || p.leaving {
			continue
		}
		w.live += boolToInt(!p.lost)
		before := xxhash.Sum64String(address) < ownHash
		if !p.watching {
			w.position += boolToInt(before)
			continue
		}
		w.announced++
		if p.platformUnreachable {
			w.reliable += boolToInt(now.Sub(p.unreachableSince) < unreachableGrace)
			w.ahead += boolToInt(before && m.role.unreachable)
		} else {
			w.reliable++
			w.ahead += boolToInt(before || m.role.unreachable)
		}
	}
	return w
}

// CountWatchers returns the number of daemons that watch the platform and can read it, and of
// all that announce that they watch it, from the messages received here. self tells whether this
// daemon is one of them, and unreachable whether it can't read the platform.
func (m *Members) CountWatchers(self, unreachable bool) (reading, announced int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reading, announced = boolToInt(self && !unreachable), boolToInt(self)
	for _, p := range m.peers {
		if !p.lost && !p.leaving && p.watching {
			announced++
			reading += boolToInt(!p.platformUnreachable)
		}
	}
	return reading, announced
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
