package memory

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// AcceptPause is the time until a connection is accepted again after descriptors ran out.
const AcceptPause = 10 * time.Millisecond

// MaxHeaderBytes is the limit of a request header at the listeners for peers and operators, whose requests
// have few fields. The default of net/http suits a server with gigabytes of memory.
const MaxHeaderBytes = 16 << 10

// IsShortage reports whether err means that the process or the machine has no descriptor or memory for a
// connection at the moment, or that the connection ended before it was accepted. A listener goes on then.
func IsShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED)
}

// Listener accounts for the connections that it accepts. Connections without room are closed at once.
type Listener struct {
	net.Listener
	account *Account
	class   Class
	bytes   int64
}

// NewListener returns a listener of connections of a class, each of which takes so many bytes: the
// buffers and stacks of the server.
func NewListener(l net.Listener, a *Account, class Class, bytes int64) *Listener {
	return &Listener{Listener: l, account: a, class: class, bytes: bytes}
}

// Accept returns the next connection that there is room for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if IsShortage(err) {
			time.Sleep(AcceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		accounted := &Conn{Conn: conn}
		accounted.holder, err = l.account.Open(l.class, l.bytes, conn.RemoteAddr().String(), accounted.giveWay)
		if err == nil {
			return accounted, nil
		}
		_ = conn.Close()
	}
}

// Conn is a connection in an account.
type Conn struct {
	net.Conn
	holder *Holder
	// lingers is set by LingerAtClose.
	lingers atomic.Bool
}

// NewConn returns a connection that the process has opened.
func NewConn(conn net.Conn, a *Account, bytes int64) net.Conn {
	return &Conn{Conn: conn, holder: a.OpenOutbound(bytes, conn.RemoteAddr().String())}
}

// giveWay ends the connection. If there is time for an answer, a request that is being read ends with an
// error of the read, and the server answers.
func (c *Conn) giveWay(h *Holder, atOnce bool) {
	if atOnce || State(h.state.Load()) != Reading {
		_ = c.Conn.Close()
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.holder.Moved()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.holder.Moved()
	}
	return n, err
}

// Close implements net.Conn. It returns before the end of a connection that lingers.
func (c *Conn) Close() error {
	if c.lingers.Swap(false) {
		go func() {
			Linger(c.Conn, c.holder)
			_ = c.Close()
		}()
		return nil
	}
	err := c.Conn.Close()
	c.holder.Close()
	return err
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the writing side of a TCP connection.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// SetLinger sets how a TCP connection is closed.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Unwrap returns the Conn of an account below other layers such as TLS, or nil.
func Unwrap(conn net.Conn) *Conn {
	for conn != nil {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		below, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = below.NetConn()
	}
	return nil
}

// HolderOf returns the holder of a connection, or nil, which accounts for nothing.
func HolderOf(conn net.Conn) *Holder {
	if c := Unwrap(conn); c != nil {
		return c.holder
	}
	return nil
}

// OnState is the ConnState hook of a net/http server whose listener is a Listener. A request in progress
// doesn't give way; the server's own time limits end one that does not arrive.
func OnState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		HolderOf(conn).SetState(Idle)
	case http.StateActive, http.StateHijacked:
		HolderOf(conn).SetState(Running)
	case http.StateClosed:
	}
}

// OnFastState is the ConnState hook of a fasthttp server whose handlers set Running and Writing.
func OnFastState(conn net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateNew, fasthttp.StateIdle:
		HolderOf(conn).SetState(Idle)
	case fasthttp.StateActive:
		if c := Unwrap(conn); c != nil {
			c.lingers.Store(false)
			c.holder.SetState(Reading)
		}
	case fasthttp.StateHijacked, fasthttp.StateClosed:
	}
}
