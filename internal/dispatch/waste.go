package dispatch

import (
	"sync"
	"time"
)

// wasteCounter adds up the work of one request that nobody receives. Lanes that lost
// a race add to it from their own goroutine.
type wasteCounter struct {
	mu    sync.Mutex
	count int
	spent time.Duration
}

func (w *wasteCounter) tokens(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count += n
}

// lane counts all that a lane did.
func (w *wasteCounter) lane(l *lane) {
	if l.sentAt.IsZero() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count += l.tokens
	w.spent += l.run.now().Sub(l.sentAt)
}

func (w *wasteCounter) total() (tokens int, spent time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count, w.spent
}
