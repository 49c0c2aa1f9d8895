package broker

import (
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/routing"
)

// held is a grant that a request of this daemon is using.
type held struct {
	// ask is as it was sent to the broker; its ID is new at each try.
	ask          routing.PermitRequest
	endpoint     string
	since        time.Time
	outputTokens int
}

// ledger lists the grants in use on this daemon by the caller's ask ID. It
// restates them to a new broker. Methods may be called concurrently.
type ledger struct {
	mu    sync.Mutex
	pools map[string]map[string]*held
	byID  map[string]string
}

func newLedger() *ledger {
	return &ledger{pools: map[string]map[string]*held{}, byID: map[string]string{}}
}

// add notes a grant under the caller's ask ID; sent is the ask as the broker knows it.
func (l *ledger) add(id string, sent routing.PermitRequest, h *held) {
	sent.Prefix = nil
	sent.Avoid = nil
	h.ask = sent
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools[sent.Pool] == nil {
		l.pools[sent.Pool] = map[string]*held{}
	}
	l.pools[sent.Pool][id] = h
	l.byID[id] = sent.Pool
}

// remove returns the grant, or nil if it is not in use.
func (l *ledger) remove(id string) *held {
	l.mu.Lock()
	defer l.mu.Unlock()
	pool, ok := l.byID[id]
	if !ok {
		return nil
	}
	h := l.pools[pool][id]
	delete(l.byID, id)
	delete(l.pools[pool], id)
	return h
}

func (l *ledger) progress(askID string, outputTokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.pools[l.byID[askID]][askID]; h != nil {
		h.outputTokens = outputTokens
	}
}

func (l *ledger) running(now time.Time, pool string) []routing.Progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]routing.Progress, 0, len(l.pools[pool]))
	for _, h := range l.pools[pool] {
		out = append(out, routing.Progress{
			AttemptID: h.ask.ID, Endpoint: h.endpoint, Elapsed: now.Sub(h.since), OutputTokens: h.outputTokens, Request: h.ask,
		})
	}
	return out
}

func (l *ledger) ids(pool string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]string, 0, len(l.pools[pool]))
	for _, h := range l.pools[pool] {
		out = append(out, h.ask.ID)
	}
	return out
}

// used lists the pools that this daemon has grants in.
func (l *ledger) used() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for pool, grants := range l.pools {
		if len(grants) > 0 {
			out = append(out, pool)
		}
	}
	return out
}
