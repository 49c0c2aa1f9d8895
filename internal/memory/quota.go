package memory

import (
	"io"
	"net/http"
	"sync"
)

// Parts, one in so many, of an account's bytes that a pool may have. What pools hold beyond the account
// takes the place of released bytes, which are collected first then.
const (
	PlatformShare = 2
	PeersShare    = 4
	ReportsShare  = 4
)

const (
	// responseShare is the part, one in so many, of a pool's bytes that one response may have. While it is
	// read it takes up to one and a half times its size, and twice while it is decoded.
	responseShare = 3
	// growthFactor is what a body takes for each of its bytes while the buffer grows that it is read into.
	growthFactor = 2
)

// Pool bounds what the process holds together of the responses of servers that it depends on, such as the
// platform. It has its bytes whatever callers hold, as the process must learn of changes under load, too;
// they count in the account, so that callers get less meanwhile. It is safe for concurrent use. A nil pool
// has no limit.
type Pool struct {
	holder *Holder
	share  int64
	mu     sync.Mutex
	held   int64
}

// NewPool returns a pool of one in share of the account's bytes; name is its remote side in refusals.
func (a *Account) NewPool(name string, share int) *Pool {
	if a == nil {
		return nil
	}
	h := &Holder{account: a, class: Endpoints, remote: name, giveWay: func(*Holder, bool) {}}
	h.state.Store(int32(Running))
	return &Pool{holder: h, share: int64(share)}
}

// limit returns the bytes that the pool may have; 0 means no limit.
func (p *Pool) limit() int64 {
	if p == nil {
		return 0
	}
	return p.holder.account.limits().Bytes / p.share
}

// ResponseLimit returns how many bytes one response may have, which is most at the utmost.
func (p *Pool) ResponseLimit(most int) int {
	limit := p.limit()
	if limit == 0 {
		return most
	}
	return int(min(int64(most), limit/responseShare))
}

// Reserve adds bytes, and reports whether the pool has room for them.
func (p *Pool) Reserve(bytes int) bool {
	if p == nil {
		return true
	}
	limit := p.limit()
	p.mu.Lock()
	if limit > 0 && p.held+int64(bytes) > limit {
		p.mu.Unlock()
		return false
	}
	p.held += int64(bytes)
	p.mu.Unlock()
	p.holder.Hold(bytes)
	return true
}

// Release takes back bytes that Reserve added.
func (p *Pool) Release(bytes int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	p.held -= int64(bytes)
	p.mu.Unlock()
	p.holder.Release(bytes)
}

// Moved implements Room.
func (p *Pool) Moved() {}

// Transport returns base with the bodies of responses held in the pool, from their first byte until they
// are closed. A body that finds no room ends with ErrNoRoom.
func (p *Pool) Transport(base http.RoundTripper) http.RoundTripper {
	return pooledTransport{base: base, pool: p}
}

type pooledTransport struct {
	base http.RoundTripper
	pool *Pool
}

// RoundTrip implements http.RoundTripper.
func (t pooledTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err == nil {
		response.Body = &pooledBody{ReadCloser: response.Body, pool: t.pool}
	}
	return response, err
}

type pooledBody struct {
	io.ReadCloser
	pool *Pool
	// mu guards the fields below: a body may be closed while it is read.
	mu     sync.Mutex
	held   int
	closed bool
}

// Read implements io.Reader.
func (b *pooledBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == 0 || b.closed {
		return n, err
	}
	if !b.pool.Reserve(growthFactor * n) {
		return 0, ErrNoRoom
	}
	b.held += growthFactor * n
	return n, err
}

// Close implements io.Closer.
func (b *pooledBody) Close() error {
	b.mu.Lock()
	b.pool.Release(b.held)
	b.held, b.closed = 0, true
	b.mu.Unlock()
	return b.ReadCloser.Close()
}
