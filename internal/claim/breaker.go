package claim

import (
	"sync"
	"time"
)

// breakerThreshold is how many consecutive failures make the log refuse new claims.
const breakerThreshold = 2

// breaker is a circuit breaker: it refuses new claims at once while the platform fails, and
// periodically lets one batch through to probe for recovery. Safe for concurrent use.
type breaker struct {
	mu        sync.Mutex
	failures  int
	openUntil time.Time
}

// open reports whether new claims are refused, and for how much longer.
func (b *breaker) open(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerThreshold || !now.Before(b.openUntil) {
		return 0, false
	}
	return b.openUntil.Sub(now), true
}

// attemptStarted notes the start of an attempt; while the platform fails, new claims are
// refused until it times out.
func (b *breaker) attemptStarted(now time.Time, timeout time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures >= breakerThreshold {
		b.openUntil = now.Add(timeout)
	}
}

// failed records a failure, after which new claims may be refused for the wait before the
// next attempt.
func (b *breaker) failed(now time.Time, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	b.openUntil = now.Add(wait)
}

func (b *breaker) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
}
