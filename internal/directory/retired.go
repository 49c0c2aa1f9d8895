package directory

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// Load pattern: the platform comes back from a copy of its data that is some seconds old. The
// copy lists endpoints that have left or begun to drain since, which must get no new work, and
// lacks endpoints that registered since, which still serve.

// maxRetired bounds the endpoints that are remembered after their removal.
const maxRetired = 2048

// retiredEndpoints remembers the start times of the processes of removed endpoints, by ID.
type retiredEndpoints struct {
	startedAt *simplelru.LRU[string, int64]
}

func newRetiredEndpoints() retiredEndpoints {
	startedAt, _ := simplelru.NewLRU[string, int64](maxRetired, nil) // NewLRU fails only for a size below 1.
	return retiredEndpoints{startedAt: startedAt}
}

func (r retiredEndpoints) add(e routetable.Endpoint) { r.startedAt.Add(e.ID, e.StartedAt) }

// has reports whether the endpoint's process was removed before.
func (r retiredEndpoints) has(e routetable.Endpoint) bool {
	startedAt, found := r.startedAt.Peek(e.ID)
	return found && startedAt == e.StartedAt
}

// ReplaceFromCopy is Replace for a list that the platform may have restored from an older copy
// of its data. Endpoints that the list lacks stay in use for ReturnGrace, as after an outage:
// those that live write their registrations again. An endpoint that this daemon knows to be
// draining or removed stays so until its registration changes.
func (d *Directory) ReplaceFromCopy(now time.Time, endpoints []routetable.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailable, d.availableSince = false, now
	current := make([]routetable.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		known := d.entries[e.ID]
		if known == nil && d.retired.has(e) {
			continue
		}
		if known != nil && known.endpoint.StartedAt == e.StartedAt && known.endpoint.Draining {
			e.Draining = true
		}
		current = append(current, e)
	}
	d.replace(now, current)
}
