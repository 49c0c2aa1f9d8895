// Package drain decides which requests a daemon still takes while it shuts down, so that it ends with
// no request half done. It performs no I/O and reads no clock.
package drain

import (
	"sync"
	"time"
)

const (
	// memory is how long a request's duration counts.
	memory = 10 * time.Minute
	// maxSamples is the number of the latest requests of a route whose durations are kept, and minSamples
	// that from which they say how long the next one takes.
	maxSamples, minSamples = 32, 3
	// maxLateShare is the share of a route's requests that may have taken longer than the time that is
	// left: a request is refused if it would more likely be ended than not. Callers try a few times only,
	// so that a refusal may cost a request, too.
	maxLateShare = 1.0 / 2
	// answerTime is the time to pass the answer on.
	answerTime = 100 * time.Millisecond
)

// Durations holds how long the requests of each route took lately. It is safe for concurrent use.
type Durations struct {
	mu       sync.Mutex
	routes   map[string]*samples
	prunedAt time.Time
}

// samples are the latest requests of a route.
type samples struct {
	// list is a ring once it is full, whose oldest entry is at next.
	list []sample
	next int
	last time.Time
}

type sample struct {
	at   time.Time
	took time.Duration
}

// NewDurations returns an empty record.
func NewDurations(now time.Time) *Durations {
	return &Durations{routes: make(map[string]*samples), prunedAt: now}
}

// Record records that a request of a route took d from its arrival to the end of its response.
func (d *Durations) Record(now time.Time, route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prune(now)
	s := d.routes[route]
	if s == nil {
		s = &samples{}
		d.routes[route] = s
	}
	s.last = now
	if len(s.list) < maxSamples {
		s.list = append(s.list, sample{now, took})
		return
	}
	s.list[s.next] = sample{now, took}
	s.next = (s.next + 1) % maxSamples
}

// LateShare returns the share of a route's latest requests that took longer than left, or false if too
// few have ended lately.
func (d *Durations) LateShare(now time.Time, route string, left time.Duration) (share float64, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.routes[route]
	if s == nil {
		return 0, false
	}
	n, late := 0, 0
	for _, x := range s.list {
		if now.Sub(x.at) > memory {
			continue
		}
		n++
		if x.took+answerTime > left {
			late++
		}
	}
	return float64(late) / float64(max(1, n)), n >= minSamples
}

// prune forgets the routes that have had no requests for memory; d.mu is held.
func (d *Durations) prune(now time.Time) {
	if now.Sub(d.prunedAt) < memory {
		return
	}
	d.prunedAt = now
	for route, s := range d.routes {
		if now.Sub(s.last) > memory {
			delete(d.routes, route)
		}
	}
}

// Stop is the planned end of a daemon that drains.
type Stop struct {
	// At is when requests that are still in progress are ended.
	At time.Time
	// Alone is set if no other daemon serves.
	Alone bool
}

// Candidate is a request that a daemon which drains may take.
type Candidate struct {
	Route    string
	Deadline time.Time
	// Repeatable is set if another daemon may send it once more.
	Repeatable bool
}

// Takes reports whether a daemon that drains takes a request. A caller that is refused at once is mostly
// served by another daemon some milliseconds later; one whose request is ended may have lost it.
func (s Stop) Takes(now time.Time, r Candidate, durations *Durations) bool {
	if !r.Deadline.After(s.At) {
		return true // It ends before, if only as timed out.
	}
	if share, known := durations.LateShare(now, r.Route, s.At.Sub(now)); known {
		return share <= maxLateShare
	}
	return s.Alone || r.Repeatable
}
