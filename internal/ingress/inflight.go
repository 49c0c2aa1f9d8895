package ingress

import (
	"context"
	"sync"
	"time"

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

// waitInterval is the time between looks at the count by Wait.
const waitInterval = 20 * time.Millisecond

// Wait returns when no request is left, or with the error of ctx.
func (f *inFlight) Wait(ctx context.Context) error {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for f.Count() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// IDs returns the requests, in no order.
func (f *inFlight) IDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.Keys(f.ids)
}
