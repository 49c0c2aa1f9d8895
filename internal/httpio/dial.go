package httpio

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount find an endpoint that went
	// silent without closing within about three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout ends a connection whose sent bytes nobody acknowledges.
	userTimeout = 1500 * time.Millisecond
	// readBuffer holds the header of an answer and the events that came with it.
	readBuffer = 8 << 10
	// idleMargin is how long before the stated timeout an idle connection is given up:
	// a request would cross the endpoint's close.
	idleMargin = 400 * time.Millisecond
	// defaultIdle is how long a connection is kept if the endpoint states no timeout.
	defaultIdle = 20 * time.Second
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 32
	// carriedIDs is how many request ids a connection remembers. Callers repeat a request
	// soon, and a second answer comes soon after the first.
	carriedIDs = 8
)

// Conn is a connection to an endpoint. It carries one request at a time.
type Conn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	keepFor   time.Duration
	// carried are the last ids sent, of which an endpoint may yet send a second answer.
	carried [carriedIDs]string
	sends   int
}

// carry notes that a request of that id is sent.
func (c *Conn) carry(id string) {
	c.carried[c.sends%carriedIDs] = id
	c.sends++
}

// Dialer opens connections to endpoints and keeps idle ones. It is safe for concurrent use.
type Dialer struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn
}

// NewDialer returns a dialer without connections.
func NewDialer() *Dialer {
	d := &Dialer{idle: make(map[string][]*Conn)}
	d.dialer = net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	d.dialer.SetMultipathTCP(false)
	return d
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}

// Get returns an idle connection to address that is certainly open and has not carried a
// request of that id lately, or dials within timeout.
func (d *Dialer) Get(ctx context.Context, address, id string, timeout time.Duration) (*Conn, error) {
	for {
		c := d.pop(address, id)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < c.keepFor && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	return d.Dial(ctx, address, timeout)
}

// Dial opens a new connection within timeout.
func (d *Dialer) Dial(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := d.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), keepFor: defaultIdle}, nil
}

// pop takes the connection that was used last among those that have not carried id.
func (d *Dialer) pop(address, id string) *Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	conns := d.idle[address]
	_, i, found := lo.FindLastIndexOf(conns, func(c *Conn) bool { return !slices.Contains(c.carried[:], id) })
	if !found {
		return nil
	}
	c := conns[i]
	d.idle[address] = slices.Delete(conns, i, i+1)
	return c
}

// Put keeps a connection whose last exchange ended cleanly.
func (d *Dialer) Put(address string, c *Conn) {
	c.idleSince = time.Now()
	_ = c.SetDeadline(time.Time{})
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle[address]) >= maxIdlePerEndpoint {
		_ = c.Close()
		return
	}
	d.idle[address] = append(d.idle[address], c)
}

// Forget closes the idle connections to an address.
func (d *Dialer) CloseIdle(address string) {
	d.mu.Lock()
	conns := d.idle[address]
	delete(d.idle, address)
	d.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Sweep closes idle connections that have outlived their timeout.
func (d *Dialer) CloseExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, conns := range d.idle {
		kept := conns[:0]
		for _, c := range conns {
			if time.Since(c.idleSince) < c.keepFor {
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

// quiet reports that the connection is open and nothing waits on it. Bytes that came
// between two exchanges belong to no request.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := unix.Read(int(fd), one[:])
		quiet = readErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
