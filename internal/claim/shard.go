package claim

import (
	"context"
	"sync"
	"time"

	"github.com/bits-and-blooms/bloom/v3"

	"github.com/primrosewell/primrosewell/internal/platform"
)

// shard is the log of the keys that hash to it. One goroutine appends; callers hand
// it pending requests through the queue.
type shard struct {
	log    *Log
	number int
	name   string // Name of the head object.

	mu    sync.Mutex
	queue []*pending
	wake  chan struct{}

	// The rest is used by the loop alone.
	head    *head
	version int64
	// behind is true if the head has to be read, at least at minVersion.
	behind     bool
	minVersion int64
	// index finds the newest entry of a key in the head's tail.
	index        map[string]int
	epochLearned time.Time
	filters      map[string]*bloom.BloomFilter
	lastAppend   time.Time
	// orphans were created for an append that is not known to have succeeded.
	orphans []sealRef
	// garbage is no longer linked by any head to come.
	garbage []sealRef
	// sweep is the epoch whose unlinked seals are to be removed, or -1.
	sweep int64
}

func newShard(l *Log, number int) *shard {
	return &shard{
		log: l, number: number, name: headName(number), wake: make(chan struct{}, 1),
		behind: true, filters: map[string]*bloom.BloomFilter{}, sweep: -1,
	}
}

// enqueue hands a request to the loop; it returns false if the queue is full.
func (s *shard) enqueue(p *pending) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= maxQueue {
		return false
	}
	s.queue = append(s.queue, p)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// take removes up to n requests from the queue.
func (s *shard) take(n int) []*pending {
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

func (s *shard) run(ctx context.Context) {
	for {
		batch := s.take(maxBatch)
		if len(batch) == 0 {
			if s.collect(ctx) && ctx.Err() == nil {
				continue
			}
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
				continue
			}
		}
		s.serve(ctx, batch)
		if len(s.garbage) >= maxGarbage {
			s.collect(ctx)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// serve decides a batch: by the shard's usual writer if that is another daemon and
// answers, else by an append of its own.
func (s *shard) serve(ctx context.Context, batch []*pending) {
	if s.log.options.Forwarder != nil && !s.log.options.Forwarder.Local(s.number) {
		batch = s.forward(ctx, batch)
	}
	if len(batch) > 0 {
		s.commit(ctx, batch)
	}
}

// commit tries until every request of the batch is answered or abandoned. Each try is
// a conditional update of the head, so it does not matter whether an uncertain one
// before it took effect: only one update of a version can.
func (s *shard) commit(ctx context.Context, batch []*pending) {
	retry := s.log.newRetry()
	conflicts := 0
	for {
		s.log.sleep(ctx, s.log.options.AppendInterval-s.log.now().Sub(s.lastAppend))
		batch = live(append(batch, s.take(maxBatch-len(batch))...))
		if len(batch) == 0 || ctx.Err() != nil {
			return
		}
		s.log.breaker.begin(s.log.now(), s.log.options.Timeout)
		left, err := s.attempt(ctx, batch)
		if err == nil {
			s.log.breaker.succeeded()
			return
		}
		batch = left
		if isLost(err) {
			conflicts++
			s.log.sleep(ctx, conflictDelay(conflicts))
			continue
		}
		wait := retry.NextBackOff()
		if reason := platform.ReasonOf(err); reason == platform.RateLimited || reason == platform.NotFound {
			wait = max(min(wait, rateLimitWait), retryAfter(err))
		} else {
			s.log.breaker.failed(s.log.now(), wait)
			s.refuse(batch)
		}
		s.log.sleep(ctx, wait)
	}
}

// attempt makes one append and answers the batch. It returns what is left of the
// batch if it did not succeed. It may take half of the time that a claim has.
func (s *shard) attempt(ctx context.Context, batch []*pending) ([]*pending, error) {
	ctx, cancel := context.WithTimeout(ctx, s.log.options.Timeout/2)
	defer cancel()
	if s.behind {
		if err := s.refresh(ctx); err != nil {
			return batch, err
		}
	}
	batch = s.settle(batch)
	if len(batch) == 0 {
		return nil, nil
	}
	p, err := s.newPlan(ctx, requests(batch), s.log.now())
	if err != nil {
		if platform.ReasonOf(err) == platform.NotFound {
			// A seal was replaced by a newer head, or the reading of it was stale.
			s.behind, s.minVersion = true, s.version
		}
		return batch, err
	}
	version, err := s.write(ctx, p.next)
	if err != nil {
		s.orphans = append(s.orphans, p.created...)
		s.lost(batch, err)
		return batch, err
	}
	s.log.metrics.appends.Inc(1)
	s.garbage = append(s.garbage, p.dropped...)
	if p.next.Epoch > s.head.Epoch {
		s.sweep = s.head.Epoch
	}
	s.adopt(p.next, version)
	s.answer(batch, p.answers)
	return nil, nil
}

// refuse ends the wait of a batch if new claims are refused too. What may be in the
// log stays in the batch, to be released.
func (s *shard) refuse(batch []*pending) {
	if _, refused := s.log.breaker.refuse(s.log.now()); !refused {
		return
	}
	for _, p := range batch {
		p.refuse()
	}
}

// settle answers the claims that an uncertain append of before has made. Their
// presence in the log is the proof, so no further append is needed.
func (s *shard) settle(batch []*pending) []*pending {
	var left []*pending
	for _, p := range batch {
		i, found := s.index[p.request.claim.keyID()]
		if p.sent && !p.request.release && found && !s.head.tail[i].Released && s.head.tail[i].owns(p.request.claim) {
			s.answer([]*pending{p}, []Result{{Outcome: Granted, Holder: s.head.tail[i].Claim}})
			continue
		}
		left = append(left, p)
	}
	return left
}

// answer hands out answers. A grant that nobody waits for any more is released.
func (s *shard) answer(batch []*pending, answers []Result) {
	for i, p := range batch {
		if p.answer(answers[i]) || p.foreign || p.request.release {
			continue
		}
		if answers[i].Outcome == Granted {
			s.enqueue(newPending(request{claim: p.request.claim, release: true}))
		}
	}
}

// lost notes what a failed append means for the next try.
func (s *shard) lost(batch []*pending, err error) {
	if isLost(err) {
		s.behind, s.minVersion = true, s.version+1
		s.log.metrics.conflicts.Inc(1)
	}
	if platform.ReasonOf(err) == platform.Uncertain {
		markSent(batch)
		s.log.metrics.uncertain.Inc(1)
	}
}

func markSent(batch []*pending) {
	for _, p := range batch {
		p.sent = true
	}
}
