package scheduling

import (
	"container/heap"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/routing"
)

const (
	// deadlineStep is the difference of time left below which size decides.
	deadlineStep = 20 * time.Millisecond
	// maxCredit bounds the dispatches that a class may have saved up by its floor.
	maxCredit = 4
)

// class is the waiting asks of one class, with what was measured about it.
type class struct {
	name  string
	tier  catalog.Tier
	floor float64 // Share of dispatches, 0 to 1.
	// credit counts the dispatches that the floor owes to the class.
	credit float64
	// virtual is the start tag of the last dispatched item.
	virtual float64
	flows   map[string]*flow
	active  flowHeap
	// activeWeight is the sum of the weights of the active flows.
	activeWeight float64
	// waiting counts all waiting items, parked ones too; ready excludes them.
	waiting int
	ready   int
	running int
	granted int64
	refused int64
	// slack is the time that the latest first attempt had left, in seconds.
	slack float64
	// newest is the due time of the item that has most time left.
	newest      time.Time
	lastRefused time.Time
	refusals    counter
	dispatches  counter
	released    counter
	firstToken  latency
	gap         latency
	service     latency
	admitted    counter
}

func newClass(name string) *class {
	return &class{name: name, flows: map[string]*flow{}}
}

// describe takes over the settings that came with the latest ask.
func (c *class) describe(ask routing.PermitRequest) {
	c.tier = ask.Tier
	c.floor = min(max(ask.FloorPercent/100, 0), 1)
}

// inDemand reports whether asks wait or were refused within the window.
func (c *class) inDemand(now time.Time, window time.Duration) bool {
	if c.waiting > 0 {
		return true
	}
	return !c.lastRefused.IsZero() && now.Sub(c.lastRefused) < window
}

func (c *class) flowOf(ask routing.PermitRequest) *flow {
	f, ok := c.flows[ask.Workspace]
	if !ok {
		f = &flow{workspace: ask.Workspace, position: -1}
		c.flows[ask.Workspace] = f
	}
	if f.position < 0 {
		f.weight = float64(max(1, ask.Weight))
	}
	return f
}

// push adds an item to its flow.
func (c *class) push(it *item) {
	f := it.flow
	heap.Push(&f.items, it)
	c.ready++
	if f.position < 0 {
		f.start = max(f.start, c.virtual)
		heap.Push(&c.active, f)
		c.activeWeight += f.weight
		return
	}
	heap.Fix(&c.active, f.position)
}

// head returns the item that the class would dispatch next, or nil.
func (c *class) head() *item {
	if len(c.active) == 0 {
		return nil
	}
	return c.active[0].items[0]
}

// remove takes a ready item out.
func (c *class) remove(it *item) {
	f := it.flow
	heap.Remove(&f.items, it.position)
	c.ready--
	c.settle(f)
}

// charge advances virtual time by the cost of an item that is being dispatched.
func (c *class) charge(it *item) {
	f := it.flow
	c.virtual = max(c.virtual, f.start)
	f.start = max(f.start, c.virtual) + it.cost/f.weight
	if f.position >= 0 {
		heap.Fix(&c.active, f.position)
	}
}

// settle restores the heap of flows after items of f changed.
func (c *class) settle(f *flow) {
	if len(f.items) > 0 {
		heap.Fix(&c.active, f.position)
		return
	}
	heap.Remove(&c.active, f.position)
	c.activeWeight -= f.weight
	if len(c.active) == 0 {
		c.activeWeight = 0
	}
}

// prune forgets flows that are empty and owe nothing.
func (c *class) prune() {
	for name, f := range c.flows {
		if f.position < 0 && f.start <= c.virtual {
			delete(c.flows, name)
		}
	}
}

// largestFlow returns the active flow with the longest queue for its weight.
func (c *class) largestFlow() *flow {
	var largest *flow
	for _, f := range c.active {
		if largest == nil || f.load() > largest.load() {
			largest = f
		}
	}
	return largest
}

// load is the length of the flow's queue for its weight.
func (f *flow) load() float64 { return float64(len(f.items)) / f.weight }

// last returns an item from the end of the flow's heap.
func (f *flow) last() *item { return f.items[len(f.items)-1] }
