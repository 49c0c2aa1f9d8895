package ingress

import (
	"sync"

	"github.com/samber/lo"
)

// inFlight tracks the requests that have not ended.
type inFlight struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

func newInFlight() *inFlight { return &inFlight{ids: map[string]struct{}{}} }

// Start adds a request; the returned function removes it.
func (f *inFlight) Start(id string) (end func()) {
	f.mu.Lock()
	f.ids[id] = struct{}{}
	f.mu.Unlock()
	return func() {
		f.mu.Lock()
		delete(f.ids, id)
		f.mu.Unlock()
	}
}

// Count returns the number of requests.
func (f *inFlight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ids)
}

// IDs returns the requests, in no order.
func (f *inFlight) IDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.Keys(f.ids)
}
