package balance

import "time"

// Load pattern: more prompts than the engines read, for seconds on end. Every request
// that joins a backlog longer than its target is late, and makes those behind it late
// too. The wait is predicted without the request's own size, so that large and small
// ones of a kind are treated alike, and counts only what an engine reads first.

const (
	// floorRise is the factor by which a slower sample raises the cost of an unhindered
	// token, so that an engine that has become slower is noticed within some seconds. A
	// sample's own cost does not count: most of it is waiting.
	floorRise = 1.001
	// priorities is the number of urgencies that an engine knows.
	priorities = 10
)

// backlog is the prompt tokens that wait to be read at an endpoint, by urgency.
type backlog [priorities]int

func (b *backlog) add(priority, tokens int) { b[min(max(priority, 0), priorities-1)] += tokens }

// upTo is the share of the backlog that is read before, or along with, a request of this urgency.
func (b *backlog) upTo(priority int) float64 {
	ahead, total := 0, 0
	for p, tokens := range b {
		total += tokens
		if p <= priority {
			ahead += tokens
		}
	}
	if total <= 0 {
		return 1
	}
	return float64(ahead) / float64(total)
}

// floor tracks the cost of a token that waits for nothing, in ns.
type floor float64

func (f *floor) sample(elapsed time.Duration, tokens int) {
	if tokens < baseWork {
		return // The fixed cost of a request hides that of its tokens.
	}
	cost := floor(float64(elapsed) / float64(tokens))
	switch {
	case *f == 0 || cost < *f:
		*f = cost
	default:
		*f = min(cost, *f*floorRise)
	}
}

// wait predicts how long a new request of this urgency waits before its prompt is read.
func (p *Pool) wait(e *endpoint, priority int) time.Duration {
	tokens := float64(e.reading+e.elsewhere.PendingTokens) * e.waiting.upTo(priority)
	return time.Duration(float64(p.unhindered) * tokens)
}
