package scheduling

import (
	"math"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

const (
	// headroomGrowth is the expected growth of the slots that a tier needs, since
	// service slows down as the engines fill.
	headroomGrowth = 0.5
	// headroomDeviations is how many standard deviations of a Poisson demand are kept free.
	headroomDeviations = 2
	// maxHeadroom bounds the slots kept free, as a share of all.
	maxHeadroom = 0.1
)

// headroomAllows reports whether it leaves the slots free that higher tiers are
// about to need. Work is not preempted, so a burst of long work of a low tier would
// else hold every slot until it ends. Floors are not held back.
func (p *Pool) headroomAllows(now time.Time, it *item) bool {
	if it.class.credit >= 1 || it.class.tier == p.ordered[0].tier {
		return true
	}
	headroom := p.headroom(now, it.class.tier)
	return headroom < 1 || float64(p.capacity.Slots-len(p.running)) > headroom
}

// headroom is the number of slots to keep free for the tiers above tier: what they
// are expected to need beyond what they hold, less what comes free in time.
func (p *Pool) headroom(now time.Time, tier catalog.Tier) float64 {
	needed, turnover, slack := 0.0, 0.0, math.Inf(1)
	for _, c := range p.ordered {
		if c.tier >= tier {
			turnover += c.released.perSecond(now, p.cfg.DrainWindow)
			continue
		}
		expected := c.admitted.perSecond(now, p.cfg.DrainWindow) * c.service.mean
		target := expected*(1+headroomGrowth) + headroomDeviations*math.Sqrt(expected)
		if missing := target - float64(c.running); missing > 0 {
			needed += missing
			slack = min(slack, c.slack)
		}
	}
	if needed == 0 {
		return 0
	}
	needed -= turnover * slack
	return min(max(needed, 0), maxHeadroom*float64(p.capacity.Slots))
}
