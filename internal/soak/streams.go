package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

const (
	// minResumptions is the number of resumptions from which their share of success counts.
	minResumptions = 12
	// minResumedShare is the smallest share of resumptions that go on, of the share of new streams that begin.
	minResumedShare = 0.5
	// minServing is the number of endpoints of the stream's version that have to serve.
	minServing = 2
	// servingTime is how long an endpoint has taken requests when it counts as serving.
	servingTime = time.Second
)

// chain returns the ID of the attempt that began the stream.
func (a Attempt) chain() string {
	if a.Resumes != "" {
		return a.Resumes
	}
	return a.ID
}

// mixedVersions returns the streams that hold events of several versions, in one response or
// over the attempts of a caller.
func (h *History) mixedVersions() (found []string) {
	chains := lo.GroupBy(lo.Filter(h.attempts, func(a Attempt, _ int) bool { return len(a.Versions) > 0 }), Attempt.chain)
	for id, attempts := range chains {
		versions := lo.Uniq(lo.FlatMap(attempts, func(a Attempt, _ int) []string { return a.Versions }))
		if len(versions) < 2 {
			continue
		}
		parts := lo.Map(attempts, func(a Attempt, _ int) string {
			return fmt.Sprintf("%s at gateway %d, sent %s: %d events after %d of %s",
				a.ID, a.Gateway, a.Sent.Format(timeFormat), a.Events, a.After, strings.Join(a.Versions, " and "))
		})
		found = append(found, fmt.Sprintf("%s holds events of %d versions: %s", id, len(versions), strings.Join(parts, "; ")))
	}
	slices.Sort(found)
	return found
}

// Resumptions are the streams of undisturbed gateways while enough endpoints of their version serve.
type Resumptions struct {
	// Resumed counts the breaks after which callers resumed a stream, and WentOn those after which
	// an attempt brought an event.
	Resumed, WentOn int
	// New counts the attempts that begin a stream, and Begun those that brought an event.
	New, Begun int
}

// Resumptions counts the undisturbed resumptions and new streams.
func (h *History) Resumptions() Resumptions {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.resumptions()
}

func (h *History) resumptions() (r Resumptions) {
	versions := map[string]string{}
	for _, a := range h.attempts {
		if len(a.Versions) > 0 && a.Resumes == "" {
			versions[a.ID] = a.Versions[0]
		}
	}
	takenUp := map[point]bool{}
	disturbed := map[point]bool{}
	for _, a := range h.attempts {
		if !a.Repeatable || a.Kind != routetable.Streaming || a.Key != h.SteadyKey {
			continue
		}
		counts := h.undisturbed(a)
		if a.Resumes != "" {
			p := point{a.Resumes, a.After}
			takenUp[p] = takenUp[p] || a.Events > 0
			disturbed[p] = disturbed[p] || !counts || h.serving(versions[a.Resumes], a) < minServing
		} else if counts && slices.ContainsFunc(h.Versions, func(v string) bool { return h.serving(v, a) >= minServing }) {
			r.New++
			r.Begun += lo.Ternary(a.Events > 0, 1, 0)
		}
	}
	for p, wentOn := range takenUp {
		if !disturbed[p] {
			r.Resumed++
			r.WentOn += lo.Ternary(wentOn, 1, 0)
		}
	}
	return r
}

// point is the event after which a caller resumes a stream, with one attempt or several.
type point struct {
	chain string
	after int
}

// lostStreams verifies that resumptions go on nearly as often as new streams begin.
func (h *History) lostStreams() []string {
	r := h.resumptions()
	if r.Resumed < minResumptions || r.New == 0 || float64(r.WentOn)*float64(r.New) >= minResumedShare*float64(r.Begun)*float64(r.Resumed) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d streams went on that callers resumed, %d of %d new ones began", r.WentOn, r.Resumed, r.Begun, r.New)}
}

// serving returns the number of endpoints of a version that took requests all the while, faults
// of single responses aside.
func (h *History) serving(version string, a Attempt) (n int) {
	for i, v := range h.Versions {
		away := func(s Span) bool {
			return s.Kind == DeadlyPart || s.Kind == DeadlyRequest || s.Kind.Target() == Endpoint && s.Index == i && !s.Kind.ofResponses()
		}
		if v == version && !h.overlapsFault(a.Sent.Add(-servingTime), a.Ended, away) {
			n++
		}
	}
	return n
}

// ofResponses reports whether the kind affects single responses of an endpoint that serves on.
func (k Kind) ofResponses() bool {
	return k == BreakResponses || k == RepeatResponses || k == GarbleResponses
}

// settlingTime is how long after a fault of a gateway its resumptions still count as under the fault.
const settlingTime = time.Second

// ResumeCounts are the requests by which callers resumed streams at some gateways.
type ResumeCounts struct {
	// WentOn counts those that brought events of the version that began the stream, Joined those that
	// brought events of another one, Refused those with status 503, and Failed the others.
	WentOn, Joined, Refused, Failed int
	// FirstEvent are the sorted times to the first event.
	FirstEvent []time.Duration
}

// String implements fmt.Stringer.
func (c ResumeCounts) String() string {
	text := fmt.Sprintf("%d went on, %d refused, %d joined, %d failed", c.WentOn, c.Refused, c.Joined, c.Failed)
	if n := len(c.FirstEvent); n > 0 {
		text += fmt.Sprintf("; ms to the first event: median %d, longest %d", c.FirstEvent[n/2].Milliseconds(), c.FirstEvent[n-1].Milliseconds())
	}
	return text
}

// ResumeCounts counts resumed streams at gateways while a fault of these kinds affects them, and
// at the others.
func (h *History) ResumeCounts(kinds ...Kind) (affected, others ResumeCounts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	began := map[string]string{}
	for _, a := range h.attempts {
		if a.Resumes == "" && len(a.Versions) > 0 {
			began[a.ID] = a.Versions[0]
		}
	}
	for _, a := range h.attempts {
		if a.Resumes == "" {
			continue
		}
		c := &others
		if h.overlapsFault(a.Sent.Add(-settlingTime), a.Ended, func(s Span) bool { return slices.Contains(kinds, s.Kind) && s.affectsGateway(a.Gateway) }) {
			c = &affected
		}
		c.add(a, began[a.Resumes])
	}
	slices.Sort(affected.FirstEvent)
	slices.Sort(others.FirstEvent)
	return affected, others
}

func (c *ResumeCounts) add(a Attempt, began string) {
	switch {
	case a.Events > 0 && slices.ContainsFunc(a.Versions, func(v string) bool { return v != began }):
		c.Joined++
	case a.Events > 0:
		c.WentOn++
		c.FirstEvent = append(c.FirstEvent, a.Responded.Sub(a.Sent))
	case a.Status == http.StatusServiceUnavailable:
		c.Refused++
	default:
		c.Failed++
	}
}
