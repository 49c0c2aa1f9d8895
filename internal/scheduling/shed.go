package scheduling

import "time"

// reservedPlaces is the number of waiting requests that each class may have even if
// the queue is full.
const reservedPlaces = 4

// makeRoom keeps the queue within MaxQueueLength: for a new item it evicts one of the
// lowest tier present, or reports false if it may not. A class that waits within its
// reserved places evicts nothing, and is not evicted from.
func (p *Pool) makeRoom(now time.Time, it *item) bool {
	if len(p.waiting) < p.cfg.MaxQueueLength || it.class.waiting < reservedPlaces {
		return true
	}
	c := p.lowestTierClass()
	if c == nil || c.tier < it.class.tier {
		return false
	}
	f := c.largestFlow()
	if f == nil || (c.tier == it.class.tier && f.relativeLength() <= (float64(len(it.flow.items))+1)/it.flow.weight) {
		return false
	}
	evicted := f.last()
	p.dequeue(evicted)
	p.refuse(now, evicted, ReasonShed, p.overloadedFailure(now, evicted, "the request gave way to another"))
	return true
}

// lowestTierClass returns the class of the lowest tier with ready items that exceeds
// its reserved places, or nil.
func (p *Pool) lowestTierClass() *class {
	var lowest *class
	for _, c := range p.ordered {
		if c.waiting <= reservedPlaces || c.ready == 0 {
			continue
		}
		if lowest == nil || c.tier > lowest.tier || c.waiting > lowest.waiting {
			lowest = c
		}
	}
	return lowest
}
