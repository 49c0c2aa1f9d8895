package memory

import (
	"net"
	"time"
)

const (
	// lingerQuiet is how long a connection stays open behind its last answer without a byte of the caller.
	lingerQuiet = 500 * time.Millisecond
	// lingerTimeout and lingerBytes bound how long, and how much, the caller may go on sending: a refusal
	// mostly comes while the body is on its way.
	lingerTimeout, lingerBytes = 2 * time.Second, 16 << 20
)

// Linger closes the writing side of a connection behind its last answer and discards what still arrives,
// until the caller closes the connection or a limit is reached. The connection is to be closed then. A close
// with bytes unread would reset it, and the caller could lose the answer. The connection counts as idle.
func Linger(conn net.Conn, h *Holder) {
	h.SetState(Idle)
	if halfCloser, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	end := time.Now().Add(lingerTimeout)
	buffer := make([]byte, 4<<10)
	for total := 0; total < lingerBytes; {
		now := time.Now()
		if now.After(end) || conn.SetReadDeadline(earlier(now.Add(lingerQuiet), end)) != nil {
			return
		}
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		total += n
		h.Moved()
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// LingerAtClose makes a later Close of a connection of an account linger, until the next request on it
// begins. It is called for an answer that may be sent before the request has been read.
func LingerAtClose(conn net.Conn) {
	if c := Unwrap(conn); c != nil {
		c.lingers.Store(true)
	}
}
