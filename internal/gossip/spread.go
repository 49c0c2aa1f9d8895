package gossip

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/resume"
)

// ObservedSpread returns the newest endpoint list version that has spread, from the messages of all
// peers; own is this daemon's. It is the zero version shortly after the start: a daemon that knows
// few of the others takes too few for enough.
func (m *Members) ObservedSpread(now time.Time, own directory.Version) directory.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.role.started) < trustReportsFor {
		return directory.Version{}
	}
	return m.observedSpread(now, own)
}

// observedSpread is called with m.mu held. Lost peers count: they may be out of reach from here only,
// and what they reported they have had.
func (m *Members) observedSpread(now time.Time, own directory.Version) directory.Version {
	var reported []directory.Version
	gateways, counted := 1, 0
	for _, p := range m.peers {
		if p.recent(now) {
			gateways++
			reported = append(reported, p.listVersion)
		}
		if !p.lost {
			counted = max(counted, p.daemonCount)
		}
	}
	return resume.SpreadVersion(own, reported, max(gateways, counted))
}

// SpreadVersion returns the newest endpoint list version that has spread, as this daemon or a watcher
// observes, up to its own. In a large fleet, and shortly after this daemon's start, the watchers know
// more of the others than this one.
func (m *Members) SpreadVersion(now time.Time, own directory.Version) directory.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	var spread directory.Version
	if now.Sub(m.role.started) >= trustReportsFor || len(m.peers) == 0 {
		spread = m.observedSpread(now, own)
	}
	for _, p := range m.peers {
		if !p.lost && p.watching && p.listVersion.Era == own.Era && p.spreadNumber <= own.Number && p.spreadNumber > spread.Number {
			spread = directory.Version{Era: own.Era, Number: p.spreadNumber}
		}
	}
	return spread
}
