package scheduling

import (
	"container/heap"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/primrosewell/primrosewell/internal/estimate"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

const (
	// capacityMaxAge is how long a reading of the pool's capacity is reused.
	capacityMaxAge = 50 * time.Millisecond
	// maxEnded is the number of released or cancelled attempts that are remembered.
	maxEnded = 8192
	// pruneInterval is the time between removals of the flows of idle workspaces.
	pruneInterval = 10 * time.Second
)

// Pool is the queue of permit requests of one pool. All methods may be called concurrently.
type Pool struct {
	mu     sync.Mutex
	name   string
	cfg    Config
	placer Placer
	// constrainer and quarantine are the placer, or nil if it does not implement the interface.
	constrainer Constrainer
	// submissions is the recorder, or nil if it does not implement SubmissionRecorder.
	submissions SubmissionRecorder
	quarantine  Quarantine
	estimates   *estimate.Estimator

	classes map[string]*class
	// ordered holds the classes sorted by tier, then by name.
	ordered []*class
	waiting map[string]*item
	expiry  expiryHeap
	// parked holds items that none of the currently free endpoints can take.
	parked []*item
	// parkedCursor is the index, after the first parkedHeadTries parked items, of the
	// one tried last.
	parkedCursor int
	running      map[string]*runningGrant
	// ended maps recently ended attempts to how they ended, so that late or repeated
	// messages are idempotent.
	ended *simplelru.LRU[string, endState]
	seq   uint64

	// full is set when placement found no free slot, and cleared when one may be free.
	full bool
	// heldForHeadroom is set when the next item is held back to keep slots free for
	// higher tiers.
	heldForHeadroom bool
	// freedWhileFull counts the slots released since the pool was full. After as many
	// grants it is marked full again, which saves a placement attempt that would
	// fail. Tick resets it.
	freedWhileFull int
	capacity       routing.Capacity
	// capacityReadAt is when capacity was read.
	capacityReadAt time.Time
	drain          drainMeter
	serviceTime    latencyEstimate
	lastPrune      time.Time

	conservativeUntil time.Time
	// conservativeGrants counts the running grants made in conservative mode or its ramp.
	conservativeGrants int

	decisions []Decision
}

// runningGrant is a grant that has not been released.
type runningGrant struct {
	request      routing.PermitRequest
	grant        routing.Grant
	class        *class
	conservative bool
}

// endState is how an attempt left the pool.
type endState int

const (
	endedReleased endState = iota
	endedCancelled
)

// NewPool returns an empty queue whose grants are placed by placer.
func NewPool(name string, cfg Config, placer Placer, estimates *estimate.Estimator) *Pool {
	ended, err := simplelru.NewLRU[string, endState](maxEnded, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size that is not positive.
	}
	p := &Pool{
		name:      name,
		cfg:       cfg.withDefaults(),
		placer:    placer,
		estimates: estimates,
		classes:   map[string]*class{},
		waiting:   map[string]*item{},
		running:   map[string]*runningGrant{},
		ended:     ended,
	}
	p.constrainer, _ = placer.(Constrainer)
	p.quarantine, _ = placer.(Quarantine)
	p.submissions, _ = cfg.Recorder.(SubmissionRecorder)
	return p
}

// Submit queues a request and returns the resulting decisions, which may concern other
// requests too. A request that can not meet its target is refused at once. Submitting
// a waiting request again does nothing; for a running one the grant is repeated.
func (p *Pool) Submit(now time.Time, request routing.PermitRequest) []Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	if p.resubmitted(now, request) {
		return p.takeDecisions()
	}
	if p.submissions != nil {
		p.submissions.Submitted(now, request)
	}
	c := p.classFor(request)
	it := p.newItem(now, request, c)
	if refusal := p.admit(now, it); refusal != nil {
		p.refuse(now, it, refusal.reason, refusal.failure)
		return p.takeDecisions()
	}
	p.enqueue(now, it)
	p.dispatch(now)
	return p.takeDecisions()
}

// resubmitted handles a request whose ID was seen before, and reports whether it was.
func (p *Pool) resubmitted(now time.Time, request routing.PermitRequest) bool {
	if _, ok := p.waiting[request.ID]; ok {
		return true
	}
	if r, ok := p.running[request.ID]; ok {
		p.record(Decision{
			At: now, Kind: Granted, Request: request, Grant: r.grant, Reason: ReasonDuplicate,
			Alternatives: r.grant.Alternatives,
		})
		return true
	}
	end, ok := p.ended.Get(request.ID)
	if !ok {
		return false
	}
	refusal := failure.New(failure.Internal, "the attempt has ended already")
	if end == endedCancelled {
		refusal = cancelledFailure()
	}
	p.record(Decision{At: now, Kind: Refused, Request: request, Failure: refusal, Reason: ReasonDuplicate})
	return true
}

