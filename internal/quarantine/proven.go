package quarantine

import "time"

// Load pattern: many callers send the same content, and endpoints crash for a reason of
// their own while it runs on them. Content that completed shortly before is probably not
// what crashes them: its block is tried again, one request at a time.

// Decision is what the register says of a request about to be sent.
type Decision struct {
	// Admitted means that the request may run.
	Admitted bool
	// Trial means that it runs to show whether its content still crashes endpoints.
	Probe bool
	// RetryAfter is the time until content that is not admitted may be tried again.
	RetryAfter time.Duration
}

// trial tries blocked content again that had completed before the block.
type trial struct {
	// due is when the next request may run.
	due time.Time
	// running means that one was let through and nothing is known of it.
	running bool
	failed  int
}

// crashed counts a crash against the trial if one of its requests runs. Requests from
// before the block break too, and say nothing new.
func (t *trial) crashed() {
	if t == nil || !t.running {
		return
	}
	t.running = false
	t.failed++
}

// open tells whether the trial goes on.
func (t *trial) open(most int) bool { return t != nil && t.failed < most }

// completions remembers, for between one and two spans, what completed lately. It holds
// limit digests of each span at most.
type completions struct {
	span          time.Duration
	limit         int
	begun         time.Time
	now, previous map[string]struct{}
}

func (c *completions) add(now time.Time, digest string) {
	if c.span <= 0 {
		return
	}
	c.turn(now)
	if len(c.now) >= c.limit {
		c.next(now)
	}
	c.now[digest] = struct{}{}
}

func (c *completions) has(now time.Time, digest string) bool {
	if c.span <= 0 {
		return false
	}
	c.turn(now)
	_, current := c.now[digest]
	_, before := c.previous[digest]
	return current || before
}

// turn begins a new span when the last one is over.
func (c *completions) turn(now time.Time) {
	age := now.Sub(c.begun)
	if c.now != nil && age < c.span {
		return
	}
	c.next(now)
	if age >= 2*c.span {
		clear(c.previous)
	}
}

func (c *completions) next(now time.Time) {
	c.now, c.previous, c.begun = make(map[string]struct{}), c.now, now
}
