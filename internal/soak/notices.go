package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxLeavingDelay is the time within which a gateway stops sending requests of callers to an
	// endpoint that said in a response that it leaves.
	maxLeavingDelay = 2 * time.Second
	// maxQuietDelay is the time within which a gateway stops sending requests to an endpoint that
	// asked for none; maxQuietRequests may reach it later.
	maxQuietDelay, maxQuietRequests = 500 * time.Millisecond, 2
)

// Arrival is a request that reached the endpoint that it was addressed to.
type Arrival struct {
	ID string
	// Instance is the endpoint's ID, which no other process has had.
	Instance string
	At       time.Time
}

// Notice is a response to the request with this ID by which an endpoint asks the gateway to
// send it no requests.
type Notice struct {
	ID, Instance string
	// Endpoint is the index of the endpoint.
	Endpoint int
	At       time.Time
	// Leaving is set if the endpoint shuts down.
	Leaving bool
	// RetryAfter is the time for which the endpoint wants no requests, or 0.
	RetryAfter time.Duration
	// Limit is the number of requests a second that the endpoint names as its limit, or 0.
	Limit float64
}

// RecordArrival records a request that reached an endpoint.
func (h *History) RecordArrival(a Arrival) { record(h, &h.arrivals, a) }

// RecordNotice records a response that asks a gateway to stay away.
func (h *History) RecordNotice(n Notice) { record(h, &h.notices, n) }

// path is the way from a gateway to an instance of an endpoint.
type path struct {
	gateway  int
	instance string
}

// ignoredNotices verifies that gateways stay away from endpoints that ask for it.
func (h *History) ignoredNotices(sent map[string]Attempt) (found []string) {
	arrivals := map[path][]Arrival{}
	for _, r := range h.arrivals {
		if a, known := sent[r.ID]; known {
			p := path{a.Gateway, r.Instance}
			arrivals[p] = append(arrivals[p], r)
		}
	}
	reported := map[path]bool{}
	for _, n := range h.notices {
		a, known := sent[n.ID]
		p := path{a.Gateway, n.Instance}
		if !known || a.Status == 0 || reported[p] {
			continue
		}
		violation := h.ignoredLeaving(n, p, arrivals[p], sent)
		if violation == "" {
			violation = h.ignoredQuiet(n, p, arrivals[p])
		}
		if violation != "" {
			reported[p] = true
			found = append(found, violation)
		}
	}
	slices.Sort(found)
	return found
}

// ignoredLeaving verifies that no request that a caller sent later than maxLeavingDelay after the notice reached the endpoint.
func (h *History) ignoredLeaving(n Notice, p path, arrivals []Arrival, sent map[string]Attempt) string {
	if !n.Leaving || h.linkDisturbed(n, n.At.Add(maxLeavingDelay)) {
		return ""
	}
	for _, r := range arrivals {
		if sent[r.ID].Sent.After(n.At.Add(maxLeavingDelay)) && !h.restarted(p.gateway, n.At, r.At) {
			return fmt.Sprintf("%s, sent %s, reached %s through gateway %d, to which it had said at %s that it leaves (%s)",
				r.ID, sent[r.ID].Sent.Format(timeFormat), p.instance, p.gateway, n.At.Format(timeFormat), n.ID)
		}
	}
	return ""
}

// ignoredQuiet verifies that no more than maxQuietRequests reached the endpoint from maxQuietDelay after
// the notice to the end of the time that it gave, or of its process.
func (h *History) ignoredQuiet(n Notice, p path, arrivals []Arrival) string {
	until := h.processEnd(n, n.At.Add(n.RetryAfter))
	cutOff := func(s Span) bool { return s.Kind.cutsOff() && s.affectsGateway(p.gateway) }
	if h.linkDisturbed(n, until) || h.restarted(p.gateway, n.At, until) || h.overlapsFault(n.At, until, cutOff) {
		return ""
	}
	count := 0
	for _, r := range arrivals {
		if r.At.After(n.At.Add(maxQuietDelay)) && r.At.Before(until) {
			count++
		}
	}
	if count <= maxQuietRequests {
		return ""
	}
	return fmt.Sprintf("%d requests reached %s through gateway %d after its response at %s that asked for none for %s (%s)",
		count, p.instance, p.gateway, n.At.Format(timeFormat), n.RetryAfter, n.ID)
}

// processEnd returns the earlier of until and the time at which another process was registered in the
// place of the one that sent the notice: an endpoint that drained comes back as one.
func (h *History) processEnd(n Notice, until time.Time) time.Time {
	for _, c := range h.changes {
		if c.Endpoint == n.Endpoint && c.RestoredAt.After(n.At) && c.RestoredAt.Before(until) {
			until = c.RestoredAt
		}
	}
	return until
}

// restarted reports whether the gateway was restarted or suspended, or the test machine stalled, in the period.
func (h *History) restarted(gateway int, from, to time.Time) bool {
	return h.overlapsFault(from, to, func(s Span) bool { return s.affectsGateway(gateway) && !s.Kind.cutsOff() }) ||
		slices.ContainsFunc(h.stalls, func(s Span) bool { return s.Started.Before(to) && s.Ended.After(from) })
}

// linkDisturbed reports whether a fault of the links to the endpoint may have held up the notice or later requests.
func (h *History) linkDisturbed(n Notice, to time.Time) bool {
	return h.overlapsFault(n.At, to, func(s Span) bool {
		return s.Index == n.Endpoint && exclusionGroup(s.Kind) == "relay"
	})
}
