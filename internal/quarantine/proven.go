package quarantine

import "time"

// Load pattern: many callers send the same content, and endpoints crash for unrelated
// reasons while it runs on them. Content that completed shortly before its block probably
// does not cause the crashes, so single requests run as probes to check the block.

// Decision is the result of Admit for a request that is about to be sent.
type Decision struct {
	// Admitted means that the request may run.
	Admitted bool
	// Probe means that the request tests whether its blocked content still crashes endpoints.
	Probe bool
	// RetryAfter is the time until a request that is not admitted may be sent again.
	RetryAfter time.Duration
}

// probe schedules the probes of blocked content that completed before its block.
type probe struct {
	// nextAt is when the next probe may run.
	nextAt time.Time
	// awaitingResult means that a probe was admitted and no crash has been recorded since.
	awaitingResult bool
	failures       int
}

// recordCrash counts a failed probe if one is running. A crash at any other time is that of
// a request sent before the block and tells nothing new.
func (p *probe) recordCrash() {
	if p == nil || !p.awaitingResult {
		return
	}
	p.awaitingResult = false
	p.failures++
}

// active reports whether further probes may run.
func (p *probe) active(maxFailures int) bool { return p != nil && p.failures < maxFailures }

// recentCompletions is the set of digests that completed recently. It keeps each for one to
// two windows, or for less once a window holds maxDigests.
type recentCompletions struct {
	window            time.Duration
	maxDigests        int
	windowStart       time.Time
	current, previous map[string]struct{}
}

func (c *recentCompletions) add(now time.Time, digest string) {
	if c.window <= 0 {
		return
	}
	c.rotateIfDue(now)
	if len(c.current) >= c.maxDigests {
		c.rotate(now)
	}
	c.current[digest] = struct{}{}
}

func (c *recentCompletions) has(now time.Time, digest string) bool {
	if c.window <= 0 {
		return false
	}
	c.rotateIfDue(now)
	_, inCurrent := c.current[digest]
	_, inPrevious := c.previous[digest]
	return inCurrent || inPrevious
}

// rotateIfDue starts a new window when the current one has ended.
func (c *recentCompletions) rotateIfDue(now time.Time) {
	age := now.Sub(c.windowStart)
	if c.current != nil && age < c.window {
		return
	}
	c.rotate(now)
	if age >= 2*c.window {
		clear(c.previous)
	}
}

func (c *recentCompletions) rotate(now time.Time) {
	c.current, c.previous, c.windowStart = make(map[string]struct{}), c.current, now
}
