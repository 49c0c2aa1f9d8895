package scheduling

import (
	"container/heap"
	"time"

	"github.com/primrosewell/primrosewell/internal/routing"
)

// item is one waiting ask.
type item struct {
	ask       routing.PermitRequest
	class     *class
	flow      *flow
	submitted time.Time
	// due orders the item: the last time at which a start can still meet the target.
	due time.Time
	// latest is when the item expires. It is due, but later for a further attempt.
	latest time.Time
	// cost is the expected work, in tokens.
	cost float64
	seq  uint64
	// position is the index in the flow's heap, or -1 while the item is parked.
	position int
	// parked is true once the item was set aside.
	parked bool
	// expiry is the index in the pool's expiry heap.
	expiry int
}

// before orders the items of one flow: time left, then expected size, then arrival.
func (a *item) before(b *item) bool {
	left, right := a.due.Truncate(deadlineStep), b.due.Truncate(deadlineStep)
	if !left.Equal(right) {
		return left.Before(right)
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.seq < b.seq
}

// flow is the queue of one workspace within a class.
type flow struct {
	workspace string
	weight    float64
	items     itemHeap
	// start is the virtual time at which the flow's next item starts.
	start float64
	// position is the index in the class's heap of flows, or -1 while the flow is empty.
	position int
}

// itemHeap implements heap.Interface, the next item first.
type itemHeap []*item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.position = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	it.position = -1
	return it
}

// expiryHeap implements heap.Interface, the item that expires next first.
type expiryHeap []*item

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].latest.Before(h[j].latest) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiry = i
	h[j].expiry = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	it := x.(*item)
	it.expiry = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	it.expiry = -1
	return it
}

// flowHeap implements heap.Interface, the flow that is due next first.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].items[0].before(h[j].items[0])
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.position = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.position = -1
	return f
}

var (
	_ heap.Interface = (*itemHeap)(nil)
	_ heap.Interface = (*expiryHeap)(nil)
	_ heap.Interface = (*flowHeap)(nil)
)
