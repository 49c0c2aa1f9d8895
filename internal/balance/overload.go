package balance

import (
	"slices"
	"time"
)

// Load pattern: for several seconds more prompts arrive than the engines prefill, so that every
// endpoint has a long backlog. Another endpoint with a shorter one then gains a request little,
// as it waits there too, while each shared part that is read a second time delays all requests
// of the pool. How few tokens are read then decides how many of them end in time, so the
// differences between backlogs count less the longer the median backlog is. The mean would be
// long with one hot spot, which requests should leave.

// overloadWait is the median wait behind other prompts at which a difference between two
// backlogs counts half. A short burst leaves less than that behind.
const overloadWait = 200 * time.Millisecond

// loadWeight returns the weight of an endpoint's load in its cost: 1 while no prompt waits, and
// falling with the median wait over the endpoints that are neither reserved nor in backoff.
func (p *Pool) loadWeight() float64 {
	p.backlogs = p.backlogs[:0]
	for _, e := range p.order {
		if !e.reserved && !e.backedOff() {
			p.backlogs = append(p.backlogs, e.pendingTokens+e.remote.PendingTokens)
		}
	}
	if len(p.backlogs) == 0 {
		return 1
	}
	slices.Sort(p.backlogs)
	medianWait := float64(p.idleTokenTime) * float64(p.backlogs[(len(p.backlogs)-1)/2])
	return 1 / (1 + medianWait/float64(overloadWait))
}
