package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load pattern: hundreds of daemons start at once, or lose the platform at once. If each
// listed the platform's objects itself, the platform's rate limit would be used up and no
// list would complete. A few daemons watch the platform on behalf of all. A daemon that
// sees too few watchers takes over the role, after a delay that staggers the candidates.

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
	// be gone without having been detected as lost.
	takeoverStep, maxTakeoverDelay = 20 * time.Millisecond, 2 * time.Second
	// startupWait is how long a daemon waits after its start for a peer that names
	// watchers; a seed replies within a few milliseconds.
	startupWait = 20 * time.Millisecond
	// trustReportsFor is how long after its start a daemon relies on the watcher counts that
	// peers report, because it has not received messages from the watchers themselves.
	// reportTTL is how long such a report is valid.
	trustReportsFor, reportTTL = 3 * time.Second, time.Second
)

// watcherRole decides whether this daemon watches the platform.
type watcherRole struct {
	started  time.Time
	watching bool
	// watchingSince is when this daemon started to watch.
	watchingSince time.Time
	// shortageSince is when too few watchers were first seen, zero while there are enough.
	shortageSince time.Time
	// reported is the number of watchers according to a peer.
	reported   int
	reportedAt time.Time
}

// noteReport records a peer's count of watchers. The highest valid report is kept, since
// peers that have just started report too few.
func (r *watcherRole) noteReport(now time.Time, n int) {
	if n >= r.reported || now.Sub(r.reportedAt) >= reportTTL {
		r.reported, r.reportedAt = n, now
	}
}

// ShouldWatch reports whether this daemon is to watch the platform on behalf of all. It has
// to be called often: a daemon takes over the watcher role only in a call.
func (m *Members) ShouldWatch(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	reliable, ahead, position := m.assessWatchers(now)
	role := &m.role
	if role.watching {
		if ahead >= targetWatchers {
			role.watching, role.shortageSince = false, time.Time{}
		}
		return role.watching
	}
	age := now.Sub(role.started)
	if age < startupWait && len(m.peers) > 0 {
		return false
	}
	if age < trustReportsFor && now.Sub(role.reportedAt) < reportTTL {
		reliable = max(reliable, role.reported)
	}
	if reliable >= targetWatchers {
		role.shortageSince = time.Time{}
		return false
	}
	if role.shortageSince.IsZero() {
		role.shortageSince = now
	}
	// As many candidates as there are watchers missing take over without a delay.
	steps := max(0, position-(targetWatchers-1-reliable))
	if now.Sub(role.shortageSince) >= min(time.Duration(steps)*takeoverStep, maxTakeoverDelay) {
		role.watching, role.watchingSince = true, now
	}
	return role.watching
}

// assessWatchers counts the watchers that can be relied on, those of them that precede this
// daemon in hash order and can read the platform, and the candidates that precede it.
func (m *Members) assessWatchers(now time.Time) (reliable, ahead, position int) {
	ownHash := xxhash.Sum64String(m.self)
	for address, p := range m.peers {
		// A peer that was named but has not sent a message may have started just now, like
		// this daemon.
		unconfirmed := p.lastReceived.IsZero() && now.Sub(p.addedAt) < trustReportsFor
		if p.lost && !unconfirmed || p.leaving {
			continue
		}
		before := xxhash.Sum64String(address) < ownHash
		switch {
		case !p.watching:
			position += boolToInt(before)
		case !p.platformUnreachable:
			reliable++
			ahead += boolToInt(before)
		default:
			reliable += boolToInt(now.Sub(p.unreachableSince) < unreachableGrace)
		}
	}
	return reliable, ahead, position
}

// CountWatchers returns the number of daemons that watch the platform and can read it, from
// the messages received here. self tells whether this daemon is one of them.
func (m *Members) CountWatchers(self bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := boolToInt(self)
	for _, p := range m.peers {
		n += boolToInt(!p.lost && !p.leaving && p.watching && !p.platformUnreachable)
	}
	return n
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
