package balance

// Load pattern: a burst of requests over many daemons. Between two exchanges of loads, all
// daemons see the same endpoint as the least loaded. If each chose it, hundreds of requests
// would pile up there, and after the next exchange all daemons would move to another endpoint
// at once, away from the cached prompt parts. Each choice therefore compares a few endpoints
// drawn at random, plus those that hold most of the shared parts of the prompt.

const (
	// sampleSize is the number of endpoints drawn from each group, reserved and general. The
	// second one removes most of the imbalance (power of two choices); each further one brings
	// back some of the herding.
	sampleSize = 2
	// minSampleDaemons is the number of daemons from which endpoints are sampled. Fewer
	// daemons exchange their loads fast enough to compare all endpoints.
	minSampleDaemons = 13
)

// sample draws up to a given number of endpoints from each group, with equal probability, in
// one pass over the candidates.
type sample struct {
	// all is set if every candidate is drawn.
	all bool
	// left counts the candidates not seen yet, and toDraw those still to be drawn, by group.
	left, toDraw [2]int
}

func newSample(candidates []*endpoint, daemons int) sample {
	if daemons < minSampleDaemons {
		return sample{all: true}
	}
	var s sample
	for _, e := range candidates {
		s.left[groupOf(e)]++
	}
	for group, n := range s.left {
		s.toDraw[group] = min(n, sampleSize)
	}
	return s
}

// draw reports whether the next candidate is in the sample.
func (s *sample) draw(e *endpoint, randFloat64 func() float64) bool {
	if s.all {
		return true
	}
	group := groupOf(e)
	left := s.left[group]
	s.left[group]--
	if s.toDraw[group] < left && randFloat64()*float64(left) >= float64(s.toDraw[group]) {
		return false
	}
	s.toDraw[group]--
	return true
}

func groupOf(e *endpoint) int {
	if e.reserved {
		return 1
	}
	return 0
}
