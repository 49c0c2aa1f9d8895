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

// disconnectCheckInterval is the interval at which each waiting caller's connection is checked.
const disconnectCheckInterval = 100 * time.Millisecond

// disconnectWatcher cancels a request when its caller has disconnected. The HTTP server
// does not report this, so the watcher peeks at the socket without consuming bytes.
type disconnectWatcher struct {
	mu      sync.Mutex
	watched map[syscall.RawConn]context.CancelFunc
}

func newDisconnectWatcher() *disconnectWatcher {
	return &disconnectWatcher{watched: map[syscall.RawConn]context.CancelFunc{}}
}

// Run checks the watched connections until ctx ends.
func (w *disconnectWatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(disconnectCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.check()
		}
	}
}

// Watch calls cancel when the peer of conn disconnects, unless stop is called first.
func (w *disconnectWatcher) Watch(conn net.Conn, cancel context.CancelFunc) (stop func()) {
	raw := rawConn(conn)
	if raw == nil {
		return func() {}
	}
	w.mu.Lock()
	w.watched[raw] = cancel
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		delete(w.watched, raw)
		w.mu.Unlock()
	}
}

func (w *disconnectWatcher) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for raw, cancel := range w.watched {
		if disconnected(raw) {
			delete(w.watched, raw)
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

// disconnected reports whether the peer has closed or reset the connection. Unread bytes
// of a pipelined request hide the end; such a caller counts as connected.
func disconnected(raw syscall.RawConn) bool {
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
