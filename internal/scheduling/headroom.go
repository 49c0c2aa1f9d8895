package scheduling

import (
	"math"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

const (
	// headroomGrowth is the expected growth of a tier's demand for slots, as a share:
	// service slows down as the engines fill.
	headroomGrowth = 0.5
	// headroomDeviations is the number of standard deviations of a Poisson-distributed
	// demand that are kept free.
	headroomDeviations = 2
	// maxHeadroom caps the slots kept free, as a share of all slots.
	maxHeadroom = 0.1
)

// headroomAllows reports whether granting the item leaves enough free slots for the
// expected demand of higher tiers. Running requests are not preempted, so a burst of
// long requests of a low tier would otherwise hold every slot until they end.
// Dispatches owed to a floor are not held back.
func (p *Pool) headroomAllows(now time.Time, it *item) bool {
	if it.class.credit >= 1 || it.class.tier == p.ordered[0].tier {
		return true
	}
	headroom := p.headroom(now, it.class.tier)
	return headroom < 1 || float64(p.capacity.Slots-len(p.running)) > headroom
}

// headroom returns the number of slots to keep free for the tiers above tier: their
// expected demand beyond the slots they hold, less the slots that tier and those below
// are expected to release in time.
func (p *Pool) headroom(now time.Time, tier catalog.Tier) float64 {
	shortfall, releaseRate, slack := 0.0, 0.0, math.Inf(1)
	for _, c := range p.ordered {
		if c.tier >= tier {
			releaseRate += c.released.perSecond(now, p.cfg.DrainWindow)
			continue
		}
		expected := c.admitted.perSecond(now, p.cfg.DrainWindow) * c.serviceTime.mean
		demand := expected*(1+headroomGrowth) + headroomDeviations*math.Sqrt(expected)
		if missing := demand - float64(c.running); missing > 0 {
			shortfall += missing
			slack = min(slack, c.lastSlack)
		}
	}
	if shortfall == 0 {
		return 0
	}
	shortfall -= releaseRate * slack
	return min(max(shortfall, 0), maxHeadroom*float64(p.capacity.Slots))
}
