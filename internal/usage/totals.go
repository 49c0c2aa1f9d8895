package usage

import (
	"sync"
	"time"
)

const (
	// maxAhead bounds how far in the future a window of a report may begin: clocks differ by less.
	maxAhead = 5 * time.Second
	// heardTTL is how long a process counts as running after a report. A process reports at least each 0.6 s.
	heardTTL = 3 * time.Second
	// catchUp is how long a gateway that has just begun to receive reports waits until it seals a window:
	// the others send it what it has missed within a second.
	catchUp = 2 * time.Second
	// askInterval is the least time between two messages that ask a process for missing counts.
	askInterval = 400 * time.Millisecond
)

// Process identifies a gateway process.
type Process struct {
	Node string
	// Incarnation differs between the processes of a VM.
	Incarnation int64
}

// Totals holds the counts of all gateway processes as this gateway knows them, and the final sums that
// it has heard of. It is safe for concurrent use.
type Totals struct {
	windows Windows

	mu sync.Mutex
	// listeningSince is when this gateway began to receive the reports of all others, or zero.
	listeningSince time.Time
	open           map[int64]map[Process]*processCounts
	heard          map[Process]heard
	sealed         map[int64]*sealedParts
	// changes counts the changes of counts, and late the requests that were counted after the sum of
	// their window was final.
	changes, late int64
}

// processCounts are the counts of one process in a window.
type processCounts struct {
	counts map[string]int64
	// sum is what the process says that its counts add up to.
	sum int64
}

// heard is when a process was last heard of, and up to when it has counted.
type heard struct {
	at, counted, asked time.Time
}

// sealedParts are the parts of a final sum that were received.
type sealedParts struct {
	counts     map[string]int64
	sum        int64
	workspaces int
}

func (s *sealedParts) complete() bool {
	return len(s.counts) == s.workspaces && sumOf(s.counts) == s.sum
}

// NewTotals returns totals without counts.
func NewTotals(windows Windows) *Totals {
	return &Totals{windows: windows, open: make(map[int64]map[Process]*processCounts), heard: make(map[Process]heard), sealed: make(map[int64]*sealedParts)}
}

// Listen records whether the other gateways send their reports to this one.
func (t *Totals) Listen(now time.Time, listening bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !listening:
		t.listeningSince = time.Time{}
	case t.listeningSince.IsZero():
		t.listeningSince = now
	}
}

// Apply merges a report of a process. Counts only grow, so the higher one of two is the later. It returns
// the windows whose counts the process is to be asked for again.
func (t *Totals) Apply(now time.Time, from Process, r Report) (missing []int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	h := t.heard[from]
	if r.Confirmed {
		h.at = now
		if counted := time.Unix(0, r.Clock); counted.After(h.counted) && counted.Before(now.Add(maxAhead)) {
			h.counted = counted
		}
	}
	for _, w := range r.Windows {
		t.merge(now, from, w)
	}
	for _, w := range r.Sealed {
		t.mergeSealed(now, w)
	}
	if !r.More && !t.listeningSince.IsZero() && now.Sub(h.asked) >= askInterval {
		if missing = t.missing(from, r.Windows); len(missing) > 0 {
			h.asked = now
		}
	}
	t.heard[from] = h
	return missing
}

// missing returns the windows of which counts of the process are missing and may still be needed.
func (t *Totals) missing(from Process, windows []WindowCounts) (missing []int64) {
	for _, w := range windows {
		p := t.open[w.Window][from]
		if _, sealed := t.sealedCounts(w.Window); p != nil && !sealed && sumOf(p.counts) < p.sum {
			missing = append(missing, w.Window)
		}
	}
	return missing
}

// usable reports whether a window of a message is well-formed and recent.
func (t *Totals) usable(now time.Time, w WindowCounts) bool {
	if len(w.Names) != len(w.Counts) || w.Sum < 0 || w.Sum > maxCount || w.Workspaces < 0 || w.Workspaces > maxWorkspaces {
		return false
	}
	for i, name := range w.Names {
		if name == "" || len(name) > MaxNameBytes || w.Counts[i] <= 0 || w.Counts[i] > maxCount {
			return false
		}
	}
	begin := t.windows.End(w.Window).Add(-t.windows.Length)
	return begin.Before(now.Add(maxAhead)) && !t.windows.due(w.Window).Before(now)
}

