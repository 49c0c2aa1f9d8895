package bench

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventHeap implements heap.Interface, the next event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// clock is a virtual clock that runs events in the order of their times.
type clock struct {
	elapsed time.Duration
	events  eventHeap
	seq     uint64
}

// epoch is the virtual time at which each run starts.
var epoch = time.Unix(1_700_000_000, 0)

func (c *clock) now() time.Time { return epoch.Add(c.elapsed) }

// after runs f once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.elapsed + max(d, 0), seq: c.seq, run: f})
}

// every runs f at each multiple of period.
func (c *clock) every(period time.Duration, f func()) {
	c.after(period, func() {
		f()
		c.every(period, f)
	})
}

// runUntil runs all events up to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.elapsed = e.at
		e.run()
	}
	c.elapsed = end
}
