package memory

import (
	"io"
	"net/http"
	"sync"
)

// Parts, one in so many, of an account's bytes that a quota may have. What quotas hold beyond the account
// takes the place of released bytes, which are collected first then.
const (
	PlatformShare = 2
	PeersShare    = 4
	ReportsShare  = 4
)

const (
	// responseShare is the part, one in so many, of a quota's bytes that one response may have. While it is
	// read it takes up to one and a half times its size, and twice while it is decoded.
	responseShare = 3
	// growthFactor is what a body takes for each of its bytes while the buffer grows that it is read into.
	growthFactor = 2
)

// Quota bounds what the process holds together of the responses of servers that it depends on, such as the
// platform. It has its bytes whatever callers hold, as the process must learn of changes under load, too;
// they count in the account, so that callers get less meanwhile. It is safe for concurrent use. A nil quota
// has no limit.
type Quota struct {
	holder *Holder
	share  int64
	mu     sync.Mutex
	held   int64
}

// NewQuota returns a quota of one in share of the account's bytes; name is its remote side in refusals.
func (a *Account) NewQuota(name string, share int) *Quota {
	if a == nil {
		return nil
	}
	h := &Holder{account: a, class: Endpoints, remote: name, giveWay: func(*Holder, bool) {}}
	h.state.Store(int32(Running))
	return &Quota{holder: h, share: int64(share)}
}

// limit returns the bytes that the quota may have; 0 means no limit.
func (q *Quota) limit() int64 {
	if q == nil {
		return 0
	}
	return q.holder.account.limits().Bytes / q.share
}

// ResponseLimit returns how many bytes one response may have, which is most at the utmost.
func (q *Quota) ResponseLimit(most int) int {
	limit := q.limit()
	if limit == 0 {
		return most
	}
	return int(min(int64(most), limit/responseShare))
}

// Reserve adds bytes, and reports whether the quota has room for them.
func (q *Quota) Reserve(bytes int) bool {
	if q == nil {
		return true
	}
	limit := q.limit()
	q.mu.Lock()
	if limit > 0 && q.held+int64(bytes) > limit {
		q.mu.Unlock()
		return false
	}
	q.held += int64(bytes)
	q.mu.Unlock()
	q.holder.Hold(bytes)
	return true
}

// Release takes back bytes that Reserve added.
func (q *Quota) Release(bytes int) {
	if q == nil {
		return
	}
	q.mu.Lock()
	q.held -= int64(bytes)
	q.mu.Unlock()
	q.holder.Release(bytes)
}

// Moved implements Room.
func (q *Quota) Moved() {}

// Transport returns base with the bodies of responses held in the quota, from their first byte until they
// are closed. A body that finds no room ends with ErrNoRoom.
func (q *Quota) Transport(base http.RoundTripper) http.RoundTripper {
	return quotaTransport{base: base, quota: q}
}

type quotaTransport struct {
	base  http.RoundTripper
	quota *Quota
}

// RoundTrip implements http.RoundTripper.
func (t quotaTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err == nil {
		response.Body = &quotaBody{ReadCloser: response.Body, quota: t.quota}
	}
	return response, err
}

type quotaBody struct {
	io.ReadCloser
	quota *Quota
	// mu guards the fields below: a body may be closed while it is read.
	mu     sync.Mutex
	held   int
	closed bool
}

// Read implements io.Reader.
func (b *quotaBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == 0 || b.closed {
		return n, err
	}
	if !b.quota.Reserve(growthFactor * n) {
		return 0, ErrNoRoom
	}
	b.held += growthFactor * n
	return n, err
}

// Close implements io.Closer.
func (b *quotaBody) Close() error {
	b.mu.Lock()
	b.quota.Release(b.held)
	b.held, b.closed = 0, true
	b.mu.Unlock()
	return b.ReadCloser.Close()
}
