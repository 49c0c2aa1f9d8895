// Package drain decides which requests a daemon still takes while it shuts down, so that it ends with
// no request half done. It performs no I/O and reads no clock.
package drain

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
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
	// maxRunning is the number of a route's oldest requests in progress that count. Requests that began together
	// mostly depend on the same cause, so that more of them tell little more.
	maxRunning = 3
	// runningFactor is how many times the time that the requests in progress have taken must exceed the time that is left,
	// if none of the route has ended, for the next one to be likely late. With a constant rate of ending and its Jeffreys prior, a
	// request takes longer than left with a probability of sqrt(ran / (ran + left)), which is above
	// maxLateShare from ran = left / 3 on.
	runningFactor = 3
)

// Durations holds how long the requests of each route took lately. It is safe for concurrent use.
type Durations struct {
	mu       sync.Mutex
	routes   map[string]*samples
	prunedAt time.Time
	// running holds when the requests in progress of each route began, by a number of their own.
	running map[string]map[int64]time.Time
	lastRun int64
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
	return &Durations{routes: make(map[string]*samples), prunedAt: now, running: make(map[string]map[int64]time.Time)}
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

// Begin records that a request of a route is in progress until the returned function is called.
func (d *Durations) Begin(now time.Time, route string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRun++
	run := d.lastRun
	if d.running[route] == nil {
		d.running[route] = make(map[int64]time.Time)
	}
	d.running[route][run] = now
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.running[route], run)
		if len(d.running[route]) == 0 {
			delete(d.running, route)
		}
	}
}

// likelyLate reports whether the little that is known of a route says that its next request takes longer than left: all that have
// ended took longer, or none has ended and those in progress have taken long.
func (d *Durations) likelyLate(now time.Time, route string, left time.Duration) bool {
	if share, ended := d.lateShare(now, route, left); ended > 0 {
		return share == 1
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ages := lo.MapToSlice(d.running[route], func(_ int64, began time.Time) time.Duration { return now.Sub(began) })
	slices.SortFunc(ages, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return runningFactor*lo.Sum(ages[:min(len(ages), maxRunning)]) > left
}

// LateShare returns the share of a route's latest requests that took longer than left, or false if too
// few have ended lately.
func (d *Durations) LateShare(now time.Time, route string, left time.Duration) (share float64, known bool) {
	share, ended := d.lateShare(now, route, left)
	return share, ended >= minSamples
}

// lateShare returns the share, and of how many requests that have ended lately.
func (d *Durations) lateShare(now time.Time, route string, left time.Duration) (share float64, ended int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.routes[route]
	if s == nil {
		return 0, 0
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
	return float64(late) / float64(max(1, n)), n
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
	left := s.At.Sub(now)
	if share, known := durations.LateShare(now, r.Route, left); known {
		return share <= maxLateShare
	}
	return (s.Alone || r.Repeatable) && !durations.likelyLate(now, r.Route, left)
}
