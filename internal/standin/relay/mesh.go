package relay

import (
	"context"
	"net"
	"sync"
)

// Mesh puts one relay between each pair of named processes, made on first use, so
// that the calls of A to B can be cut while those of B to A go on.
type Mesh struct {
	mu     sync.Mutex
	relays map[pair]*Relay
	cuts   map[pair]Direction
}

// pair is a caller's name and the address that it calls.
type pair struct {
	from string
	to   string
}

// NewMesh returns a mesh without cuts.
func NewMesh() *Mesh { return &Mesh{relays: map[pair]*Relay{}, cuts: map[pair]Direction{}} }

// Dialer returns the dial function of the process of a name.
func (m *Mesh) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		r, err := m.relay(ctx, pair{from: from, to: address})
		if err != nil {
			return nil, err
		}
		return new(net.Dialer).DialContext(ctx, network, r.Address())
	}
}

func (m *Mesh) relay(ctx context.Context, p pair) (*Relay, error) {
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

// Cut holds back bytes on the connections that from makes to an address. The other
// process's own connections are not touched.
func (m *Mesh) Cut(from, toAddress string, d Direction) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := pair{from: from, to: toAddress}
	m.cuts[p] = d
	if r, ok := m.relays[p]; ok {
		r.Cut(d)
	}
}

// Passed returns the bytes let through on the connections that from makes.
func (m *Mesh) Passed(from string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var n int64
	for p, r := range m.relays {
		if p.from == from {
			n += r.Passed()
		}
	}
	return n
}

// Close ends every relay.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.relays {
		r.Close()
	}
}
