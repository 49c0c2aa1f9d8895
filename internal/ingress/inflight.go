package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
)

// inFlight tracks the requests in progress.
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

// Count returns the number of requests in progress.
func (f *inFlight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ids)
}

// inFlightPollInterval is the interval at which Wait checks the number of requests.
const inFlightPollInterval = 20 * time.Millisecond

// Wait blocks until no request is in progress, or returns the error of ctx.
func (f *inFlight) Wait(ctx context.Context) error {
	ticker := time.NewTicker(inFlightPollInterval)
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

// IDs returns the IDs of the requests in progress, in no particular order.
func (f *inFlight) IDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.Keys(f.ids)
}
