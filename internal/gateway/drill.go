package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
)

// Values of Drill.CutFromEndpoints.
const (
	drillRefuse = "refuse"
	drillHang   = "hang"
)

// drill makes direct connections to endpoints fail while operators rehearse a partition. Open
// connections in use stay.
type drill struct{ mode atomic.Pointer[string] }

// set changes the drill, and reports whether it is a change.
func (d *drill) set(mode string) bool {
	previous := d.mode.Swap(&mode)
	return previous == nil && mode != "" || previous != nil && *previous != mode
}

// wrap returns dial as it is during the drill.
func (d *drill) wrap(dial func(ctx context.Context, address string) (net.Conn, error)) func(ctx context.Context, address string) (net.Conn, error) {
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
