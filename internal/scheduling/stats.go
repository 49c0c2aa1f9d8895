package scheduling

import "time"

// Stats returns the statistics of the pool and its classes.
func (p *Pool) Stats(now time.Time) Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := Stats{
		Pool:         p.name,
		Waiting:      len(p.waiting),
		Running:      len(p.running),
		Conservative: now.Before(p.conservativeUntil),
		DrainRate:    p.drainRate(),
	}
	oldest := p.oldestByClass()
	for _, c := range p.ordered {
		described := ClassStats{
			Class:     c.name,
			Tier:      int(c.tier),
			Waiting:   c.waiting,
			Running:   c.running,
			Granted:   c.granted,
			Refused:   c.refused,
			DrainRate: c.dispatches.perSecond(now, p.cfg.DrainWindow),
		}
		if submitted, ok := oldest[c]; ok {
			described.OldestWait = now.Sub(submitted)
		}
		stats.Classes = append(stats.Classes, described)
	}
	return stats
}

// oldestByClass returns the submission time of the oldest waiting item of each class.
func (p *Pool) oldestByClass() map[*class]time.Time {
	oldest := map[*class]time.Time{}
	for _, it := range p.expiry {
		if t, ok := oldest[it.class]; !ok || it.submitted.Before(t) {
			oldest[it.class] = it.submitted
		}
	}
	return oldest
}
