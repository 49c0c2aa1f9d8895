package dispatch

import (
	"sync"
	"time"
)

// wasteCounter sums the work of one request that no caller receives. Calls that lost the
// hedge race are added from another goroutine.
type wasteCounter struct {
	mu     sync.Mutex
	tokens int
	spent  time.Duration
}

func (w *wasteCounter) addTokens(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens += n
}

// addCall adds the tokens and the duration of a call.
func (w *wasteCounter) addCall(call *engineCall) {
	if call.sentAt.IsZero() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens += call.tokens
	w.spent += call.run.now().Sub(call.sentAt)
}

func (w *wasteCounter) total() (tokens int, spent time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tokens, w.spent
}
