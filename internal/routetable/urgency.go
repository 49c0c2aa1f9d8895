package routetable

import (
	"cmp"
	"slices"
	"time"
)

// urgencies is the number of urgencies that a model engine tells apart; 0 is first.
const urgencies = 10

// rank orders requests: a workspace's own priority goes before the route's, and among
// requests of equal rank there the route's decides.
type rank struct {
	first, route int
}

func rankOf(w *Workspace, r *Route) rank {
	if w != nil && w.Priority != nil {
		return rank{first: *w.Priority, route: r.Priority}
	}
	return rank{first: r.Priority, route: r.Priority}
}

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.route, b.route))
}

// rankAll numbers the ranks that the table can produce, most urgent first.
func rankAll(spec Spec) map[rank]int {
	var all []rank
	for i := range spec.Routes {
		all = append(all, rankOf(nil, &spec.Routes[i]))
		for j := range spec.Workspaces {
			all = append(all, rankOf(&spec.Workspaces[j], &spec.Routes[i]))
		}
	}
	slices.SortFunc(all, compareRanks)
	all = slices.Compact(all)
	numbers := make(map[rank]int, len(all))
	for i, r := range all {
		if len(all) <= urgencies {
			numbers[r] = i
		} else {
			numbers[r] = i * urgencies / len(all) // Neighbours share a number.
		}
	}
	return numbers
}

// Urgency is the place of a request among all that the table allows; 0 is first. The
// workspace is nil for anonymous callers.
func (t *Table) Urgency(w *Workspace, r *Route) int { return t.urgency[rankOf(w, r)] }

// longestTargets holds, by service and urgency, the longest latency target among the
// requests that are not more urgent.
type longestTargets map[string]*[urgencies]time.Duration

func findLongestTargets(spec Spec, numbers map[rank]int) longestTargets {
	longest := make(longestTargets)
	for i := range spec.Routes {
		r := &spec.Routes[i]
		for _, b := range r.Backends {
			if longest[b.Service] == nil {
				longest[b.Service] = new([urgencies]time.Duration)
			}
			of := longest[b.Service]
			note := func(w *Workspace) {
				u := numbers[rankOf(w, r)]
				of[u] = max(of[u], r.Target)
			}
			note(nil)
			for j := range spec.Workspaces {
				note(&spec.Workspaces[j])
			}
		}
	}
	for _, of := range longest {
		for u := urgencies - 2; u >= 0; u-- {
			of[u] = max(of[u], of[u+1])
		}
	}
	return longest
}

// LongestTarget is the longest latency target among the requests to a service that are
// not more urgent than this. Who waits for less than that must not be refused: a less
// urgent request would still be taken.
func (t *Table) LongestTarget(service string, urgency int) time.Duration {
	of := t.targets[service]
	if of == nil {
		return 0
	}
	return of[urgency]
}
