package gateway

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/primrosewell/primrosewell/internal/memory"
)

const (
	// keepAliveInterval and keepAliveProbes detect callers and peers that disappeared without
	// closing their connections.
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
)

// listen opens a TCP listener for a class of connections on an IP address and port, with keep-alive probes.
func listen(ctx context.Context, address string, class memory.Class) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	config.SetMultipathTCP(false)
	return memory.Listen(ctx, config, "tcp4", address, class)
}

func joinPort(address string, port int) string {
	return net.JoinHostPort(address, strconv.Itoa(port))
}
