// Package drain decides which requests a daemon still takes while it shuts down, so that it ends with
// no request half done. It performs no I/O and reads no clock.
package drain

import (
	"sync"
	"time"
)

const (
	// memory is how long a request's duration counts at least; it counts for at most twice as long.
	memory = 5 * time.Minute
	// minSamples is the number of requests of a route from which their longest duration is known. The
	// next one is longer than all n before it with a probability of 1/(n+1).
	minSamples = 10
	// headroom is the factor by which a request may take longer than the longest before it, and
	// answerTime the time to pass the answer on.
	headroom   = 1.25
	answerTime = 100 * time.Millisecond
)

// Durations holds how long the requests of each route took lately. It is safe for concurrent use.
type Durations struct {
	mu sync.Mutex
	// current and previous hold the longest duration by route, of the current period of memory and of
	// the one before.
	current, previous map[string]longest
	since             time.Time
}

type longest struct {
	duration time.Duration
	samples  int
}

// NewDurations returns an empty record.
func NewDurations(now time.Time) *Durations {
	return &Durations{current: make(map[string]longest), previous: make(map[string]longest), since: now}
}

// Record records that a request of a route took d from its arrival to the end of its response.
func (d *Durations) Record(now time.Time, route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	l := d.current[route]
	d.current[route] = longest{duration: max(l.duration, took), samples: l.samples + 1}
}

// Longest returns the longest duration of a route's requests, or false if too few have ended lately.
func (d *Durations) Longest(now time.Time, route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	current, previous := d.current[route], d.previous[route]
	return max(current.duration, previous.duration), current.samples+previous.samples >= minSamples
}

// advance begins a new period if the current one is over; d.mu is held.
func (d *Durations) advance(now time.Time) {
	switch elapsed := now.Sub(d.since); {
	case elapsed < memory:
		return
	case elapsed < 2*memory:
		d.previous = d.current
	default:
		d.previous = make(map[string]longest)
	}
	d.current, d.since = make(map[string]longest), now
}

// Stop is the planned end of a daemon that drains.
type Stop struct {
	// At is when requests that are still in progress are ended.
	At time.Time
	// Alone is set if no other daemon serves.
	Alone bool
}

// Takes reports whether a daemon that drains takes a request with this deadline. longest is the longest
// duration of the route's requests, if known. A caller that is refused at once is served by another
// daemon some milliseconds later; one whose request is ended may have lost it.
func (s Stop) Takes(now, deadline time.Time, longest time.Duration, known bool) bool {
	switch left := s.At.Sub(now); {
	case !deadline.After(s.At):
		return true // It ends before, if only as timed out.
	case known:
		return time.Duration(headroom*float64(longest))+answerTime <= left
	}
	return s.Alone
}
