package routetable

import "time"

// similarPause is the ratio up to which two limits on pauses count as alike.
const similarPause = 1.25

// tightestPauses holds the shortest MaxPause among the routes to each service, without routes
// that have none.
type tightestPauses map[string]time.Duration

func findTightestPauses(spec Spec) tightestPauses {
	tightest := make(tightestPauses)
	for i := range spec.Routes {
		r := &spec.Routes[i]
		if r.MaxPause <= 0 {
			continue
		}
		for _, b := range r.Backends {
			if current, found := tightest[b.Service]; !found || r.MaxPause < current {
				tightest[b.Service] = r.MaxPause
			}
		}
	}
	return tightest
}

// TolerantOfPauses reports whether another route to the service has a much tighter limit on
// the pauses in its streams than this one. A route without a limit is tolerant if any other
// has one.
func (t *Table) TolerantOfPauses(service string, r *Route) bool {
	tightest, found := t.tightestPauses[service]
	return found && (r.MaxPause <= 0 || float64(r.MaxPause) > similarPause*float64(tightest))
}
