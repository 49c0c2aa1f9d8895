package scheduling

import (
	"container/heap"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/routing"
)

const (
	// latestStartStep is the granularity at which latest start times are compared;
	// within one step the smaller request goes first.
	latestStartStep = 20 * time.Millisecond
	// maxFloorCredit caps the dispatches that a class can accumulate through its floor.
	maxFloorCredit = 4
)

// class holds the waiting requests of one class, its settings and its statistics.
type class struct {
	name  string
	tier  catalog.Tier
	floor float64 // Guaranteed share of dispatches, 0 to 1.
	// credit is the number of dispatches that the class is owed through its floor.
	credit float64
	// virtualTime is the start tag of the last dispatched item (start-time fair queuing).
	virtualTime float64
	flows       map[string]*flow
	active      flowHeap
	// activeWeight is the sum of the weights of the flows in active.
	activeWeight float64
	// waiting counts all waiting items, including parked ones; ready excludes those.
	waiting int
	ready   int
	running int
	granted int64
	refused int64
	// lastSlack is how long the most recently submitted first attempt could wait and
	// still meet its target, in seconds.
	lastSlack float64
	// maxLatestStart is the greatest latestStart of all items enqueued so far.
	maxLatestStart time.Time
	lastRefused    time.Time
	refusals       decayingCounter
	dispatches     decayingCounter
	released       decayingCounter
	firstToken     latencyEstimate
	tokenGap       latencyEstimate
	serviceTime    latencyEstimate
	admitted       decayingCounter
}

func newClass(name string) *class {
	return &class{name: name, flows: map[string]*flow{}}
}

// updateSettings applies the class settings carried by a request.
func (c *class) updateSettings(request routing.PermitRequest) {
	c.tier = request.Tier
	c.floor = min(max(request.FloorPercent/100, 0), 1)
}

// inDemand reports whether requests are waiting or were refused within the window.
func (c *class) inDemand(now time.Time, window time.Duration) bool {
	if c.waiting > 0 {
		return true
	}
	return !c.lastRefused.IsZero() && now.Sub(c.lastRefused) < window
}

func (c *class) flowFor(request routing.PermitRequest) *flow {
	f, ok := c.flows[request.Workspace]
	if !ok {
		f = &flow{workspace: request.Workspace, heapIndex: -1}
		c.flows[request.Workspace] = f
	}
	if f.heapIndex < 0 {
		f.weight = float64(max(1, request.Weight))
	}
	return f
}

// push adds an item to its flow, and the flow to the active flows if it was empty.
func (c *class) push(it *item) {
	f := it.flow
	heap.Push(&f.items, it)
	c.ready++
	if f.heapIndex < 0 {
		f.start = max(f.start, c.virtualTime)
		heap.Push(&c.active, f)
		c.activeWeight += f.weight
		return
	}
	heap.Fix(&c.active, f.heapIndex)
}

// head returns the next item to dispatch from the class, or nil.
func (c *class) head() *item {
	if len(c.active) == 0 {
		return nil
	}
	return c.active[0].items[0]
}

// remove removes a ready item from its flow.
func (c *class) remove(it *item) {
	f := it.flow
	heap.Remove(&f.items, it.heapIndex)
	c.ready--
	c.restoreActive(f)
}

// charge advances virtual time and the flow's start tag for an item that is being dispatched.
func (c *class) charge(it *item) {
	f := it.flow
	c.virtualTime = max(c.virtualTime, f.start)
	f.start = max(f.start, c.virtualTime) + it.cost/f.weight
	if f.heapIndex >= 0 {
		heap.Fix(&c.active, f.heapIndex)
	}
}

// restoreActive restores the heap of active flows after an item of f was removed.
func (c *class) restoreActive(f *flow) {
	if len(f.items) > 0 {
		heap.Fix(&c.active, f.heapIndex)
		return
	}
	heap.Remove(&c.active, f.heapIndex)
	c.activeWeight -= f.weight
	if len(c.active) == 0 {
		c.activeWeight = 0
	}
}

// prune deletes empty flows whose start tag does not lie ahead of virtual time.
func (c *class) prune() {
	for workspace, f := range c.flows {
		if f.heapIndex < 0 && f.start <= c.virtualTime {
			delete(c.flows, workspace)
		}
	}
}

// largestFlow returns the active flow with the longest queue relative to its weight.
func (c *class) largestFlow() *flow {
	var largest *flow
	for _, f := range c.active {
		if largest == nil || f.relativeLength() > largest.relativeLength() {
			largest = f
		}
	}
	return largest
}

// relativeLength is the length of the flow's queue divided by its weight.
func (f *flow) relativeLength() float64 { return float64(len(f.items)) / f.weight }

// last returns the last element of the flow's heap, which is not necessarily the
// item that would run last.
func (f *flow) last() *item { return f.items[len(f.items)-1] }
