package claim

import (
	"sync"
	"time"
)

// breakerThreshold is how many failures in a row make the log refuse new claims.
const breakerThreshold = 2

// breaker refuses new claims at once while the platform fails, and lets one batch
// through now and then to see whether it has recovered. Safe for concurrent use.
type breaker struct {
	mu       sync.Mutex
	failures int
	until    time.Time
}

// refuse returns when to come back, if a new claim is to be refused.
func (b *breaker) refuse(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerThreshold || !now.Before(b.until) {
		return 0, false
	}
	return b.until.Sub(now), true
}

// begin marks an attempt; while the platform fails, no claim joins it for so long.
func (b *breaker) begin(now time.Time, limit time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures >= breakerThreshold {
		b.until = now.Add(limit)
	}
}

// failed records a failure that is followed by a wait.
func (b *breaker) failed(now time.Time, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	b.until = now.Add(wait)
}

func (b *breaker) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
}
