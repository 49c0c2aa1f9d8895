package scheduling

import "time"

// reservedPlaces is how many waiting asks each class has beyond MaxWaiting.
const reservedPlaces = 4

// makeRoom keeps the queue within MaxWaiting. The victim is of the lowest tier
// present; each class has a few reserved places that take room from nobody.
func (p *Pool) makeRoom(now time.Time, it *item) bool {
	if len(p.waiting) < p.cfg.MaxWaiting || it.class.waiting < reservedPlaces {
		return true
	}
	c := p.lowest()
	if c == nil || c.tier < it.class.tier {
		return false
	}
	f := c.largestFlow()
	if f == nil || (c.tier == it.class.tier && f.load() <= (float64(len(it.flow.items))+1)/it.flow.weight) {
		return false
	}
	victim := f.last()
	p.leave(victim)
	p.refuse(now, victim, ReasonShed, p.overloaded(now, victim, "the request gave way to another"))
	return true
}

// lowest returns the class of the lowest tier that waits beyond its reserved places.
func (p *Pool) lowest() *class {
	var found *class
	for _, c := range p.ordered {
		if c.waiting <= reservedPlaces || c.ready == 0 {
			continue
		}
		if found == nil || c.tier > found.tier || c.waiting > found.waiting {
			found = c
		}
	}
	return found
}