// Cancel removes a request from the queue because its caller disconnected. A granted
// request is not affected; an unknown one is refused if it arrives later.
func (p *Pool) Cancel(now time.Time, attemptID string) []Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	if _, ok := p.running[attemptID]; ok {
		return nil
	}
	if !p.ended.Contains(attemptID) {
		p.ended.Add(attemptID, endedCancelled)
	}
	if it, ok := p.waiting[attemptID]; ok {
		p.dequeue(it)
		p.refuse(now, it, ReasonCancelled, cancelledFailure())
	}
	return p.takeDecisions()
}

func cancelledFailure() *failure.Failure {
	return failure.New(failure.ClientGone, "the caller left while the request waited").
		WithOutcome(failure.NotRun)
}

// Release ends a grant and dispatches waiting requests to the free slot. It is idempotent.
func (p *Pool) Release(now time.Time, report routing.Report) []Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	r, ok := p.running[report.AttemptID]
	if !ok {
		return nil
	}
	p.ended.Add(report.AttemptID, endedReleased)
	p.updateEstimates(r, report)
	p.freeSlot(now, r, report)
	p.dispatch(now)
	return p.takeDecisions()
}

// freeSlot returns the slot of a grant to the placer and updates the release rates.
func (p *Pool) freeSlot(now time.Time, r *runningGrant, report routing.Report) {
	if p.saturated() {
		p.drain.count++
	}
	delete(p.running, report.AttemptID)
	r.class.running--
	r.class.released.add(now, p.cfg.DrainWindow)
	if r.conservative {
		p.conservativeGrants--
	}
	p.placer.Done(now, report)
	if p.full || p.freedWhileFull > 0 {
		p.freedWhileFull++
	}
	p.full = false
}

// updateEstimates adds the measurements of a completed attempt to the estimates.
func (p *Pool) updateEstimates(r *runningGrant, report routing.Report) {
	if report.Result != routing.ResultCompleted {
		return
	}
	r.class.firstToken.observe(report.FirstToken)
	r.class.tokenGap.observe(report.TokenGap)
	r.class.serviceTime.observe(report.Elapsed)
	p.serviceTime.observe(report.Elapsed)
	p.estimates.Observe(r.request.Profile, r.request.Workspace, report.OutputTokens)
}

// Tick refuses expired requests, retries placement, and makes the grants of conservative
// mode. Call it every 10 to 50 ms.
func (p *Pool) Tick(now time.Time) []Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	p.expireWaiting(now)
	p.refreshCapacity(now)
	if p.capacity.Endpoints == 0 {
		p.refuseAll(now)
	}
	p.full, p.freedWhileFull = false, 0
	p.grantInOrder(now)
	p.prune(now)
	return p.takeDecisions()
}

// advance adds the time since the last event to the drain rate measurement.
func (p *Pool) advance(now time.Time) {
	p.drain.advance(now, p.saturated(), p.cfg.DrainWindow)
}

// saturated reports whether requests are waiting because no slot is available to them.
func (p *Pool) saturated() bool { return (p.full || p.heldForHeadroom) && len(p.waiting) > 0 }

// prune removes the flows of idle workspaces, once per pruneInterval.
func (p *Pool) prune(now time.Time) {
	if now.Sub(p.lastPrune) < pruneInterval {
		return
	}
	p.lastPrune = now
	for _, c := range p.ordered {
		c.prune()
	}
}

// takeDecisions returns the decisions recorded since the last call and clears them.
func (p *Pool) takeDecisions() []Decision {
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

func (p *Pool) record(decision Decision) {
	p.decisions = append(p.decisions, decision)
	if p.cfg.Recorder != nil {
		p.cfg.Recorder.Record(decision)
	}
}

// enqueue adds an item to its class, the index of waiting items and the expiry heap.
func (p *Pool) enqueue(now time.Time, it *item) {
	it.class.waiting++
	it.class.maxLatestStart = maxTime(it.class.maxLatestStart, it.latestStart)
	it.class.admitted.add(now, p.cfg.DrainWindow)
	it.class.push(it)
	p.waiting[it.request.ID] = it
	heap.Push(&p.expiry, it)
}

// dequeue removes a waiting item from every structure.
func (p *Pool) dequeue(it *item) {
	delete(p.waiting, it.request.ID)
	heap.Remove(&p.expiry, it.expiryIndex)
	it.class.waiting--
	if it.heapIndex >= 0 {
		it.class.remove(it)
		return
	}
	p.unpark(it)
}
