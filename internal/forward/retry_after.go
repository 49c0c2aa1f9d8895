package forward

import (
	"math/rand/v2"
	"time"
)

// Load pattern: every request is refused for some time, because no configuration was
// received yet or every endpoint is full. Callers retry once or twice, so a retry that comes
// too early is wasted, and simultaneous retries form a new burst.

const (
	// minRetryAfter is the shortest delay: the first list from the platform arrives sooner.
	minRetryAfter = 300 * time.Millisecond
	// maxRetryAfterShare bounds the delay as a share of the caller's remaining time; callers
	// don't follow a longer one.
	maxRetryAfterShare = 0.3
	// longOutageAfter is the age from which an outage is expected to last for seconds: the
	// first list from the platform has then failed once, and callers that retry only once
	// succeed most often with a late retry.
	longOutageAfter = 400 * time.Millisecond
	// retryAfterJitter is the share of the delay over which retries are spread.
	retryAfterJitter = 0.3
)

// retryAfter returns the retry delay for a caller refused for lack of capacity, given the
// predicted wait above the limit: the backlog takes about that long to drain. random is
// uniform in [0, 1).
func retryAfter(backlog, remaining time.Duration, random float64) time.Duration {
	delay := max(minRetryAfter, backlog)
	delay = time.Duration(float64(delay) * (1 + retryAfterJitter*random))
	return min(delay, maxRetryAfter(remaining))
}

// retryAfterOutage returns the retry delay for a caller refused because no request can be
// served: short at first, and close to the longest delay that callers follow once the outage
// has lasted for longOutageAfter.
func retryAfterOutage(duration, remaining time.Duration, random float64) time.Duration {
	if duration < longOutageAfter {
		return retryAfter(0, remaining, random)
	}
	longest := maxRetryAfter(remaining)
	return longest - time.Duration(retryAfterJitter*random*float64(longest))
}

// maxRetryAfter returns the longest delay for a caller with this remaining time.
func maxRetryAfter(remaining time.Duration) time.Duration {
	return time.Duration(maxRetryAfterShare * float64(remaining))
}

// outage tracks since when requests have been refused for one cause. It is guarded by
// Forwarder.mu.
type outage struct {
	start, lastRefusal time.Time
}

// outageGap is the time without a refusal after which the next one starts a new outage.
const outageGap = 2 * time.Second

// recordRefusal records a refusal at now and returns how long the outage has lasted.
func (o *outage) recordRefusal(now time.Time) time.Duration {
	if o.lastRefusal.IsZero() {
		if o.start.IsZero() {
			o.start = now
		}
	} else if now.Sub(o.lastRefusal) > outageGap {
		o.start = now
	}
	o.lastRefusal = now
	return now.Sub(o.start)
}

// outageRetryAfter records a refusal of this request and returns its Retry-After.
func (j *job) outageRetryAfter(o *outage) time.Duration {
	now := time.Now()
	j.f.mu.Lock()
	duration := o.recordRefusal(now)
	j.f.mu.Unlock()
	remaining := j.deadline.Sub(now)
	if j.deadline.IsZero() {
		remaining = j.callerTimeout() - now.Sub(j.request.Arrived)
	}
	return retryAfterOutage(duration, max(remaining, 0), rand.Float64())
}
