package claim

import (
	"sync/atomic"

	"github.com/samber/lo"
)

// States of a pending request.
const (
	waiting int32 = iota
	answered
	abandoned
)

// pending is a request that waits for its shard.
type pending struct {
	request request
	// foreign requests are decided for another daemon, which alone may release them.
	foreign bool
	// sent is true once the request may be in the log. Only the shard's loop uses it.
	sent  bool
	state atomic.Int32
	done  chan result
}

// result ends the wait for a request: with its answer, or refused.
type result struct {
	answer  Result
	refused bool
}

func newPending(r request) *pending {
	return &pending{request: r, done: make(chan result, 1)}
}

// answer hands over the answer; it returns false if nobody waits any more.
func (p *pending) answer(a Result) bool {
	if !p.state.CompareAndSwap(waiting, answered) {
		return false
	}
	p.done <- result{answer: a}
	return true
}

// abandon gives up waiting; it returns false if the answer has come already.
func (p *pending) abandon() bool { return p.state.CompareAndSwap(waiting, abandoned) }

// refuse tells the one who waits that the request will not be decided.
func (p *pending) refuse() {
	if p.abandon() {
		p.done <- result{refused: true}
	}
}

// live returns what is left to do of a batch. An abandoned claim that may be in the
// log becomes its own release, since nobody will dispatch it.
func live(batch []*pending) []*pending {
	return lo.FilterMap(batch, func(p *pending, _ int) (*pending, bool) {
		if p.request.release || p.state.Load() != abandoned {
			return p, p.state.Load() != answered
		}
		if !p.sent || p.foreign {
			return nil, false
		}
		return newPending(request{claim: p.request.claim, release: true, revoke: true}), true
	})
}

func requests(batch []*pending) []request {
	return lo.Map(batch, func(p *pending, _ int) request { return p.request })
}
