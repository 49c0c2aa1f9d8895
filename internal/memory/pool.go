package memory

import "sync"

const (
	// poolShare is the part, one in so many, of an account's bytes that one pool may have.
	poolShare = 2
	// responseShare is the part, one in so many, of a pool's bytes that one response may have. While it is
	// read it takes up to one and a half times its size, and twice while it is decoded.
	responseShare = 3
)

// Pool bounds what the process holds together of the responses of servers that it depends on, such as the
// platform. It has its bytes whatever callers hold, as the process must learn of changes under load, too;
// they count in the account, so that callers get less meanwhile. It is safe for concurrent use. A nil pool
// has no limit.
type Pool struct {
	holder *Holder
	mu     sync.Mutex
	held   int64
}

// NewPool returns a pool of the account; name is its remote side in refusals.
func (a *Account) NewPool(name string) *Pool {
	if a == nil {
		return nil
	}
	h := &Holder{account: a, class: Endpoints, remote: name, giveWay: func(*Holder, bool) {}}
	h.state.Store(int32(Running))
	return &Pool{holder: h}
}

// limit returns the bytes that the pool may have; 0 means no limit.
func (p *Pool) limit() int64 {
	if p == nil {
		return 0
	}
	return p.holder.account.limits().Bytes / poolShare
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
