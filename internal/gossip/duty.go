package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load pattern: hundreds of daemons start at once, or lose the platform at once. If each
// listed the platform itself, its rate would be used up by lists that never end. A few
// follow it for all; who is short of them takes its turn.

const (
	// followers is the number of daemons that follow the platform for all: more than are
	// commonly cut off from it at once, and few beside a large fleet.
	followers = 4
	// blindGrace is how long a daemon that can't read the platform counts as one of them:
	// a watch that broke is listed again within a few tries.
	blindGrace = 500 * time.Millisecond
	// turnPause is the time between the turns of two daemons that might follow, and
	// longestTurn the longest wait for a turn: those ahead may be gone unnoticed.
	turnPause, longestTurn = 20 * time.Millisecond, 2 * time.Second
	// startPatience is how long a daemon waits after its start for a peer that tells it of
	// others; a seed answers within a few milliseconds.
	startPatience = 20 * time.Millisecond
	// claimsFor is how long after its start a daemon believes how many follow before it
	// has heard them itself, and claimFresh how long such a claim holds.
	claimsFor, claimFresh = 3 * time.Second, time.Second
)

// duty decides whether this daemon follows the platform.
type duty struct {
	started   time.Time
	following bool
	// since is when this daemon began to follow.
	since time.Time
	// shortSince is when too few were first seen to follow.
	shortSince time.Time
	// claimed is the number of those that follow, as a peer told it.
	claimed   int
	claimedAt time.Time
}

// claim notes how many follow as a peer tells it; of fresh claims the highest counts,
// since those who just started tell of few.
func (d *duty) claim(now time.Time, n int) {
	if n >= d.claimed || now.Sub(d.claimedAt) >= claimFresh {
		d.claimed, d.claimedAt = n, now
	}
}

// Follows reports whether this daemon follows the platform for all. It is asked often: a
// daemon takes its turn only while it asks.
func (m *Members) ShouldWatch(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	sound, ahead, position := m.countFollowing(now)
	d := &m.duty
	if d.following {
		if ahead >= followers {
			d.following, d.shortSince = false, time.Time{}
		}
		return d.following
	}
	age := now.Sub(d.started)
	if age < startPatience && len(m.peers) > 0 {
		return false
	}
	if age < claimsFor && now.Sub(d.claimedAt) < claimFresh {
		sound = max(sound, d.claimed)
	}
	if sound >= followers {
		d.shortSince = time.Time{}
		return false
	}
	if d.shortSince.IsZero() {
		d.shortSince = now
	}
	// As many as are missing begin at once.
	turn := max(0, position-(followers-1-sound))
	if now.Sub(d.shortSince) >= min(time.Duration(turn)*turnPause, longestTurn) {
		d.following, d.since = true, now
	}
	return d.following
}

// countFollowing counts the live peers that follow the platform and may be relied on, those
// of them ahead of this daemon that can read it, and those that take their turn before.
func (m *Members) countFollowing(now time.Time) (sound, ahead, position int) {
	own := xxhash.Sum64String(m.self)
	for address, p := range m.peers {
		// One that was named and not heard yet may have started just now, as this one has.
		unheard := p.heard.IsZero() && now.Sub(p.since) < claimsFor
		if p.lost && !unheard || p.leaving {
			continue
		}
		before := xxhash.Sum64String(address) < own
		switch {
		case !p.following:
			position += one(before)
		case !p.blind:
			sound++
			ahead += one(before)
		default:
			sound += one(now.Sub(p.blindSince) < blindGrace)
		}
	}
	return sound, ahead, position
}

// Followed is the number of daemons that follow the platform and can read it, as far as
// this one has heard them itself. self tells whether it is one of them.
func (m *Members) Followed(self bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := one(self)
	for _, p := range m.peers {
		n += one(!p.lost && !p.leaving && p.following && !p.blind)
	}
	return n
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}
