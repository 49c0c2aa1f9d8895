package balance

import "time"

// Load pattern: prompts arrive faster than the engines prefill them, for several seconds.
// Every request that joins a backlog longer than its latency target is late, and delays those
// behind it. The wait is predicted without the request's own size, so that large and small
// requests of one kind are treated alike, and covers only the tokens that the engine prefills
// first: the engine prefills more urgent prompts before less urgent ones. Other daemons report
// their backlog without priorities, so its composition is taken from this daemon's own requests
// to all endpoints of the same kind; those to one endpoint are too few in a large fleet.

const (
	// idleTimeRise is the factor by which a slower observation raises the idle token time, so
	// that an engine that has become slower is noticed within seconds. The observed time
	// itself is not used, since most of it is queueing.
	idleTimeRise = 1.001
	// priorityLevels is the number of request priorities that an engine distinguishes.
	priorityLevels = 10
)

// backlog is the prompt tokens pending at an endpoint, by priority.
type backlog [priorityLevels]int

func (b *backlog) add(priority, tokens int) { b[min(max(priority, 0), priorityLevels-1)] += tokens }

// shareUpTo returns the share of the backlog that is prefilled before or together with a
// request of this priority.
func (b *backlog) shareUpTo(priority int) float64 {
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

// idleTokenTime tracks the prefill time of a prompt token without queueing, in ns, as a slowly
// rising minimum of the observations.
type idleTokenTime float64

func (t *idleTokenTime) observe(elapsed time.Duration, tokens int) {
	if tokens < requestBaseWork {
		return // The fixed cost of a request dominates.
	}
	observed := idleTokenTime(float64(elapsed) / float64(tokens))
	switch {
	case *t == 0 || observed < *t:
		*t = observed
	default:
		*t = min(observed, *t*idleTimeRise)
	}
}

// groupBacklog is the backlog at all endpoints that are reserved, or at all that are not,
// without those in backoff: no request waits there.
type groupBacklog struct {
	endpoints int
	// tokens is the backlog from all daemons, and own this daemon's part of it, by priority.
	tokens int
	own    backlog
}

func (p *Pool) groupBacklog(reserved bool) groupBacklog {
	var g groupBacklog
	for _, e := range p.order {
		if e.reserved != reserved || e.backedOff() {
			continue
		}
		g.endpoints++
		g.tokens += e.pendingTokens + e.remote.PendingTokens
		if e.pendingTokens == 0 {
			continue
		}
		for priority, tokens := range e.pendingByPriority {
			g.own[priority] += tokens
		}
	}
	return g
}

// predictWait returns the expected time before the prompt of a new request of this priority is
// prefilled at e, and the mean of that time over all endpoints of its group.
func (p *Pool) predictWait(e *endpoint, priority int) (atEndpoint, mean time.Duration) {
	group := p.groupBacklog(e.reserved)
	tokenTime := float64(p.idleTokenTime) * group.own.shareUpTo(priority)
	atEndpoint = time.Duration(tokenTime * float64(e.pendingTokens+e.remote.PendingTokens))
	return atEndpoint, time.Duration(tokenTime * float64(group.tokens) / float64(max(1, group.endpoints)))
}
