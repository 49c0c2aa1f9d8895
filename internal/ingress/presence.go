package ingress

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// presenceInterval is the time between checks of each waiting caller.
const presenceInterval = 100 * time.Millisecond

// presence cancels a request when its caller's connection has ended. The HTTP
// server gives no such signal, so the socket is peeked at, without taking bytes.
type presence struct {
	mu      sync.Mutex
	callers map[syscall.RawConn]context.CancelFunc
}

func newPresence() *presence {
	return &presence{callers: map[syscall.RawConn]context.CancelFunc{}}
}

// Run checks the callers until ctx ends.
func (p *presence) Run(ctx context.Context) {
	ticker := time.NewTicker(presenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.check()
		}
	}
}

// Watch calls cancel when conn ends, until the returned function is called.
func (p *presence) Watch(conn net.Conn, cancel context.CancelFunc) (stop func()) {
	raw := rawConn(conn)
	if raw == nil {
		return func() {}
	}
	p.mu.Lock()
	p.callers[raw] = cancel
	p.mu.Unlock()
	return func() {
		p.mu.Lock()
		delete(p.callers, raw)
		p.mu.Unlock()
	}
}

func (p *presence) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for raw, cancel := range p.callers {
		if ended(raw) {
			delete(p.callers, raw)
			cancel()
		}
	}
}

func rawConn(conn net.Conn) syscall.RawConn {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// ended reports whether the peer has closed or reset the connection. Bytes of a
// pipelined request hide the end; such a caller counts as present.
func ended(raw syscall.RawConn) bool {
	var n int
	var peekErr error
	err := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return true
	}
	if errors.Is(peekErr, unix.EAGAIN) || errors.Is(peekErr, unix.EINTR) {
		return false
	}
	return peekErr != nil || n == 0
}
