package gateway

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

// Values of Drill.CutFromEndpoints.
const (
	drillRefuse = "refuse"
	drillHang   = "hang"
)

// drillAll is the value of Drill.CutFromPeers that stands for every peer.
const drillAll = "all"

// heldFor is how long a connection of a peer that is cut off is left without an answer; peers give
// up earlier.
const heldFor = 5 * time.Second

// drill makes direct connections to endpoints fail and cuts peers off while operators rehearse a
// partition. Open connections in use stay.
type drill struct {
	mode  atomic.Pointer[string]
	peers atomic.Pointer[[]string]
}

// set changes the drill for endpoints, and reports whether it is a change.
func (d *drill) set(mode string) bool {
	previous := d.mode.Swap(&mode)
	return previous == nil && mode != "" || previous != nil && *previous != mode
}

// setPeers changes the drill for peers, and reports whether it is a change.
func (d *drill) setPeers(peers []string) bool {
	previous := d.peers.Swap(&peers)
	return previous == nil && len(peers) > 0 || previous != nil && !slices.Equal(*previous, peers)
}

// cutsPeer reports whether nothing may be exchanged with the peer at an address.
func (d *drill) cutsPeer(address netip.Addr) bool {
	peers := d.peers.Load()
	return peers != nil && (slices.Contains(*peers, drillAll) || slices.Contains(*peers, address.Unmap().String()))
}

// wrap returns dial as it is during the drill for endpoints.
func (d *drill) wrap(dial dialFunc) dialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if mode := d.mode.Load(); mode != nil {
			switch *mode {
			case drillRefuse:
				return nil, syscall.ECONNREFUSED
			case drillHang:
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}
		return dial(ctx, address)
	}
}

type dialFunc = func(ctx context.Context, address string) (net.Conn, error)

// wrapPeers returns dial as it is during the drill for peers: connections to those that are cut
// off hang.
func (d *drill) wrapPeers(dial dialFunc) dialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if peer, err := netip.ParseAddrPort(address); err == nil && d.cutsPeer(peer.Addr()) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dial(ctx, address)
	}
}

// listen returns a listener for peers that leaves connections of those that are cut off without an
// answer.
func (d *drill) listen(listener net.Listener) net.Listener {
	return peerListener{Listener: listener, drill: d}
}

type peerListener struct {
	net.Listener
	drill *drill
}

// Accept implements net.Listener.
func (l peerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if peer, err := netip.ParseAddrPort(conn.RemoteAddr().String()); err == nil && l.drill.cutsPeer(peer.Addr()) {
			time.AfterFunc(heldFor, func() { _ = conn.Close() })
			continue
		}
		return conn, nil
	}
}
