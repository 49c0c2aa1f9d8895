package scheduling

import (
	"container/heap"
	"time"

	"github.com/primrosewell/primrosewell/internal/routing"
)

// item is a submitted request, with its state in the queue.
type item struct {
	request   routing.PermitRequest
	class     *class
	flow      *flow
	submitted time.Time
	// latestStart is the latest time at which the request can start and still meet its
	// target. Items are ordered by it.
	latestStart time.Time
	// expiresAt equals latestStart, except that a repeated attempt has its wait bounded
	// anew and so may expire later.
	expiresAt time.Time
	// cost is the expected length of the response, in tokens.
	cost float64
	seq  uint64
	// heapIndex is the index in the flow's heap, or -1 while the item is not in it.
	heapIndex int
	// wasParked is set once the item has been parked, and stays set.
	wasParked bool
	// expiryIndex is the index in the pool's expiry heap, or -1.
	expiryIndex int
}

// before orders items by latest start, then by expected size, then by arrival.
func (a *item) before(b *item) bool {
	left, right := a.latestStart.Truncate(latestStartStep), b.latestStart.Truncate(latestStartStep)
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
	// start is the virtual start time of the flow's next item.
	start float64
	// heapIndex is the index in the class's heap of flows, or -1 while the flow is empty.
	heapIndex int
}

// itemHeap implements heap.Interface, ordered by item.before.
type itemHeap []*item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	it.heapIndex = -1
	return it
}

// expiryHeap implements heap.Interface, ordered by expiry.
type expiryHeap []*item

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex = i
	h[j].expiryIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	it := x.(*item)
	it.expiryIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	it.expiryIndex = -1
	return it
}

// flowHeap implements heap.Interface, ordered by virtual start time, then by the
// flows' first items.
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
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.heapIndex = -1
	return f
}

var (
	_ heap.Interface = (*itemHeap)(nil)
	_ heap.Interface = (*expiryHeap)(nil)
	_ heap.Interface = (*flowHeap)(nil)
)
