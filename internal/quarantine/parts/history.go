package parts

import (
	"sync"
	"time"
)

const (
	// historyWindow is how long a part at least counts as established after a response with it
	// began; it is twice as long at most.
	historyWindow = 30 * time.Second
	// historyWarmup is the time after the start until which all parts count as established.
	historyWarmup = 10 * time.Second
	// historyShards must be a power of two. maxHistoryParts bounds the parts of a shard and window;
	// above it the window ends early.
	historyShards, maxHistoryParts = 16, 512
)

// history is the set of parts with which responses began lately, in shards under their own locks.
type history struct {
	shards [historyShards]historyShard
}

type historyShard struct {
	mu                sync.Mutex
	started           time.Time
	current, previous map[Key]struct{}
}

func (h *history) shard(part Key) *historyShard { return &h.shards[part&(historyShards-1)] }

func (h *history) add(now time.Time, part Key) {
	s := h.shard(part)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if len(s.current) >= maxHistoryParts {
		s.started, s.previous, s.current = now, s.current, map[Key]struct{}{}
	}
	s.current[part] = struct{}{}
}

func (h *history) has(now time.Time, part Key) bool {
	s := h.shard(part)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	_, inCurrent := s.current[part]
	_, inPrevious := s.previous[part]
	return inCurrent || inPrevious
}

// rotate starts a new window when the current one has ended.
func (s *historyShard) rotate(now time.Time) {
	age := now.Sub(s.started)
	if s.current != nil && age < historyWindow {
		return
	}
	s.previous = s.current
	if age >= 2*historyWindow {
		s.previous = nil
	}
	s.started, s.current = now, map[Key]struct{}{}
}
