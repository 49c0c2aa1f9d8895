package scheduling

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// overloaded returns a refusal that says when to come back.
func (p *Pool) overloaded(now time.Time, it *item, message string) *failure.Failure {
	return failure.New(failure.Overloaded, message).WithRetryAfter(p.retryAfter(now, it))
}

func (p *Pool) noEndpoint() *failure.Failure {
	return failure.New(failure.NoEndpoint, "no endpoint of the service takes work").
		WithRetryAfter(p.jitter(p.cfg.MinRetryAfter.Seconds()))
}

// retryAfter is the time in which the class's queue and its recent refusals drain.
func (p *Pool) retryAfter(now time.Time, it *item) time.Duration {
	rate := p.drainRate()
	if rate <= 0 {
		return p.jitter(p.cfg.MinRetryAfter.Seconds())
	}
	c := it.class
	own := max(p.orderRate(now, c, rate), c.floor*p.floorScale(now)*rate)
	if own <= 0 {
		return p.jitter(p.cfg.MaxRetryAfter.Seconds())
	}
	c.refusals.advance(now, p.cfg.DrainWindow)
	return p.jitter((float64(c.waiting) + p.aheadOf(it) + c.refusals.count) / own)
}

// jitter clamps a wait, in seconds, and spreads it upwards.
func (p *Pool) jitter(wait float64) time.Duration {
	low, high := p.cfg.MinRetryAfter.Seconds(), p.cfg.MaxRetryAfter.Seconds()
	wait = min(max(wait, low), high)
	if p.cfg.Rand != nil {
		wait *= 1 + p.cfg.RetryJitter*p.cfg.Rand.Float64()
	}
	return seconds(min(wait, high))
}
