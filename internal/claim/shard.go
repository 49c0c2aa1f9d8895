package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bits-and-blooms/bloom/v3"

	"github.com/primrosewell/primrosewell/internal/platform"
)

// shard is the log of the keys that hash to it. One goroutine appends; callers hand it
// requests through the queue.
type shard struct {
	log    *Log
	number int
	name   string // Name of the head object.

	mu    sync.Mutex
	queue []*pending
	wake  chan struct{}

	// The fields below are used only by the goroutine that runs the shard.
	head    *head
	version int64
	// headOutdated is true if the head has to be read, at minVersion or later.
	headOutdated bool
	minVersion   int64
	// index is the position of each key's latest entry in the head's tail.
	index map[string]int
	// fenceNonce is the highest nonce among the claims that were forwarded to the usual
	// writer and came back undecided.
	fenceNonce uint64
	// epochSeenAt is when this daemon first saw the head's epoch.
	epochSeenAt time.Time
	filters     map[string]*bloom.BloomFilter
	lastAppend  time.Time
	// unconfirmed segments were created for an append that is not known to have succeeded.
	unconfirmed []segmentRef
	// garbage segments will not be linked by any later head.
	garbage []segmentRef
	// pendingSweep is the epoch whose unlinked segments are to be deleted, or -1.
	pendingSweep int64
}

func newShard(l *Log, number int) *shard {
	return &shard{
		log: l, number: number, name: headName(number), wake: make(chan struct{}, 1),
		headOutdated: true, filters: map[string]*bloom.BloomFilter{}, pendingSweep: -1,
	}
}

// enqueue hands a request to the shard's goroutine; it returns false if the queue is full.
// It gives a claim of this daemon its nonce, so that nonces rise in the order of the queue.
func (s *shard) enqueue(p *pending) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= maxQueue {
		return false
	}
	if c := &p.request.claim; !p.request.release && !p.forwarded {
		c.Nonce = s.log.nonce.Add(1)
	}
	s.queue = append(s.queue, p)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// requeueFirst puts requests before the queue, however long it is.
func (s *shard) requeueFirst(requests []*pending) {
	if len(requests) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.Concat(requests, s.queue)
}

// dequeue removes up to n requests from the queue.
func (s *shard) dequeue(n int) []*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = max(0, min(n, len(s.queue)))
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	if len(s.queue) == 0 {
		s.queue = nil
	}
	return batch
}

