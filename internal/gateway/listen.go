package gateway

import (
	"context"
	"net"
	"strconv"
	"time"
)

const (
	// keepAliveInterval and keepAliveProbes detect callers and peers that disappeared without
	// closing their connections.
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
)

// listen opens a TCP listener on an IP address and port, with keep-alive probes.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	config.SetMultipathTCP(false)
	return config.Listen(ctx, "tcp4", address)
}

func joinPort(address string, port int) string {
	return net.JoinHostPort(address, strconv.Itoa(port))
}
