package httpio

import "net"

// NewConn returns a client connection over conn.
func NewConn(conn net.Conn) *Conn { return newConn(conn) }
