package opaque

import (
	"sync"
	"time"
)

// Room is what a brittle endpoint has room for. It is safe for concurrent use.
type Room struct {
	// Slots is the number of requests that run at once; others are rejected.
	Slots int
	// Rejections is the number of rejections in a second that the endpoint bears and names in all its
	// responses: with one more it falls over.
	Rejections int
	// Work is how long a request takes at least.
	Work time.Duration

	mu       sync.Mutex
	running  int
	rejected []Rejection
	fallen   bool
}

// Rejection is a request that a brittle endpoint rejected.
type Rejection struct {
	ID string
	At time.Time
}

// Enter takes a slot for a request. If there is none, the request is rejected; falls holds the
// rejections of the last second if the endpoint falls over under this one.
func (r *Room) Enter(now time.Time, id string) (entered bool, falls []Rejection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fallen {
		return false, nil
	}
	if r.running < r.Slots {
		r.running++
		return true, nil
	}
	r.rejected = append(r.rejected, Rejection{id, now})
	for now.Sub(r.rejected[0].At) >= time.Second {
		r.rejected = r.rejected[1:]
	}
	if r.fallen = len(r.rejected) > r.Rejections; r.fallen {
		return false, r.rejected
	}
	return false, nil
}

// Leave returns the slot of a request that entered.
func (r *Room) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}
