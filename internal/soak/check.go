package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// Bounds of the promises; they are those of the users' platform.
const (
	// contact is the calm that a gateway and its links need before a bound holds.
	contact = 4 * time.Second
	// applyWithin is the time in which an acknowledged configuration is in force.
	applyWithin = 3 * time.Second
	// drainWithin is the time in which a draining endpoint gets no more work.
	drainWithin = 3 * time.Second
	// lateBy is the time past its deadline at which a request has ended.
	lateBy = 500 * time.Millisecond
)

// Attempt is one request as a caller sees it.
type Attempt struct {
	ID      string
	Gateway int
	Kind    routetable.Kind
	// Repeatable requests may run more than once.
	Repeatable bool
	// Key is the API key that was sent.
	Key string
	// Sent and Ended are when it was sent and when its answer ended.
	Sent, Ended time.Time
	Deadline    time.Duration
	// Status is 0 if there was no answer.
	Status int
	// Whole is set if the answer ended as the protocol demands.
	Complete bool
	// Wrong says what is wrong with the content of a whole success, if anything.
	ContentError string
}

// Run is one request as an endpoint sees it.
type Run struct {
	ID       string
	Endpoint int
	// Workspace is the name that the gateway put for the key.
	Workspace string
	At        time.Time
}

// Span is a fault as it happened.
type Span struct {
	Fault
	Started, Ended time.Time
}

// Change is a configuration that the platform acknowledged.
type Change struct {
	At time.Time
	// Added and Revoked are API keys; Endpoint is the number of one that drains, or -1.
	Added, Revoked string
	Endpoint       int
	// Back is when the endpoint was put back into service.
	RestoredAt time.Time
}

// History collects what callers and endpoints saw. It is safe for concurrent use.
type History struct {
	// SteadyKey is allowed in every configuration; Workspace is its name.
	SteadyKey, Workspace string

	mu       sync.Mutex
	attempts []Attempt
	runs     []Run
	spans    []Span
	changes  []Change
	stalls   []Span
}

// Attempt notes a caller's request.
func (h *History) RecordAttempt(a Attempt) { note(h, &h.attempts, a) }

// Run notes a request that an endpoint began to run.
func (h *History) RecordRun(r Run) { note(h, &h.runs, r) }

// Span notes a fault.
func (h *History) RecordSpan(s Span) { note(h, &h.spans, s) }

// Change notes a configuration.
func (h *History) RecordChange(c Change) { note(h, &h.changes, c) }

// Stall notes a time in which the machine that runs the soak did not run the callers.
func (h *History) RecordStall(from, to time.Time) { note(h, &h.stalls, Span{Started: from, Ended: to}) }

func note[T any](h *History, list *[]T, item T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, item)
}

// Counts returns the number of requests sent, and of those with a whole success.
func (h *History) Counts() (sent, served int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.attempts {
		if a.Status == 200 && a.Complete {
			served++
		}
	}
	return len(h.attempts), served
}

// Violations returns the promises that were broken, each with the request that shows it.
func (h *History) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []string
	runs := make(map[string][]Run, len(h.runs))
	for _, r := range h.runs {
		runs[r.ID] = append(runs[r.ID], r)
	}
	sent := make(map[string]Attempt, len(h.attempts))
	for _, a := range h.attempts {
		sent[a.ID] = a
		for _, check := range []func(Attempt, []Run) string{
			h.once, h.refused, h.content, h.allowed, h.revoked, h.late, h.lost,
		} {
			if wrong := check(a, runs[a.ID]); wrong != "" {
				found = append(found, fmt.Sprintf("%s (%s, gateway %d, sent %s, status %d): %s",
					a.ID, a.Kind, a.Gateway, a.Sent.Format(clock), a.Status, wrong))
			}
		}
	}
	for _, r := range h.runs {
		if wrong := h.placed(r, sent); wrong != "" {
			found = append(found, fmt.Sprintf("%s at endpoint %d, %s: %s", r.ID, r.Endpoint, r.At.Format(clock), wrong))
		}
	}
	return found
}

// clock is the form of times in reports.
const clock = "15:04:05.000"

// once: what may not be repeated runs once at most.
func (h *History) once(a Attempt, runs []Run) string {
	if !a.Repeatable && len(runs) > 1 {
		return fmt.Sprintf("ran %d times", len(runs))
	}
	return ""
}

