package gateway

import (
	"context"
	"net"
	"strconv"
	"time"
)

const (
	// callerProbe and callerProbes find callers, and peers, that are gone without a word.
	callerProbe  = 2 * time.Second
	callerProbes = 3
)

// listen opens a TCP listener at an IP number and port.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: callerProbe, Interval: callerProbe, Count: callerProbes,
	}}
	config.SetMultipathTCP(false)
	return config.Listen(ctx, "tcp4", address)
}

func joinPort(address string, port int) string {
	return net.JoinHostPort(address, strconv.Itoa(port))
}
