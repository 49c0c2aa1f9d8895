package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"
)

// The users' rule on an endpoint that names a limit: from limitContact after it first did, it gets in
// no limitWindow more than limitFactor times what that allows and limitSlack requests, from the gateways
// that passed on such a response limitTold before.
const (
	limitWindow, limitContact, limitTold = 4 * time.Second, 3 * time.Second, 500 * time.Millisecond
	limitFactor, limitSlack              = 1.5, 5.0
)

// limitPeriod is the time for which an instance named a limit.
type limitPeriod struct {
	instance    string
	limit       float64
	first, last time.Time
	endpoint    int
	// toldAt is when each gateway passed on the first response that named it.
	toldAt map[int]time.Time
}

// exceededLimits verifies the rule for each instance that named a limit.
func (h *History) exceededLimits(sent map[string]Attempt) (found []string) {
	arrivals := map[string][]Arrival{}
	for _, r := range h.arrivals {
		arrivals[r.Instance] = append(arrivals[r.Instance], r)
	}
	for _, period := range h.limitPeriods(sent) {
		counted := slices.DeleteFunc(slices.Clone(arrivals[period.instance]), func(r Arrival) bool { return !h.countsForLimit(period, r, sent) })
		slices.SortFunc(counted, func(a, b Arrival) int { return a.At.Compare(b.At) })
		allowed := limitFactor*limitWindow.Seconds()*period.limit + limitSlack
		first := 0
		for i, r := range counted {
			for r.At.Sub(counted[first].At) >= limitWindow {
				first++
			}
			if n := i - first + 1; r.At.Sub(period.first) >= limitContact && float64(n) > allowed {
				found = append(found, fmt.Sprintf("%s, which names a limit of %g a second since %s, got %d requests in the %s before %s, the last one %s",
					period.instance, period.limit, period.first.Format(timeFormat), n, limitWindow, r.At.Format(timeFormat), r.ID))
				break
			}
		}
	}
	slices.Sort(found)
	return found
}

// LimitUse is how much of a limit that it named an instance was sent.
type LimitUse struct {
	Instance string
	// Limit is in requests a second.
	Limit float64
	// Named is the time for which it named the limit, and Requests the number of those that came in it.
	Named    time.Duration
	Requests int
}

// LimitUses returns the use of each limit that was named.
func (h *History) LimitUses() (uses []LimitUse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sent := lo.KeyBy(h.attempts, func(a Attempt) string { return a.ID })
	for _, period := range h.limitPeriods(sent) {
		requests := lo.CountBy(h.arrivals, func(r Arrival) bool {
			return r.Instance == period.instance && r.At.After(period.first) && !r.At.After(period.last)
		})
		uses = append(uses, LimitUse{Instance: period.instance, Limit: period.limit, Named: period.last.Sub(period.first), Requests: requests})
	}
	slices.SortFunc(uses, func(a, b LimitUse) int { return cmp.Compare(a.Instance, b.Instance) })
	return uses
}

// limitPeriods returns the periods by instance and fault: an endpoint may name another limit later.
func (h *History) limitPeriods(sent map[string]Attempt) map[limitKey]*limitPeriod {
	periods := map[limitKey]*limitPeriod{}
	notices := slices.SortedFunc(slices.Values(h.notices), func(a, b Notice) int { return a.At.Compare(b.At) })
	for _, n := range notices {
		fault := slices.IndexFunc(h.spans, func(s Span) bool {
			return s.Kind == LimitEndpoint && s.Index == n.Endpoint && !n.At.Before(s.Started) && n.At.Before(s.Ended)
		})
		if n.Limit == 0 || fault < 0 {
			continue
		}
		key := limitKey{n.Instance, fault}
		period := periods[key]
		if period == nil {
			period = &limitPeriod{instance: n.Instance, limit: n.Limit, first: n.At, endpoint: n.Endpoint, toldAt: map[int]time.Time{}}
			periods[key] = period
		}
		period.last = n.At
		if a, known := sent[n.ID]; known && a.Status != 0 {
			if _, told := period.toldAt[a.Gateway]; !told {
				period.toldAt[a.Gateway] = n.At
			}
		}
	}
	return periods
}

type limitKey struct {
	instance string
	fault    int // Index in the spans.
}

// countsForLimit reports whether a request came from a gateway that was told and that no fault excuses.
func (h *History) countsForLimit(period *limitPeriod, r Arrival, sent map[string]Attempt) bool {
	a, known := sent[r.ID]
	told, passedOn := period.toldAt[a.Gateway]
	if !known || !passedOn || r.At.Before(told.Add(limitTold)) || r.At.After(period.last) {
		return false
	}
	apart := func(s Span) bool { return s.Kind == CutFromPeers && s.affectsGateway(a.Gateway) }
	return !h.restarted(a.Gateway, period.first, r.At) && !h.overlapsFault(period.first, r.At, apart) && !h.linkDisturbed(Notice{At: period.first, Endpoint: period.endpoint}, r.At)
}