func (t *Totals) merge(now time.Time, from Process, w WindowCounts) {
	if !t.usable(now, w) {
		return
	}
	processes := t.open[w.Window]
	if processes == nil {
		processes = make(map[Process]*processCounts)
		t.open[w.Window] = processes
	}
	p := processes[from]
	if p == nil {
		p = &processCounts{counts: make(map[string]int64)}
		processes[from] = p
	}
	p.sum = max(p.sum, w.Sum)
	_, sealed := t.sealedCounts(w.Window)
	for i, name := range w.Names {
		known, exists := p.counts[name]
		if w.Counts[i] <= known || !exists && len(p.counts) >= maxWorkspaces {
			continue
		}
		p.counts[name] = w.Counts[i]
		t.changes++
		if sealed {
			t.late += w.Counts[i] - known
		}
	}
}

func (t *Totals) mergeSealed(now time.Time, w WindowCounts) {
	if !t.usable(now.Add(-t.windows.Due), w) {
		return
	}
	s := t.sealed[w.Window]
	if s == nil {
		s = &sealedParts{counts: make(map[string]int64), sum: w.Sum, workspaces: w.Workspaces}
		t.sealed[w.Window] = s
	}
	if s.complete() || s.sum != w.Sum || s.workspaces != w.Workspaces {
		return // The first one is the one that was stored.
	}
	for i, name := range w.Names {
		if _, known := s.counts[name]; !known && len(s.counts) < maxWorkspaces {
			s.counts[name] = w.Counts[i]
		}
	}
}

// expire drops windows whose report has been due, and sums of twice that age. Sums are kept for longer,
// as a report may be sent again.
func (t *Totals) expire(now time.Time) {
	for window := range t.open {
		if t.windows.due(window).Before(now) {
			delete(t.open, window)
		}
	}
	for window := range t.sealed {
		if t.windows.due(window).Add(t.windows.Due).Before(now) {
			delete(t.sealed, window)
		}
	}
	for process, h := range t.heard {
		if now.Sub(h.at) > t.windows.Due {
			delete(t.heard, process)
		}
	}
}

// Sums returns the sum of all known counts of a window.
func (t *Totals) Sums(window int64) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[string]int64)
	for _, p := range t.open[window] {
		for name, n := range p.counts {
			sums[name] += n
		}
	}
	return sums
}

// Complete reports whether the counts of a window are final: processes in at least the expected number
// run, and each of them has counted until the window has settled and its counts are all here. A process
// that was lost within the last seconds is waited for.
func (t *Totals) Complete(now time.Time, window int64, expected int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	settled, running := t.windows.settled(window), 0
	for process, h := range t.heard {
		p := t.open[window][process]
		if p != nil && sumOf(p.counts) < p.sum {
			return false
		}
		if now.Sub(h.at) > heardTTL {
			continue
		}
		if h.counted.Before(settled) {
			return false
		}
		running++
	}
	return running >= expected && t.caughtUp(now)
}

// CaughtUp reports whether this gateway has received reports for long enough to know all counts.
func (t *Totals) CaughtUp(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.caughtUp(now)
}

func (t *Totals) caughtUp(now time.Time) bool {
	return !t.listeningSince.IsZero() && now.Sub(t.listeningSince) >= catchUp
}

// Sealed returns the final sums that are known completely.
func (t *Totals) Sealed() map[int64]map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[int64]map[string]int64)
	for window := range t.sealed {
		if counts, ok := t.sealedCounts(window); ok {
			known[window] = counts
		}
	}
	return known
}

func (t *Totals) sealedCounts(window int64) (map[string]int64, bool) {
	s := t.sealed[window]
	if s == nil || !s.complete() {
		return nil, false
	}
	return s.counts, true
}

// Changes returns a number that grows whenever a count does.
func (t *Totals) Changes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// Late returns the number of requests that were counted too late for the sum of their window.
func (t *Totals) Late() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.late
}

func sumOf(counts map[string]int64) (sum int64) {
	for _, n := range counts {
		sum += n
	}
	return sum
}
