package routetable

import (
	"cmp"
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
	if w != nil && w.Priority != nil {
		return rank{primary: *w.Priority, route: r.Priority}
	}
	return rank{primary: r.Priority, route: r.Priority}
}

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.primary, b.primary), cmp.Compare(a.route, b.route))
}

// assignUrgencies maps each rank that can occur with the spec to an urgency. If there are more
// ranks than urgencyLevels, adjacent ranks share an urgency.
func assignUrgencies(spec Spec) map[rank]int {
	var all []rank
	for i := range spec.Routes {
		all = append(all, rankOf(nil, &spec.Routes[i]))
		for j := range spec.Workspaces {
			all = append(all, rankOf(&spec.Workspaces[j], &spec.Routes[i]))
		}
	}
	slices.SortFunc(all, compareRanks)
	all = slices.Compact(all)
	urgencyOf := make(map[rank]int, len(all))
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
	for i := range spec.Routes {
		r := &spec.Routes[i]
		for _, b := range r.Backends {
			if longest[b.Service] == nil {
				longest[b.Service] = new([urgencyLevels]time.Duration)
			}
			durations := longest[b.Service]
			include := func(w *Workspace) {
				u := urgencyOf[rankOf(w, r)]
				durations[u] = max(durations[u], of(r))
			}
			include(nil)
			for j := range spec.Workspaces {
				include(&spec.Workspaces[j])
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
