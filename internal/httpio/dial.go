package httpio

import (
	"bufio"
	"context"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect within about three seconds
	// an endpoint that stopped responding without closing the connection.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout closes a connection whose sent bytes stay unacknowledged for this long.
	userTimeout = 1500 * time.Millisecond
	// readBufferBytes is the read buffer's size: room for a response header and the first events
	// after it.
	readBufferBytes = 8 << 10
	// idleMargin is how long before the endpoint's keep-alive timeout an idle connection is
	// discarded, so that no request is sent while the endpoint closes it.
	idleMargin = 400 * time.Millisecond
	// defaultIdleTimeout applies to an idle connection if the endpoint states no keep-alive
	// timeout.
	defaultIdleTimeout = 20 * time.Second
	// maxIdleTimeout limits the keep-alive timeout that an endpoint may state: bytes that
	// arrive on an idle connection stay in the socket's buffer as long as it is kept.
	maxIdleTimeout = 2 * time.Minute
	// maxIdlePerEndpoint limits the idle connections kept for one address.
	maxIdlePerEndpoint = 32
	// maxRequestsPerConn is the number of requests after which a connection is closed. It
	// remembers all their ids, in about as much memory as its read buffer takes.
	maxRequestsPerConn = 1024
)

// Conn is a client connection to an endpoint. It carries one request at a time.
type Conn struct {
	net.Conn
	reader      *bufio.Reader
	idleSince   time.Time
	idleTimeout time.Duration
	// sentIDs holds the hashes of all request ids sent; the endpoint may still send a
	// duplicate response to one of them.
	sentIDs []uint64
}

// idHashSeed is the seed of the hashes in sentIDs.
var idHashSeed = maphash.MakeSeed()

func newConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, idleTimeout: defaultIdleTimeout}
	c.reader = bufio.NewReaderSize(conn, readBufferBytes)
	return c
}

// recordSentID records that a request with this id is sent on the connection.
func (c *Conn) recordSentID(id string) {
	c.sentIDs = append(c.sentIDs, maphash.String(idHashSeed, id))
}

// Uses returns the number of requests sent on the connection.
func (c *Conn) Uses() int { return len(c.sentIDs) }

// Dialer opens connections to endpoints and pools idle ones by address. It is safe for
// concurrent use.
type Dialer struct {
	dial DialFunc
	// crowded reports whether descriptors are too few to keep idle connections; nil means never.
	crowded func() bool
	mu      sync.Mutex
	idle    map[string][]*Conn
}

// DialFunc opens a connection to an endpoint for the request with this id, or for none if the id
// is empty.
type DialFunc func(ctx context.Context, address, id string) (net.Conn, error)

// Control sets options of a socket before it is connected, as net.Dialer.Control.
type Control = func(network, address string, raw syscall.RawConn) error

// NewDialer returns a dialer with an empty pool that opens TCP connections.
func NewDialer() *Dialer {
	dial := DialTCP(nil)
	return NewDialerWith(func(ctx context.Context, address, _ string) (net.Conn, error) { return dial(ctx, address) })
}

// DialTCP returns a function that opens TCP connections from a local address, or from any if it is
// nil. A connection to a host that has vanished breaks after userTimeout. controls set further options of
// the socket.
func DialTCP(local net.IP, controls ...Control) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(network, address string, raw syscall.RawConn) error {
			for _, control := range append([]Control{setUserTimeout}, controls...) {
				if err := control(network, address, raw); err != nil {
					return err
				}
			}
			return nil
		},
	}
	if local != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	dialer.SetMultipathTCP(false)
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	}
}

// NewDialerWith returns a dialer with an empty pool that opens connections with dial.
func NewDialerWith(dial DialFunc) *Dialer {
	return &Dialer{dial: dial, idle: make(map[string][]*Conn)}
}

// KeepNoneWhile makes the dialer keep no idle connection while crowded returns true. It must be called
// before the dialer is used.
func (d *Dialer) KeepNoneWhile(crowded func() bool) { d.crowded = crowded }

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Get returns an idle connection to address, or dials a new one within timeout. It checks
// that an idle connection is still open, and skips those on which a request with the same
// id was sent before: a duplicate response to that request would be taken for the response
// to the new one.
func (d *Dialer) Get(ctx context.Context, address, id string, timeout time.Duration) (*Conn, error) {
	for {
		c := d.takeIdle(address, id)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < c.idleTimeout && c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
	return d.Dial(ctx, address, id, timeout)
}

// Dial opens a new connection within timeout for the request with this id.
func (d *Dialer) Dial(ctx context.Context, address, id string, timeout time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := d.dial(ctx, address, id)
	if err != nil {
		return nil, err
	}
	return newConn(conn), nil
}

// takeIdle removes and returns the most recently used idle connection on which id was not
// sent before, or nil.
func (d *Dialer) takeIdle(address, id string) *Conn {
	hash := maphash.String(idHashSeed, id)
	d.mu.Lock()
	defer d.mu.Unlock()
	conns := d.idle[address]
	_, i, found := lo.FindLastIndexOf(conns, func(c *Conn) bool { return !slices.Contains(c.sentIDs, hash) })
	if !found {
		return nil
	}
	c := conns[i]
	d.idle[address] = slices.Delete(conns, i, i+1)
	return c
}

// Put returns a connection to the pool after a clean exchange. It closes the connection
// if the address already has maxIdlePerEndpoint idle ones.
func (d *Dialer) Put(address string, c *Conn) {
	c.idleSince = time.Now()
	_ = c.SetDeadline(time.Time{})
	if d.crowded != nil && d.crowded() {
		_ = c.Close()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle[address]) >= maxIdlePerEndpoint {
		_ = c.Close()
		return
	}
	d.idle[address] = append(d.idle[address], c)
}

// Adopt adds an open connection that has carried no request to the pool.
func (d *Dialer) Adopt(address string, conn net.Conn) { d.Put(address, newConn(conn)) }

// CloseIdle closes the idle connections to an address.
func (d *Dialer) CloseIdle(address string) {
	d.mu.Lock()
	conns := d.idle[address]
	delete(d.idle, address)
	d.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// CloseExpired closes the connections that are stale or have been idle for longer than their timeout.
func (d *Dialer) CloseExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, conns := range d.idle {
		kept := conns[:0]
		for _, c := range conns {
			if time.Since(c.idleSince) < c.idleTimeout && !c.stale() {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(d.idle, address)
			continue
		}
		d.idle[address] = kept
	}
}

// stale reports whether the connection says of itself that it should carry no further request.
func (c *Conn) stale() bool {
	s, ok := c.Conn.(interface{ Stale() bool })
	return ok && s.Stale()
}

// reusable reports whether the connection is open and has no unread bytes. Bytes received
// between two exchanges belong to no request.
func (c *Conn) reusable() bool {
	if c.reader.Buffered() > 0 || c.stale() {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, readErr := unix.Read(int(fd), probe[:])
		wouldBlock = readErr == unix.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}
