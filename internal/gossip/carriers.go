package gossip

import "github.com/primrosewell/primrosewell/internal/reach"

// Carriers returns the live peers that carry connections of others and don't shut down.
func (m *Members) Carriers() []reach.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := make([]reach.Candidate, 0, len(m.peers))
	for address, p := range m.peers {
		if p.carries && !p.lost && !p.leaving {
			candidates = append(candidates, reach.Candidate{Address: address, DataCentre: p.dataCentre})
		}
	}
	return candidates
}

// IsLeaving reports whether a peer said last that it shuts down.
func (m *Members) IsLeaving(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[address]
	return p != nil && p.leaving
}
