package opaque

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Disturbance is what goes wrong with one response.
type Disturbance int

// Kinds of disturbances.
const (
	// Undisturbed responses are whole and come once.
	Undisturbed Disturbance = iota
	// BreakOff ends the connection within the response.
	BreakOff
	// Garble continues the response with bytes that violate HTTP and ends the connection.
	Garble
	// Repeat sends the response a second time, after its end, on the same connection.
	Repeat
	// TrailGarbage sends bytes that are no response after the end of the response.
	TrailGarbage
)

// Trouble describes the disturbance of one response.
type Trouble struct {
	Disturbance Disturbance
	// After is the number of bytes of the body that are sent before BreakOff or Garble; nothing is
	// sent, not even the header, if it is negative.
	After int
	// Reset ends the connection by a TCP reset instead of an orderly close.
	Reset bool
	// Unframed sends a stream that breaks off without chunks. An orderly close behind an event would
	// then look like the end of the stream, and is replaced by a reset.
	Unframed bool
	// RepeatBytes is the number of bytes at which Repeat breaks off the second response, or 0 if it is whole.
	RepeatBytes int
	// Garbage are the bytes that Garble and TrailGarbage send.
	Garbage []byte
	// Delay is the time after the end of the response at which Repeat and TrailGarbage send their
	// bytes, or earlier, when the next response on the connection begins.
	Delay time.Duration
}

// troubledWriter ends the connection when the body reaches the length given in the trouble.
type troubledWriter struct {
	http.ResponseWriter
	trouble Trouble
	written int
	ended   bool
	// behindEvent is set if the bytes written so far end with a blank line.
	behindEvent bool
}

// Unwrap implements the interface that http.ResponseController expects.
func (w *troubledWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer. It returns io.ErrClosedPipe once the connection has ended.
func (w *troubledWriter) Write(p []byte) (int, error) {
	if w.ended {
		return 0, io.ErrClosedPipe
	}
	if w.trouble.Unframed && w.written == 0 {
		w.Header().Set("Transfer-Encoding", "identity") // The server then closes the connection at the end.
	}
	left := w.trouble.After - w.written
	if left >= len(p) {
		n, err := w.ResponseWriter.Write(p)
		w.written += n
		w.behindEvent = bytes.HasSuffix(p, []byte("\n\n"))
		return n, err
	}
	if left > 0 {
		w.behindEvent = bytes.HasSuffix(p[:left], []byte("\n\n"))
	}
	if left >= 0 {
		_, _ = w.ResponseWriter.Write(p[:left])
		_ = http.NewResponseController(w.ResponseWriter).Flush()
	}
	w.end()
	return 0, io.ErrClosedPipe
}

// end closes or resets the connection.
func (w *troubledWriter) end() {
	w.ended = true
	c, _, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if w.trouble.Disturbance == Garble {
		_, _ = c.Write(w.trouble.Garbage)
	}
	if late, ok := c.(*lateConn); ok && (w.trouble.Reset || w.trouble.Unframed && w.behindEvent) {
		late.reset()
	}
	_ = c.Close()
}

// lateConn is a connection that may send further bytes after the end of a response.
type lateConn struct {
	net.Conn

	mu sync.Mutex
	// responding is set from the first byte of a response to its end.
	responding bool
	// response holds the bytes of the response so far, once a repetition was requested.
	response []byte
	trouble  Trouble
	late     []byte
}

// lateConnKey is the context key of the connection of a request.
type lateConnKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, lateConnKey{}, c)
}

// disturbAfter makes the connection of the request send further bytes when the response has ended.
func disturbAfter(ctx context.Context, t Trouble) {
	if c, ok := ctx.Value(lateConnKey{}).(*lateConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.trouble = t
	}
}

// Write implements net.Conn.
func (c *lateConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.responding {
		c.responding, c.response = true, nil
		if err := c.sendLate(); err != nil {
			return 0, err
		}
	}
	if c.trouble.Disturbance == Repeat {
		c.response = append(c.response, p...)
	}
	return c.Conn.Write(p)
}

// responseEnded schedules the bytes that follow the response.
func (c *lateConn) responseEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding = false
	switch c.trouble.Disturbance {
	case Repeat:
		c.late = c.response
		if n := c.trouble.RepeatBytes; n > 0 {
			c.late = c.late[:min(n, len(c.late))]
		}
	case TrailGarbage:
		c.late = c.trouble.Garbage
	default:
		return
	}
	time.AfterFunc(c.trouble.Delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.responding {
			_ = c.sendLate() // The connection is closed already.
		}
	})
	c.trouble = Trouble{}
}

// sendLate sends the scheduled bytes; the caller holds mu.
func (c *lateConn) sendLate() error {
	late := c.late
	c.late = nil
	if len(late) == 0 {
		return nil
	}
	_, err := c.Conn.Write(late)
	return err
}

func (c *lateConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// lateListener accepts connections as lateConn.
type lateListener struct{ net.Listener }

// Accept implements net.Listener.
func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: c}, nil
}
