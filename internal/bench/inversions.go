package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/scheduling/check"
)

// inversionHorizon bounds the time after a victim's end in which the starts of
// lower tiers count against it.
const inversionHorizon = time.Second

// inversions counts the victims of a higher tier: requests that were refused or
// given up without a start, while lower tiers were started beyond their floors.
// Starts count from the victim's arrival to the last refusal of its tier or a
// higher one within inversionHorizon: slots went to lower tiers while higher ones
// were still being refused.
func inversions(p *poolModel) int {
	slices.SortStableFunc(p.starts, func(a, b start) int { return cmp.Compare(a.at, b.at) })
	refusals := map[catalog.Tier][]time.Duration{}
	for _, j := range p.jobs {
		if !j.victim() {
			continue
		}
		for tier := j.class.tier; tier <= catalog.LowestTier; tier++ {
			refusals[tier] = append(refusals[tier], j.ended)
		}
	}
	for _, times := range refusals {
		slices.Sort(times)
	}
	victims := 0
	for _, j := range p.jobs {
		if j.victim() && passedOver(p, j, refusals[j.class.tier]) {
			victims++
		}
	}
	return victims
}

// victim reports whether the job was refused or given up before it ran, and not
// because placement held it back for a reason of its own.
func (j *job) victim() bool {
	return !j.heldBack && (j.ending == endRefused || j.ending == endLeft) && j.started == 0
}

// passedOver reports whether lower tiers got more than their floors at the cost of j.
func passedOver(p *poolModel, j *job, refusals []time.Duration) bool {
	after, _ := slices.BinarySearch(refusals, j.ended+inversionHorizon+1)
	to := refusals[after-1]
	first, _ := slices.BinarySearchFunc(p.starts, j.arrived, func(x start, t time.Duration) int { return cmp.Compare(x.at, t) })
	total, lower := 0, 0
	for _, x := range p.starts[first:] {
		if x.at > to {
			break
		}
		total++
		if x.class.tier > j.class.tier {
			lower++
		}
	}
	return float64(lower) > allowedBelow(p, j.class.tier, total)
}

// allowedBelow is how many of a number of starts the floors of the tiers below allow.
func allowedBelow(p *poolModel, tier catalog.Tier, starts int) float64 {
	allowed := 0.0
	for _, c := range p.spec.classes {
		if c.tier > tier {
			allowed += c.floor/100*float64(starts) + check.FloorCredit + 1
		}
	}
	return allowed
}