// run processes the queue until ctx ends, and collects garbage while it is empty.
func (s *shard) run(ctx context.Context) {
	for {
		batch := s.dequeue(maxBatch)
		if len(batch) == 0 {
			if s.collectGarbage(ctx) && ctx.Err() == nil {
				continue
			}
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
				continue
			}
		}
		s.processBatch(ctx, batch)
		if len(s.garbage) >= maxGarbage {
			s.collectGarbage(ctx)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// processBatch decides a batch: through the shard's usual writer if that is another daemon
// and it responds, else by an append of its own.
func (s *shard) processBatch(ctx context.Context, batch []*pending) {
	if s.log.options.Forwarder != nil && !s.log.options.Forwarder.Local(s.number) {
		batch = s.forward(ctx, batch)
	}
	if len(batch) > 0 {
		s.commit(ctx, batch)
	}
}

// commit retries until every request of the batch is decided or abandoned. Each attempt is
// a conditional update of the head, and only one update of a version can succeed. It
// therefore does not matter whether an earlier, uncertain one took effect.
func (s *shard) commit(ctx context.Context, batch []*pending) {
	retry := s.log.newRetry()
	conflicts := 0
	for {
		s.log.sleep(ctx, s.log.options.AppendInterval-s.log.now().Sub(s.lastAppend))
		batch = activeRequests(append(batch, s.dequeue(maxBatch-len(batch))...))
		if len(batch) == 0 || ctx.Err() != nil {
			return
		}
		s.log.breaker.attemptStarted(s.log.now(), s.log.options.Timeout)
		remaining, err := s.tryAppend(ctx, batch)
		if err == nil {
			s.log.breaker.succeeded()
			return
		}
		batch = remaining
		if isConflict(err) {
			conflicts++
			s.log.sleep(ctx, conflictDelay(conflicts))
			continue
		}
		wait := retry.NextBackOff()
		if reason := platform.ReasonOf(err); reason == platform.RateLimited || reason == platform.NotFound {
			wait = max(min(wait, maxRateLimitDelay), retryAfter(err))
		} else {
			s.log.breaker.failed(s.log.now(), wait)
			s.refuse(batch)
		}
		s.log.sleep(ctx, wait)
	}
}

// tryAppend makes one append and delivers its results. If it fails, it returns the requests
// that are still to be decided. It takes at most half of the time that a claim has.
func (s *shard) tryAppend(ctx context.Context, batch []*pending) ([]*pending, error) {
	ctx, cancel := context.WithTimeout(ctx, s.log.options.Timeout/2)
	defer cancel()
	if s.headOutdated {
		if err := s.refresh(ctx); err != nil {
			return batch, err
		}
	}
	batch = s.dropBarred(s.resolveUncertain(batch))
	if len(batch) == 0 {
		return nil, nil
	}
	p, err := s.newPlan(ctx, requests(batch), s.log.now())
	if err != nil {
		if platform.ReasonOf(err) == platform.NotFound {
			// A newer head has replaced the segment, or the read of it was stale.
			s.headOutdated, s.minVersion = true, s.version
		}
		return batch, err
	}
	version, err := s.writeHead(ctx, p.next)
	if err != nil {
		s.unconfirmed = append(s.unconfirmed, p.createdSegments...)
		s.recordAppendFailure(batch, err)
		return batch, err
	}
	s.log.metrics.appends.Inc(1)
	s.garbage = append(s.garbage, p.droppedSegments...)
	if p.next.Epoch > s.head.Epoch {
		s.pendingSweep = s.head.Epoch
	}
	s.installHead(p.next, version)
	s.requeueFirst(s.deliver(batch, p.results))
	return nil, nil
}

// refuse ends the wait of a batch's callers if new claims are refused too. Requests that
// may be in the log stay in the batch, to be released.
func (s *shard) refuse(batch []*pending) {
	if _, refused := s.log.breaker.open(s.log.now()); !refused {
		return
	}
	for _, p := range batch {
		p.refuse()
	}
}

// resolveUncertain grants the claims that an earlier, uncertain append has made. Their
// presence in the log is the proof, so no further append is needed. It returns what is still to be decided.
func (s *shard) resolveUncertain(batch []*pending) []*pending {
	var remaining []*pending
	for _, p := range batch {
		i, found := s.index[p.request.claim.keyID()]
		if p.uncertain && !p.request.release && found && !s.head.tail[i].Released && s.head.tail[i].sameCall(p.request.claim) {
			remaining = append(remaining, s.deliver([]*pending{p}, []Result{{Outcome: Granted, Holder: s.head.tail[i].Claim}})...)
			continue
		}
		remaining = append(remaining, p)
	}
	return remaining
}

// deliver hands out results. It returns the releases of grants whose callers no longer wait; they go
// before all claims that are still to be decided, since those callers know that the request has not run.
func (s *shard) deliver(batch []*pending, results []Result) []*pending {
	var releases []*pending
	for i, p := range batch {
		if p.deliver(results[i]) || p.forwarded || p.request.release {
			continue
		}
		if results[i].Outcome == Granted {
			releases = append(releases, newPending(request{claim: p.request.claim, release: true}))
		}
	}
	return releases
}

// recordAppendFailure updates the shard's state for the next attempt.
func (s *shard) recordAppendFailure(batch []*pending, err error) {
	if isConflict(err) {
		s.headOutdated, s.minVersion = true, s.version+1
		s.log.metrics.conflicts.Inc(1)
	}
	if platform.ReasonOf(err) == platform.Uncertain {
		markUncertain(batch)
		s.log.metrics.uncertain.Inc(1)
	}
}

func markUncertain(batch []*pending) {
	for _, p := range batch {
		p.uncertain = true
	}
}
