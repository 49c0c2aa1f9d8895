package engine

import (
	"context"
	"slices"
	"strings"
	"time"
)

// sequence is one response being generated. Server.mu guards its fields except the
// channels.
type sequence struct {
	priority     int
	arrival      uint64
	prompt       string
	digest       uint64
	nextIndex    int // index of the next token.
	endIndex     int // index after the last token.
	readyAt      time.Time
	cachedTokens int // prompt tokens found in the cache.
	tokens       chan string
	aborted      chan struct{} // closed when the engine crashes.
	run          *Run
}

// loop runs decoding steps until ctx ends, and waits for work when no sequence is left.
func (s *Server) loop(ctx context.Context) {
	for {
		timer := time.NewTimer(s.stepTime())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if poisoned, downFor := s.step(time.Now()); poisoned {
			s.Crash(downFor)
		}
		if !s.busy() {
			select {
			case <-ctx.Done():
				return
			case <-s.wakeUp:
			}
		}
	}
}

func (s *Server) stepTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(s.options.StepTime) * s.faults.slowdown())
}

func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)+len(s.waiting) > 0
}

// enqueue inserts a sequence ordered by priority, lowest value first, then by arrival.
// It returns false if the queue is full.
func (s *Server) enqueue(q *sequence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) >= s.options.MaxWaiting {
		return false
	}
	s.arrivals++
	q.arrival = s.arrivals
	index, _ := slices.BinarySearchFunc(s.waiting, q, byPriority)
	s.waiting = slices.Insert(s.waiting, index, q)
	select {
	case s.wakeUp <- struct{}{}:
	default:
	}
	return true
}

func byPriority(a, b *sequence) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	return int(a.arrival) - int(b.arrival)
}

// step fills the batch from the queue and emits one token for each running sequence
// whose prefill is done. If a running prompt contains the poison marker, it emits
// nothing and returns true and how long the engine stays down.
func (s *Server) step(now time.Time) (poisoned bool, downFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admit(now)
	if s.runsPoisonedPrompt(now) {
		return true, s.faults.downFor()
	}
	remaining := s.running[:0]
	for _, q := range s.running {
		if now.Before(q.readyAt) {
			remaining = append(remaining, q)
			continue
		}
		if !s.emitToken(q) {
			remaining = append(remaining, q)
		}
	}
	clear(s.running[len(remaining):])
	s.running = remaining
	return false, 0
}

// runsPoisonedPrompt reports whether a running sequence whose prefill is done has the
// poison marker in its prompt.
func (s *Server) runsPoisonedPrompt(now time.Time) bool {
	marker := s.faults.PoisonMarker
	return marker != "" && slices.ContainsFunc(s.running, func(q *sequence) bool {
		return !now.Before(q.readyAt) && strings.Contains(q.prompt, marker)
	})
}

func (s *Server) admit(now time.Time) {
	for len(s.running) < s.options.MaxBatch && len(s.waiting) > 0 {
		q := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		q.cachedTokens = s.cache.lookupAndStore(q.prompt, now)
		uncached := max(0, promptTokens(q.prompt)-q.cachedTokens)
		prefill := float64(uncached) * float64(s.options.PrefillPerToken) * s.faults.slowdown()
		q.readyAt = now.Add(time.Duration(prefill))
		q.run.Started = now
		s.running = append(s.running, q)
	}
}

// emitToken sends the next token, if one is left, and reports whether the sequence is
// complete.
func (s *Server) emitToken(q *sequence) bool {
	if q.nextIndex < q.endIndex {
		q.tokens <- tokenText(q.digest, q.nextIndex) // never blocks: the buffer holds the complete response.
		q.nextIndex++
		q.run.Tokens++
	}
	if q.nextIndex < q.endIndex {
		return false
	}
	close(q.tokens)
	return true
}

// cancel removes a sequence from the batch or the queue at once.
func (s *Server) cancel(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	same := func(other *sequence) bool { return other == q }
	s.running = slices.DeleteFunc(s.running, same)
	s.waiting = slices.DeleteFunc(s.waiting, same)
}

// abortAll aborts all running and waiting sequences; the caller holds s.mu.
func (s *Server) abortAll() {
	for _, q := range append(slices.Clone(s.running), s.waiting...) {
		close(q.aborted)
	}
	s.running, s.waiting = nil, nil
}
