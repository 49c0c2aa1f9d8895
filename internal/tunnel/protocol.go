// Package tunnel carries connections to endpoints through other gateways. A gateway asks a carrier
// by the CONNECT method of HTTP/1.1; the carrier connects to the endpoint itself, never through a
// third gateway, and copies bytes. It reads none of them: requests, their order, limits, retries
// and evidence stay with the gateway that has the caller.
package tunnel

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/primrosewell/primrosewell/internal/reach"
)

// Header fields between gateways.
const (
	// verdictField is the carrier's answer, a reach.Verdict.
	verdictField = "Primrosewell-Reach"
	// requestField is the id of the request for which a connection is opened, and tunnelField that of
	// the tunnel, which the logs of both gateways name.
	requestField = "Primrosewell-Request-Id"
	tunnelField  = "Primrosewell-Tunnel"
	// vmField is the name of the VM that asks.
	vmField = "Primrosewell-Vm"
)

const (
	// answerTimeout bounds the time in which a carrier answers: its own connection, then the check
	// whether it reaches other endpoints, and two ways between data centres.
	answerTimeout = 450 * time.Millisecond
	// carrierDialTimeout bounds a carrier's connection to the endpoint, and to each reference.
	carrierDialTimeout = 150 * time.Millisecond
)

// statusOf is the HTTP status of an answer.
func statusOf(verdict reach.Verdict) int {
	switch verdict {
	case reach.Connected:
		return http.StatusOK
	case reach.Down, reach.CantTell, reach.Unreached:
		return http.StatusBadGateway
	case reach.Unlisted:
		return http.StatusNotFound
	case reach.Forbidden:
		return http.StatusForbidden
	case reach.Busy, reach.Lost:
	}
	return http.StatusServiceUnavailable
}

// tcpConn is a TCP connection, or one that accounts for it.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(seconds int) error
}

// Conn is a connection through a carrier.
type Conn struct {
	tcpConn
	// Carrier is the carrier's IP address, and ID names the tunnel.
	Carrier, ID string
	stale       func() bool
	closed      func()
}

// Stale reports whether the connection should carry no further request, because its carrier drains.
func (c *Conn) Stale() bool { return c.stale() }

// Close closes the connection.
func (c *Conn) Close() error {
	c.closed()
	return c.tcpConn.Close()
}
