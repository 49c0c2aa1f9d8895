package placement

import "math/rand/v2"

// candidate is an endpoint that may take the ask.
type candidate struct {
	endpoint *endpoint
	// matched is the number of the prompt's blocks that the endpoint is believed to have.
	matched int
	score   float64
}

// scorer rates a candidate from 0 (worst) to 1 (best).
type scorer interface {
	score(d *decision, c *candidate) float64
}

// loadScorer prefers endpoints with a small share of their limit in use.
type loadScorer struct{}

func (loadScorer) score(d *decision, c *candidate) float64 {
	limit := c.endpoint.limit
	if limit <= 0 {
		return 0
	}
	return 1 - float64(c.endpoint.running.len)/float64(limit)
}

// affinityScorer prefers endpoints that have the prompt's prefix in their cache.
type affinityScorer struct{}

func (affinityScorer) score(d *decision, c *candidate) float64 {
	if len(d.ask.Prefix) == 0 {
		return 0
	}
	return float64(c.matched) / float64(len(d.ask.Prefix))
}

// speedScorer prefers endpoints that are fast against the pool's median.
type speedScorer struct{}

func (speedScorer) score(_ *decision, c *candidate) float64 {
	return min(1, 1/(1+c.endpoint.speed))
}

// weighted is a scorer with its weight.
type weighted struct {
	scorer scorer
	weight float64
}

// scorers returns the scorers that are switched on.
func (w Weights) scorers() []weighted {
	all := []weighted{{loadScorer{}, w.Load}, {affinityScorer{}, w.Affinity}, {speedScorer{}, w.Speed}}
	on := all[:0]
	for _, x := range all {
		if x.weight > 0 {
			on = append(on, x)
		}
	}
	return on
}

// pickBest returns the candidate of the best score; rng decides between equals.
func pickBest(candidates []candidate, rng *rand.Rand) *candidate {
	var best *candidate
	equals := 0
	for i := range candidates {
		c := &candidates[i]
		switch {
		case best == nil || c.score > best.score:
			best, equals = c, 1
		case c.score == best.score:
			equals++
			if rng.IntN(equals) == 0 {
				best = c
			}
		}
	}
	return best
}
