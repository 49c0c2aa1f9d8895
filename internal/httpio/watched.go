package httpio

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// WatchedConn is a connection on which an end that a read finds is orderly only if no write has failed.
// Linux reports a reset to one call alone: if that is a concurrent write, a read finds what looks like
// an orderly end, which completes a response without a length. After a failed write the end is
// io.ErrUnexpectedEOF.
type WatchedConn struct {
	net.Conn
	// mu is held during a write.
	mu     sync.Mutex
	failed bool
}

// Watch returns conn as a WatchedConn. All writes must go through it.
func Watch(conn net.Conn) *WatchedConn { return &WatchedConn{Conn: conn} }

// Write implements net.Conn.
func (c *WatchedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}

// Read implements net.Conn.
func (c *WatchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !c.intact() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// intact waits for the write in progress, for at most requestEndTimeout, and reports whether none has failed.
// A write that the end of the connection has met may hold the reset without having returned yet.
func (c *WatchedConn) intact() bool {
	_ = c.SetWriteDeadline(time.Now().Add(requestEndTimeout))
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failed
}
