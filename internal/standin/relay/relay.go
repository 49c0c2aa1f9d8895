// Package relay is a small TCP relay for tests. It stands between a client and a
// server and holds back the bytes of one direction, or of both, without closing
// the connection, as a broken switch does.
package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// Direction says which bytes are held back.
type Direction int

const (
	// None lets everything through.
	None Direction = 0
	// Forward holds back what the client sends.
	Forward Direction = 1
	// Backward holds back what the server sends.
	Backward Direction = 2
	// Both holds back everything.
	Both = Forward | Backward
)

// bufferBytes is the size of one read.
const bufferBytes = 16 << 10

// Relay forwards connections to one target. Methods may be called concurrently.
type Relay struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	cut     Direction
	changed chan struct{}
	// delay holds back each piece for some time, and refuses resets new connections.
	delay   time.Duration
	refuses bool
	conns   map[net.Conn]struct{}
	closed  bool
	// passed counts the bytes let through, both directions together.
	passed int64
}

// New listens on a free loopback port and forwards to target.
func New(ctx context.Context, target string) (*Relay, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "the relay could not listen")
	}
	r := &Relay{target: target, listener: listener, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut holds back the bytes of a direction from now on, on open connections too.
// What is held back is sent when the cut ends.
func (r *Relay) Cut(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = d
	close(r.changed)
	r.changed = make(chan struct{})
}

// Restore ends the cut.
func (r *Relay) Restore() { r.Cut(None) }

// Delay holds back what is read from now on for a time; zero ends that.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Refuse says whether new connections are reset, as those to a process that is gone.
func (r *Relay) SetRefuse(refuse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuses = refuse
}

// Reset resets the open connections, both to clients and to the server.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
}

// reset closes a connection so that the other side sees a reset instead of an end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Passed returns the bytes let through so far, both directions together.
func (r *Relay) Passed() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passed
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	close(r.changed)
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

func (r *Relay) forward(client net.Conn) {
	if r.refusing() {
		reset(client)
		return
	}
	defer r.drop(client)
	if !r.keep(client) {
		return
	}
	server, err := new(net.Dialer).Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.drop(server)
	if !r.keep(server) {
		return
	}
	ended := make(chan struct{}, 2)
	go r.pump(client, server, Forward, ended)
	go r.pump(server, client, Backward, ended)
	<-ended
}

func (r *Relay) refusing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refuses
}

func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
	return !r.closed
}

func (r *Relay) drop(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *Relay) pump(from io.Reader, to io.Writer, d Direction, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil || !r.wait(d, n) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// wait blocks while d is cut, and reports whether the relay is still open.
func (r *Relay) wait(d Direction, n int) bool {
	for {
		r.mu.Lock()
		cut, changed, closed, delay := r.cut&d != 0, r.changed, r.closed, r.delay
		if !cut {
			r.passed += int64(n)
		}
		r.mu.Unlock()
		if closed {
			return false
		}
		if !cut {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}
