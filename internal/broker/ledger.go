package broker

import (
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/routing"
)

// heldGrant is a grant that a request on this daemon is using.
type heldGrant struct {
	// request is the permit request as sent to the broker; each retry has a new ID.
	request      routing.PermitRequest
	endpoint     string
	since        time.Time
	outputTokens int
}

// ledger holds the grants in use on this daemon by the caller's attempt ID, so that they can
// be restated to a new broker. Methods may be called concurrently.
type ledger struct {
	mu            sync.Mutex
	grantsByPool  map[string]map[string]*heldGrant
	poolByAttempt map[string]string
}

func newLedger() *ledger {
	return &ledger{grantsByPool: map[string]map[string]*heldGrant{}, poolByAttempt: map[string]string{}}
}

// add stores a grant under the caller's attempt ID; sent is the permit request as the broker received it.
func (l *ledger) add(attemptID string, sent routing.PermitRequest, h *heldGrant) {
	sent.Prefix = nil
	sent.Avoid = nil
	h.request = sent
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grantsByPool[sent.Pool] == nil {
		l.grantsByPool[sent.Pool] = map[string]*heldGrant{}
	}
	l.grantsByPool[sent.Pool][attemptID] = h
	l.poolByAttempt[attemptID] = sent.Pool
}

// remove returns the grant, or nil if it is not in use.
func (l *ledger) remove(attemptID string) *heldGrant {
	l.mu.Lock()
	defer l.mu.Unlock()
	pool, ok := l.poolByAttempt[attemptID]
	if !ok {
		return nil
	}
	h := l.grantsByPool[pool][attemptID]
	delete(l.poolByAttempt, attemptID)
	delete(l.grantsByPool[pool], attemptID)
	return h
}

func (l *ledger) progress(attemptID string, outputTokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.grantsByPool[l.poolByAttempt[attemptID]][attemptID]; h != nil {
		h.outputTokens = outputTokens
	}
}

func (l *ledger) running(now time.Time, pool string) []routing.Progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]routing.Progress, 0, len(l.grantsByPool[pool]))
	for _, h := range l.grantsByPool[pool] {
		out = append(out, routing.Progress{
			AttemptID: h.request.ID, Endpoint: h.endpoint, Elapsed: now.Sub(h.since), OutputTokens: h.outputTokens, Request: h.request,
		})
	}
	return out
}

func (l *ledger) attemptIDs(pool string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]string, 0, len(l.grantsByPool[pool]))
	for _, h := range l.grantsByPool[pool] {
		out = append(out, h.request.ID)
	}
	return out
}

// poolsInUse lists the pools in which this daemon has grants.
func (l *ledger) poolsInUse() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for pool, grants := range l.grantsByPool {
		if len(grants) > 0 {
			out = append(out, pool)
		}
	}
	return out
}
