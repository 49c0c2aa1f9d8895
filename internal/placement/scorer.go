package placement

import "math/rand/v2"

// candidate is an endpoint that passed the filters.
type candidate struct {
	endpoint *endpoint
	// matched is the number of prompt blocks that the endpoint presumably has cached.
	matched int
	score   float64
}

// scorer rates a candidate, from 0 (worst) to 1 (best).
type scorer interface {
	score(d *decision, c *candidate) float64
}

// loadScorer prefers endpoints with a low utilisation of their limit.
type loadScorer struct{}

func (loadScorer) score(d *decision, c *candidate) float64 {
	limit := c.endpoint.limit
	if limit <= 0 {
		return 0
	}
	return 1 - float64(c.endpoint.running.len)/float64(limit)
}

// affinityScorer prefers endpoints that have a larger part of the prompt's prefix cached.
type affinityScorer struct{}

func (affinityScorer) score(d *decision, c *candidate) float64 {
	if len(d.request.Prefix) == 0 {
		return 0
	}
	return float64(c.matched) / float64(len(d.request.Prefix))
}

// speedScorer prefers endpoints with a low latency relative to the pool's median.
type speedScorer struct{}

func (speedScorer) score(_ *decision, c *candidate) float64 {
	return min(1, 1/(1+c.endpoint.slowdown))
}

// weightedScorer is a scorer and the factor for its score.
type weightedScorer struct {
	scorer scorer
	weight float64
}

// scorers returns the scorers with a positive weight.
func (w Weights) scorers() []weightedScorer {
	all := []weightedScorer{{loadScorer{}, w.Load}, {affinityScorer{}, w.Affinity}, {speedScorer{}, w.Speed}}
	enabled := all[:0]
	for _, x := range all {
		if x.weight > 0 {
			enabled = append(enabled, x)
		}
	}
	return enabled
}

// pickBest returns a candidate with the highest score, chosen at random among ties, or
// nil if there is none.
func pickBest(candidates []candidate, rng *rand.Rand) *candidate {
	var best *candidate
	ties := 0
	for i := range candidates {
		c := &candidates[i]
		switch {
		case best == nil || c.score > best.score:
			best, ties = c, 1
		case c.score == best.score:
			ties++
			if rng.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}
