package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// Limits that the checks enforce; they are the guarantees given to users of the platform.
const (
	// recoveryTime is the time without faults after which a gateway has to meet its limits again.
	recoveryTime = 4 * time.Second
	// maxApplyDelay is the time within which an acknowledged configuration takes effect.
	maxApplyDelay = 3 * time.Second
	// maxDrainDelay is the time within which a draining endpoint stops receiving requests.
	maxDrainDelay = 3 * time.Second
	// deadlineTolerance is how long after its deadline a request may still end.
	deadlineTolerance = 500 * time.Millisecond
)

// Attempt is one request as observed by its caller.
type Attempt struct {
	ID      string
	Gateway int
	Kind    routetable.Kind
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Key is the API key sent with the request.
	Key string
	// Sent and Ended are when the request was sent and when its response ended; Responded is when its
	// header came, which is that of a stream's first event, or zero.
	Sent, Responded, Ended time.Time
	Deadline               time.Duration
	// Resumes is the ID of the attempt that brought the first event of the stream that this
	// attempt resumes after the event numbered After; empty if it begins a stream.
	Resumes string
	After   int
	// Events is the number of whole events that the response brought, and Versions are the
	// versions of the endpoints that sent them.
	Events   int
	Versions []string
	// Part is the part of the prompt under which endpoints crash, or empty.
	Part string
	// Status is the HTTP status, 0 if there was no response, and RetryAfter the field of that name.
	Status     int
	RetryAfter string
	// Complete is set if the response ended as the protocol requires.
	Complete bool
	// ContentError describes an error in the content of a response with status 200, complete or not; empty if there is none.
	ContentError string
}

// Run is one execution of a request as observed by an endpoint.
type Run struct {
	ID       string
	Endpoint int
	// Workspace is the workspace name that the gateway sent in place of the API key.
	Workspace string
	At        time.Time
}

// Span is an injected fault with its actual start and end.
type Span struct {
	Fault
	Started, Ended time.Time
}

// Change is a configuration change that the platform acknowledged.
type Change struct {
	At time.Time
	// Added and Revoked are API keys; Endpoint is the index of an endpoint set to drain, or -1.
	Added, Revoked string
	Endpoint       int
	// RestoredAt is when the endpoint was returned to service.
	RestoredAt time.Time
}

// History records the observations of callers and endpoints. It is safe for concurrent use.
type History struct {
	// SteadyKey is an API key that every configuration allows; Workspace is the name of its workspace.
	SteadyKey, Workspace string
	// Versions are the versions of the endpoints' software, by index.
	Versions []string

	mu       sync.Mutex
	attempts []Attempt
	runs     []Run
	spans    []Span
	changes  []Change
	stalls   []Span
	arrivals []Arrival
	notices  []Notice
	crashes  []PartCrash
	falls    []Fall
}

// RecordAttempt records a caller's request.
func (h *History) RecordAttempt(a Attempt) { record(h, &h.attempts, a) }

// RecordRun records that an endpoint started to run a request.
func (h *History) RecordRun(r Run) { record(h, &h.runs, r) }

// RecordSpan records an injected fault.
func (h *History) RecordSpan(s Span) { record(h, &h.spans, s) }

// RecordChange records an acknowledged configuration change.
func (h *History) RecordChange(c Change) { record(h, &h.changes, c) }

// RecordStall records a period in which the test machine did not schedule the callers.
// Attempts that overlap it are exempt from the checks of deadlines, incomplete responses
// and configuration changes.
func (h *History) RecordStall(from, to time.Time) {
	record(h, &h.stalls, Span{Started: from, Ended: to})
}

func record[T any](h *History, list *[]T, item T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, item)
}

// Counts returns the number of requests sent and of those that completed with status 200.
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

// Refusals returns the number of responses with status 503, and of those among them that name no time
// to come back.
func (h *History) Refusals() (refused, timeless int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.attempts {
		if a.Status == http.StatusServiceUnavailable {
			refused++
			if seconds, err := strconv.ParseFloat(a.RetryAfter, 64); err != nil || seconds <= 0 {
				timeless++
			}
		}
	}
	return refused, timeless
}

// Violations checks all records and returns a description of each violated guarantee with
// the request concerned.
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
			h.checkRunsOnce, h.checkNotRun, h.checkContent, h.checkSteadyKey, h.checkKeyChange, h.checkDeadline, h.checkNotCutOff,
		} {
			if violation := check(a, runs[a.ID]); violation != "" {
				found = append(found, fmt.Sprintf("%s (%s, gateway %d, sent %s, status %d): %s",
					a.ID, a.Kind, a.Gateway, a.Sent.Format(timeFormat), a.Status, violation))
			}
		}
	}
	for _, r := range h.runs {
		if violation := h.checkEndpoint(r, sent); violation != "" {
			found = append(found, fmt.Sprintf("%s at endpoint %d, %s: %s", r.ID, r.Endpoint, r.At.Format(timeFormat), violation))
		}
	}
	return slices.Concat(found, h.mixedVersions(), h.lostStreams(), h.ignoredNotices(sent), h.deadlyParts(sent), h.lostBesideDeadlyParts(), h.exceededLimits(sent), h.fallenTooOften(sent))
}

// timeFormat is the format of times in descriptions of violations.
const timeFormat = "15:04:05.000"

// checkRunsOnce verifies that a request that isn't repeatable ran no more than one time.
func (h *History) checkRunsOnce(a Attempt, runs []Run) string {
	if !a.Repeatable && len(runs) > 1 {
		return fmt.Sprintf("ran %d times", len(runs))
	}
	return ""
}

