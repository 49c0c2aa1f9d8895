package httpio

import (
	"bufio"
	"net"
)

// NewConn returns a client connection over conn.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), idleTimeout: defaultIdleTimeout}
}
