package routetable

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// urgencyLevels is the number of priorities that a model engine distinguishes; 0 is the most
// urgent.
const urgencyLevels = 10

// rank orders requests: by the workspace's priority if it has one, else by the route's, and
// among equals by the route's priority.
type rank struct {
	primary, route int
}

func rankOf(w *Workspace, r *Route) rank {
	route := boundPriority(r.Priority)
	if w != nil && w.Priority != nil {
		return rank{primary: boundPriority(*w.Priority), route: route}
	}
	return rank{primary: route, route: route}
}

func boundPriority(priority int) int { return max(-MaxPriority, min(MaxPriority, priority)) }

// representatives returns a workspace of each priority, and nil, which stands for those without one.
func representatives(spec Spec) []*Workspace {
	all := []*Workspace{nil}
	seen := make(map[int]bool)
	for i := range spec.Workspaces {
		w := &spec.Workspaces[i]
		if w.Priority == nil || seen[boundPriority(*w.Priority)] {
			continue
		}
		seen[boundPriority(*w.Priority)] = true
		all = append(all, w)
	}
	return all
}

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.primary, b.primary), cmp.Compare(a.route, b.route))
}

// assignUrgencies maps each rank that can occur with the spec to an urgency. If there are more
// ranks than urgencyLevels, adjacent ranks share an urgency.
func assignUrgencies(spec Spec) map[rank]int {
	urgencyOf := make(map[rank]int)
	workspaces := representatives(spec)
	for i := range spec.Routes {
		for _, w := range workspaces {
			urgencyOf[rankOf(w, &spec.Routes[i])] = 0
		}
	}
	all := slices.SortedFunc(maps.Keys(urgencyOf), compareRanks)
	for i, r := range all {
		if len(all) <= urgencyLevels {
			urgencyOf[r] = i
		} else {
			urgencyOf[r] = i * urgencyLevels / len(all) // Adjacent ranks share an urgency.
		}
	}
	return urgencyOf
}

// Urgency returns the urgency of a request relative to all others that the table allows; 0 is
// the most urgent. The workspace is nil for anonymous callers.
func (t *Table) Urgency(w *Workspace, r *Route) int { return t.urgency[rankOf(w, r)] }

// longestDurations holds, by service and urgency, the longest duration of a kind, such as the
// latency target, among the requests that are not more urgent.
type longestDurations map[string]*[urgencyLevels]time.Duration

// findLongest returns the longest of the durations that of returns for each route.
func findLongest(spec Spec, urgencyOf map[rank]int, of func(*Route) time.Duration) longestDurations {
	longest := make(longestDurations)
	workspaces := representatives(spec)
	for i := range spec.Routes {
		r := &spec.Routes[i]
		for _, b := range r.Backends {
			if longest[b.Service] == nil {
				longest[b.Service] = new([urgencyLevels]time.Duration)
			}
			durations := longest[b.Service]
			for _, w := range workspaces {
				u := urgencyOf[rankOf(w, r)]
				durations[u] = max(durations[u], of(r))
			}
		}
	}
	for _, durations := range longest {
		for u := urgencyLevels - 2; u >= 0; u-- {
			durations[u] = max(durations[u], durations[u+1])
		}
	}
	return longest
}

// LongestTarget returns the longest latency target among the requests to a service that are
// not more urgent than urgency. A request with a shorter predicted wait must not be refused,
// because a less urgent request would still be accepted. It returns 0 for an unknown service.
func (t *Table) LongestTarget(service string, urgency int) time.Duration {
	return t.longestTargets.get(service, urgency)
}

// LongestTimeout returns the longest timeout among the requests to a service that are not more
// urgent than urgency, or 0 for an unknown service. Routes without a timeout don't count.
func (t *Table) LongestTimeout(service string, urgency int) time.Duration {
	return t.longestTimeouts.get(service, urgency)
}

func (l longestDurations) get(service string, urgency int) time.Duration {
	durations := l[service]
	if durations == nil {
		return 0
	}
	return durations[urgency]
}