// checkNotRun verifies that a request that isn't repeatable and got a status that means
// "not run" did not run, neither before the response nor after it.
func (h *History) checkNotRun(a Attempt, runs []Run) string {
	claimsNotRun := slices.Contains([]int{408, 421, 429, 503}, a.Status)
	if claimsNotRun && !a.Repeatable && len(runs) > 0 {
		return "said not to have run, and ran at " + runs[0].At.Format(timeFormat)
	}
	return ""
}

// checkContent verifies that each byte of a response with status 200 belongs to this request.
func (h *History) checkContent(a Attempt, _ []Run) string {
	if a.Status == 200 {
		return a.ContentError
	}
	return ""
}

// checkSteadyKey verifies that requests with the steady key are never denied.
func (h *History) checkSteadyKey(a Attempt, _ []Run) string {
	if a.Key == h.SteadyKey && (a.Status == 401 || a.Status == 403 || a.Status == 404) {
		return "denied, though every configuration allows it"
	}
	return ""
}

// checkKeyChange verifies that new keys are accepted and withdrawn keys denied within maxApplyDelay at
// gateways that no fault kept from receiving the change.
func (h *History) checkKeyChange(a Attempt, runs []Run) string {
	for _, c := range h.changes {
		if a.Sent.Before(c.At.Add(maxApplyDelay)) || !h.undisturbed(a) {
			continue
		}
		if a.Key == c.Revoked && len(runs) > 0 {
			return "ran with a key that was revoked at " + c.At.Format(timeFormat)
		}
		if a.Key == c.Added && a.Status == 401 && !h.revokedBefore(a.Key, a.Ended) {
			return "denied, though its key was added at " + c.At.Format(timeFormat)
		}
	}
	return ""
}

// revokedBefore reports whether a change had revoked the key by the given time.
func (h *History) revokedBefore(key string, at time.Time) bool {
	return slices.ContainsFunc(h.changes, func(c Change) bool { return c.Revoked == key && c.At.Before(at) })
}

// checkDeadline verifies that a request ends by its deadline unless a fault affected its
// gateway or the test machine stalled.
func (h *History) checkDeadline(a Attempt, _ []Run) string {
	overrun := a.Ended.Sub(a.Sent.Add(a.Deadline))
	if overrun <= deadlineTolerance || h.overlapsFault(a.Sent.Add(-recoveryTime), a.Ended, func(s Span) bool { return s.affectsGateway(a.Gateway) }) || h.overlapsStall(a) {
		return ""
	}
	return fmt.Sprintf("ended %s past its deadline", overrun.Round(time.Millisecond))
}

// checkNotCutOff verifies that a request that reached an endpoint gets a complete response
// before its deadline, unless a fault other than planned work affected its gateway or any
// endpoint, or the test machine stalled.
func (h *History) checkNotCutOff(a Attempt, runs []Run) string {
	if len(runs) == 0 || (a.Status != 0 && a.Complete) || a.Ended.Sub(a.Sent) >= a.Deadline {
		return ""
	}
	unplanned := func(s Span) bool {
		return s.affectsGateway(a.Gateway) && !s.Kind.Planned() && s.Kind != CrowdGateway || s.Kind.Target() == Endpoint && !s.Kind.Planned()
	}
	if h.overlapsFault(a.Sent.Add(-recoveryTime), a.Ended, unplanned) || h.overlapsStall(a) {
		return ""
	}
	return "cut off, with no fault but planned work"
}

// checkEndpoint verifies that an endpoint ran a request that a caller sent, for the
// workspace of its key, and not while the endpoint was draining.
func (h *History) checkEndpoint(r Run, sent map[string]Attempt) string {
	a, known := sent[r.ID]
	switch {
	case !known:
		return "ran what no caller sent"
	case r.Workspace != h.Workspace:
		return "ran for the workspace " + r.Workspace
	}
	for _, c := range h.changes {
		if c.Endpoint != r.Endpoint || c.Added != "" || r.At.Before(c.At.Add(maxDrainDelay)) || r.At.After(c.RestoredAt) {
			continue
		}
		if a.Sent.After(c.At.Add(maxDrainDelay)) && h.undisturbed(a) {
			return "ran at an endpoint that drains since " + c.At.Format(timeFormat)
		}
	}
	return ""
}

// undisturbed reports whether no fault of the gateway or the platform (planned work on
// the platform aside) and no stall overlapped the attempt or the recoveryTime before it.
func (h *History) undisturbed(a Attempt) bool {
	disturbed := func(s Span) bool {
		return s.affectsGateway(a.Gateway) || s.Kind.Target() == Platform && !s.Kind.Planned()
	}
	return !h.overlapsFault(a.Sent.Add(-recoveryTime), a.Ended, disturbed) && !h.overlapsStall(a)
}

// affectsGateway reports whether the fault hits the gateway: its process or its link to
// the platform. Reloading its settings doesn't count.
func (s Span) affectsGateway(gateway int) bool {
	return s.Kind.Target() == Gateway && s.Kind != ReloadGateway && s.Index == gateway
}

// overlapsFault reports whether a fault that the predicate accepts overlaps the period.
func (h *History) overlapsFault(from, to time.Time, matches func(Span) bool) bool {
	return slices.ContainsFunc(h.spans, func(s Span) bool {
		return s.Started.Before(to) && s.Ended.After(from) && matches(s)
	})
}

// overlapsStall reports whether the test machine paused during the attempt or the
// recoveryTime before it.
func (h *History) overlapsStall(a Attempt) bool {
	return slices.ContainsFunc(h.stalls, func(s Span) bool {
		return s.Started.Before(a.Ended) && s.Ended.After(a.Sent.Add(-recoveryTime))
	})
}
