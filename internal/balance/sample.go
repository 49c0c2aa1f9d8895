package balance

// Load pattern: a burst over many daemons. Between two exchanges of counts all of them
// see the same endpoint as the least loaded; if each takes it, hundreds of requests pile
// up there, and the next exchange sends the herd elsewhere, away from the cached parts.
// Each choice therefore weighs a few endpoints drawn at random, besides those that hold
// shared parts of the prompt.

const (
	// sampleSize is the number of endpoints drawn in each lane: the second choice takes away
	// most of the imbalance, and each further one brings back some of the herd.
	sampleSize = 2
	// sampleFrom is the least number of daemons for which choices are drawn. Few daemons
	// see each other's work soon enough to weigh all endpoints.
	sampleFrom = 13
)

// sample draws up to a number of endpoints of each lane, with equal chances.
type sample struct {
	// left and toDraw are the candidates to come and those still to be drawn, by lane.
	left, toDraw [2]int
}

func newSample(candidates []*endpoint, daemons int) sample {
	size := sampleSize
	if daemons < sampleFrom {
		size = len(candidates)
	}
	var s sample
	for _, e := range candidates {
		s.left[laneOf(e)]++
	}
	for lane, n := range s.left {
		s.toDraw[lane] = min(n, size)
	}
	return s
}

// draw reports whether the next candidate is among those drawn.
func (s *sample) draw(e *endpoint, chance func() float64) bool {
	lane := laneOf(e)
	left := s.left[lane]
	s.left[lane]--
	if s.toDraw[lane] < left && chance()*float64(left) >= float64(s.toDraw[lane]) {
		return false
	}
	s.toDraw[lane]--
	return true
}

func laneOf(e *endpoint) int {
	if e.express {
		return 1
	}
	return 0
}
