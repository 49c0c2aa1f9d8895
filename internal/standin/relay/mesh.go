package relay

import (
	"context"
	"net"
	"sync"
)

// Mesh routes connections through one relay for each link, a caller and the address it
// calls. Relays are created on first use. Links are directed: the connections that A opens to
// B can be cut while those that B opens to A still work.
type Mesh struct {
	mu     sync.Mutex
	relays map[link]*Relay
	cuts   map[link]Direction
}

// link is the name of a caller and the address that it calls.
type link struct {
	from string
	to   string
}

// NewMesh returns a mesh without relays or cuts.
func NewMesh() *Mesh { return &Mesh{relays: map[link]*Relay{}, cuts: map[link]Direction{}} }

// Dialer returns the dial function for the process named from.
func (m *Mesh) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		r, err := m.relayFor(ctx, link{from: from, to: address})
		if err != nil {
			return nil, err
		}
		return new(net.Dialer).DialContext(ctx, network, r.Address())
	}
}

func (m *Mesh) relayFor(ctx context.Context, p link) (*Relay, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.relays[p]; ok {
		return r, nil
	}
	r, err := New(ctx, p.to)
	if err != nil {
		return nil, err
	}
	r.Cut(m.cuts[p])
	m.relays[p] = r
	return r, nil
}

// Cut blocks the bytes of a direction on the connections that from opens to toAddress; None
// ends the cut. Connections that the process at toAddress opens are not affected.
func (m *Mesh) Cut(from, toAddress string, d Direction) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := link{from: from, to: toAddress}
	m.cuts[p] = d
	if r, ok := m.relays[p]; ok {
		r.Cut(d)
	}
}

// ForwardedBytes returns the bytes forwarded on the connections that from opens, both
// directions together.
func (m *Mesh) ForwardedBytes(from string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var n int64
	for p, r := range m.relays {
		if p.from == from {
			n += r.ForwardedBytes()
		}
	}
	return n
}

// Close closes every relay.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.relays {
		r.Close()
	}
}
