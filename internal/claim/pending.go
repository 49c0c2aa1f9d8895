package claim

import (
	"sync/atomic"

	"github.com/samber/lo"
)

// States of a pending request.
const (
	waiting int32 = iota
	delivered
	abandoned
)

// pending is a request that waits for its shard's decision.
type pending struct {
	request request
	// forwarded requests come from another daemon, the only one that may release them.
	forwarded bool
	// uncertain is true once the request may be in the log. Only the shard's goroutine uses
	// it.
	uncertain bool
	state     atomic.Int32
	done      chan reply
}

// reply ends the wait for a request: with its result, or refused.
type reply struct {
	result  Result
	refused bool
}

func newPending(r request) *pending {
	return &pending{request: r, done: make(chan reply, 1)}
}

// deliver hands over the result; it returns false if the caller no longer waits.
func (p *pending) deliver(result Result) bool {
	if !p.state.CompareAndSwap(waiting, delivered) {
		return false
	}
	p.done <- reply{result: result}
	return true
}

// abandon stops waiting; it returns false if the result was delivered already.
func (p *pending) abandon() bool { return p.state.CompareAndSwap(waiting, abandoned) }

// refuse ends the caller's wait without a decision.
func (p *pending) refuse() {
	if p.abandon() {
		p.done <- reply{refused: true}
	}
}

// activeRequests returns the requests of a batch that are still to be decided. An abandoned
// claim that may be in the log becomes its own release, since nobody will dispatch it.
func activeRequests(batch []*pending) []*pending {
	return lo.FilterMap(batch, func(p *pending, _ int) (*pending, bool) {
		if p.request.release || p.state.Load() != abandoned {
			return p, p.state.Load() != delivered
		}
		if !p.uncertain || p.forwarded {
			return nil, false
		}
		return newPending(request{claim: p.request.claim, release: true, revoke: true}), true
	})
}

func requests(batch []*pending) []request {
	return lo.Map(batch, func(p *pending, _ int) request { return p.request })
}
