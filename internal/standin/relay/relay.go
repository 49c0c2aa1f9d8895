// Package relay is a TCP relay for tests. It sits between a client and a server and can
// block the bytes of one direction, or of both, without closing the connection, as a
// faulty switch does. It can also delay bytes and reset connections.
package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/testport"
)

// Direction is the set of directions that a cut blocks.
type Direction int

const (
	// None blocks nothing.
	None Direction = 0
	// Forward blocks the bytes that the client sends.
	Forward Direction = 1
	// Backward blocks the bytes that the server sends.
	Backward Direction = 2
	// Both blocks both directions.
	Both = Forward | Backward
)

// bufferBytes is the size of a read buffer.
const bufferBytes = 16 << 10

// maxListenAttempts and listenRetryDelay bound the time in which the relay listens again on its
// port, which an outgoing connection of another process may hold for a moment.
const maxListenAttempts, listenRetryDelay = 100, 10 * time.Millisecond

// Relay forwards connections to one target. It is safe for concurrent use.
type Relay struct {
	address string

	mu         sync.Mutex
	listener   net.Listener
	target     string
	cut        Direction
	cutChanged chan struct{}
	// delay is added to each read before its bytes are forwarded.
	delay time.Duration
	// refusals counts the calls of SetRefuse(true) that have not been undone; the listener is closed
	// meanwhile.
	refusals int
	// reserved holds the port meanwhile; nil if another process was faster.
	reserved *testport.Reservation
	conns    map[net.Conn]struct{}
	// clients are the open connections from clients, in the order in which they were opened.
	clients []net.Conn
	closed  bool
	// forwardedBytes counts both directions together.
	forwardedBytes int64
}

// New starts a relay that listens on a free loopback port and forwards to target.
func New(ctx context.Context, target string) (*Relay, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "the relay could not listen")
	}
	r := &Relay{target: target, listener: listener, cutChanged: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	r.address = listener.Addr().String()
	go r.accept(listener)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.address }

// Cut blocks the bytes of a direction from now on, on open connections too; it replaces an
// earlier cut. Blocked bytes are forwarded when the cut ends.
func (r *Relay) Cut(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = d
	close(r.cutChanged)
	r.cutChanged = make(chan struct{})
}

// Restore ends the cut.
func (r *Relay) Restore() { r.Cut(None) }

// SetDelay delays the bytes that are read from now on by d; zero ends the delay.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetRefuse sets whether new connections are refused, like those to a process that has exited. Calls
// nest: connections are refused until each call with true is undone by one with false.
func (r *Relay) SetRefuse(refuse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if refuse {
		r.refusals++
		if r.refusals == 1 {
			_ = r.listener.Close()
			r.reserved, _ = testport.Reserve(r.address) // Without it the port may be taken for a moment; see below.
		}
		return
	}
	r.refusals--
	if r.refusals > 0 || r.closed {
		return
	}
	for range maxListenAttempts {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", r.address)
		if err == nil {
			r.listener = listener
			r.releasePort()
			go r.accept(listener)
			return
		}
		time.Sleep(listenRetryDelay)
	}
	panic("the relay could not listen on " + r.address + " again")
}

func (r *Relay) releasePort() {
	if r.reserved != nil {
		r.reserved.Release()
		r.reserved = nil
	}
}

// SetTarget sets the address to which connections are forwarded that are opened from now on.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// ResetConnections resets the open connections, both to clients and to the server.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
}

// ChooseShare chooses a share of the connections from clients that are open now, spread evenly
// over the order in which they were opened. It returns their number and a function that resets
// them, so that connections opened after the choice are left alone.
func (r *Relay) ChooseShare(share float64) (count int, resetChosen func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var chosen []net.Conn
	due := 0.0
	for _, c := range r.clients {
		if due += share; due >= 1 {
			due--
			chosen = append(chosen, c)
		}
	}
	return len(chosen), func() {
		for _, c := range chosen {
			reset(c)
		}
	}
}

// reset closes a connection so that the peer sees a TCP reset instead of an orderly close.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// ForwardedBytes returns the bytes forwarded so far, both directions together.
func (r *Relay) ForwardedBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forwardedBytes
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	_ = r.listener.Close()
	r.releasePort()
	for c := range r.conns {
		_ = c.Close()
	}
	close(r.cutChanged)
}

func (r *Relay) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

// forward relays one client connection until either side ends. A reset is passed on as a reset.
func (r *Relay) forward(client net.Conn) {
	defer r.closeAndUntrack(client)
	if !r.track(client) {
		return
	}
	r.mu.Lock()
	r.clients = append(r.clients, client)
	target := r.target
	r.mu.Unlock()
	server, err := new(net.Dialer).Dial("tcp", target)
	if errors.Is(err, syscall.ECONNRESET) { // The server accepted the connection and reset it at once.
		reset(client)
	}
	if err != nil {
		return
	}
	defer r.closeAndUntrack(server)
	if !r.track(server) {
		return
	}
	ended := make(chan error, 2)
	go func() { ended <- r.copyBytes(client, server, Forward) }()
	go func() { ended <- r.copyBytes(server, client, Backward) }()
	if err := <-ended; errors.Is(err, syscall.ECONNRESET) {
		reset(client)
		reset(server)
	}
}

// track registers an open connection, and reports whether the relay is still open.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
	return !r.closed
}

func (r *Relay) closeAndUntrack(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	r.clients = slices.DeleteFunc(r.clients, func(client net.Conn) bool { return client == c })
}

// copyBytes copies until a connection ends, and returns the error that ended it.
func (r *Relay) copyBytes(from io.Reader, to io.Writer, d Direction) error {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return err
		}
		if !r.waitUntilUncut(d, n) {
			return net.ErrClosed
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return err
		}
	}
}

// waitUntilUncut blocks while d is cut, then counts the n bytes as forwarded and applies the
// delay. It reports whether the relay is still open.
func (r *Relay) waitUntilUncut(d Direction, n int) bool {
	for {
		r.mu.Lock()
		cut, cutChanged, closed, delay := r.cut&d != 0, r.cutChanged, r.closed, r.delay
		if !cut {
			r.forwardedBytes += int64(n)
		}
		r.mu.Unlock()
		if closed {
			return false
		}
		if !cut {
			time.Sleep(delay)
			return true
		}
		<-cutChanged
	}
}