// refused: an answer that says "not run" is true, then and later.
func (h *History) refused(a Attempt, runs []Run) string {
	says := slices.Contains([]int{408, 421, 429, 503}, a.Status)
	if says && !a.Repeatable && len(runs) > 0 {
		return "said not to have run, and ran at " + runs[0].At.Format(clock)
	}
	return ""
}

// content: a whole success is that of this request.
func (h *History) content(a Attempt, _ []Run) string {
	if a.Status == 200 && a.Complete {
		return a.ContentError
	}
	return ""
}

// allowed: what every configuration allows is not denied.
func (h *History) allowed(a Attempt, _ []Run) string {
	if a.Key == h.SteadyKey && (a.Status == 401 || a.Status == 403 || a.Status == 404) {
		return "denied, though every configuration allows it"
	}
	return ""
}

// revoked: a change of keys is in force in time, at gateways in touch.
func (h *History) revoked(a Attempt, runs []Run) string {
	for _, c := range h.changes {
		if a.Sent.Before(c.At.Add(applyWithin)) || !h.inTouch(a) {
			continue
		}
		if a.Key == c.Revoked && len(runs) > 0 {
			return "ran with a key that was revoked at " + c.At.Format(clock)
		}
		if a.Key == c.Added && a.Status == 401 && !h.revokedBefore(a.Key, a.Ended) {
			return "denied, though its key was added at " + c.At.Format(clock)
		}
	}
	return ""
}

func (h *History) revokedBefore(key string, at time.Time) bool {
	return slices.ContainsFunc(h.changes, func(c Change) bool { return c.Revoked == key && c.At.Before(at) })
}

// late: a request ends by its deadline, at a gateway that runs.
func (h *History) late(a Attempt, _ []Run) string {
	over := a.Ended.Sub(a.Sent.Add(a.Deadline))
	if over <= lateBy || h.during(a.Sent.Add(-contact), a.Ended, func(s Span) bool { return s.strikes(a.Gateway) }) || h.stalled(a) {
		return ""
	}
	return fmt.Sprintf("ended %s past its deadline", over.Round(time.Millisecond))
}

// lost: planned work cuts no request that reached an endpoint.
func (h *History) lost(a Attempt, runs []Run) string {
	if len(runs) == 0 || (a.Status != 0 && a.Complete) || a.Ended.Sub(a.Sent) >= a.Deadline {
		return ""
	}
	unplanned := func(s Span) bool {
		return s.strikes(a.Gateway) && !s.Kind.Planned() || s.Kind.Target() == Endpoint && !s.Kind.Planned()
	}
	if h.during(a.Sent.Add(-contact), a.Ended, unplanned) || h.stalled(a) {
		return ""
	}
	return "cut off, with no fault but planned work"
}

// placed: endpoints run what callers sent, for the key's workspace, and not while they drain.
func (h *History) placed(r Run, sent map[string]Attempt) string {
	a, known := sent[r.ID]
	switch {
	case !known:
		return "ran what no caller sent"
	case r.Workspace != h.Workspace:
		return "ran for the workspace " + r.Workspace
	}
	for _, c := range h.changes {
		if c.Endpoint != r.Endpoint || c.Added != "" || r.At.Before(c.At.Add(drainWithin)) || r.At.After(c.RestoredAt) {
			continue
		}
		if a.Sent.After(c.At.Add(drainWithin)) && h.inTouch(a) {
			return "ran at an endpoint that drains since " + c.At.Format(clock)
		}
	}
	return ""
}

// inTouch reports whether neither the gateway nor the platform was disturbed lately.
func (h *History) inTouch(a Attempt) bool {
	disturbed := func(s Span) bool {
		return s.strikes(a.Gateway) || s.Kind.Target() == Platform && !s.Kind.Planned()
	}
	return !h.during(a.Sent.Add(-contact), a.Ended, disturbed) && !h.stalled(a)
}

// strikes reports whether the fault is one of that gateway's process.
func (s Span) strikes(gateway int) bool {
	return s.Kind.Target() == Gateway && s.Kind != ReloadGateway && s.Index == gateway
}

func (h *History) during(from, to time.Time, which func(Span) bool) bool {
	return slices.ContainsFunc(h.spans, func(s Span) bool {
		return s.Started.Before(to) && s.Ended.After(from) && which(s)
	})
}

func (h *History) stalled(a Attempt) bool {
	return slices.ContainsFunc(h.stalls, func(s Span) bool {
		return s.Started.Before(a.Ended) && s.Ended.After(a.Sent.Add(-contact))
	})
}
