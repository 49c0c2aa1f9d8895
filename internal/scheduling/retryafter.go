package scheduling

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// overloadedFailure returns an overload failure with a retry-after delay.
func (p *Pool) overloadedFailure(now time.Time, it *item, message string) *failure.Failure {
	return failure.New(failure.Overloaded, message).WithRetryAfter(p.retryAfter(now, it))
}

func (p *Pool) noEndpointFailure() *failure.Failure {
	return failure.New(failure.NoEndpoint, "no endpoint of the service takes work").
		WithRetryAfter(p.clampWithJitter(p.cfg.MinRetryAfter.Seconds()))
}

// retryAfter is the time in which the requests queued before the caller, and those
// recently refused, are expected to drain.
func (p *Pool) retryAfter(now time.Time, it *item) time.Duration {
	rate := p.drainRate()
	if rate <= 0 {
		return p.clampWithJitter(p.cfg.MinRetryAfter.Seconds())
	}
	c := it.class
	classRate := max(p.tierRate(now, c, rate), c.floor*p.floorScale(now)*rate)
	if classRate <= 0 {
		return p.clampWithJitter(p.cfg.MaxRetryAfter.Seconds())
	}
	c.refusals.advance(now, p.cfg.DrainWindow)
	return p.clampWithJitter((float64(c.waiting) + p.requestsAhead(it) + c.refusals.count) / classRate)
}

// clampWithJitter limits a delay, in seconds, to the configured range and adds jitter.
func (p *Pool) clampWithJitter(wait float64) time.Duration {
	low, high := p.cfg.MinRetryAfter.Seconds(), p.cfg.MaxRetryAfter.Seconds()
	wait = min(max(wait, low), high)
	if p.cfg.Rand != nil {
		wait *= 1 + p.cfg.RetryJitter*p.cfg.Rand.Float64()
	}
	return seconds(min(wait, high))
}
