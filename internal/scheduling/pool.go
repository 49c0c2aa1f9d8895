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
	// capacityAge is how long a reading of the pool's capacity is used.
	capacityAge = 50 * time.Millisecond
	// rememberedEnds is how many ended or cancelled asks are remembered.
	rememberedEnds = 8192
	// pruneInterval is the time between removals of idle workspaces.
	pruneInterval = 10 * time.Second
)

// Pool is the one queue of a pool. All methods may be called concurrently.
type Pool struct {
	mu     sync.Mutex
	name   string
	cfg    Config
	placer Placer
	// constrainer and quarantine are the placer, or nil if it does not implement them.
	constrainer Constrainer
	// submissions is the recorder, or nil if it does not want submissions.
	submissions SubmissionRecorder
	quarantine  Quarantine
	estimates   *estimate.Estimator

	classes map[string]*class
	// ordered holds the classes by tier, then by name.
	ordered []*class
	waiting map[string]*item
	expiry  expiryHeap
	// parked holds items that can not run on the endpoints that are free now.
	parked []*item
	// parkedTurn is the parked item beyond the first few that was tried last.
	parkedTurn int
	running    map[string]*run
	// ended remembers how asks ended, so that late messages are idempotent.
	ended *simplelru.LRU[string, ending]
	seq   uint64

	// blocked is set when no slot was free, until one may be.
	blocked bool
	// held is set when the next item is held back for higher tiers.
	held bool
	// freed counts the slots that came free while the pool was blocked; after as many
	// grants it is blocked again, which spares a vain try. The next tick tries anew.
	freed    int
	capacity routing.Capacity
	// capacityAt is when capacity was read.
	capacityAt time.Time
	drained    drain
	service    latency
	pruned     time.Time

	cautiousUntil time.Time
	// cautious counts the running grants that were made in caution.
	cautious int

	out []Decision
}

// run is a grant that has not been released.
type run struct {
	ask      routing.PermitRequest
	grant    routing.Grant
	class    *class
	cautious bool
}

// ending says how an ask left the pool.
type ending int

const (
	endedReleased ending = iota
	endedCancelled
)

// NewPool returns an empty queue that grants through placer.
func NewPool(name string, cfg Config, placer Placer, estimates *estimate.Estimator) *Pool {
	ended, err := simplelru.NewLRU[string, ending](rememberedEnds, nil)
	if err != nil {
		panic(err) // The size is positive, which is all that NewLRU asks for.
	}
	p := &Pool{
		name:      name,
		cfg:       cfg.withDefaults(),
		placer:    placer,
		estimates: estimates,
		classes:   map[string]*class{},
		waiting:   map[string]*item{},
		running:   map[string]*run{},
		ended:     ended,
	}
	p.constrainer, _ = placer.(Constrainer)
	p.quarantine, _ = placer.(Quarantine)
	p.submissions, _ = cfg.Recorder.(SubmissionRecorder)
	return p
}

// Submit enters ask into the queue and returns what is decided by that, which may
// concern other asks too. An ask that can not meet its target is refused at once.
// Submitting an ask that waits does nothing; one that runs gets its grant again.
func (p *Pool) Submit(now time.Time, ask routing.PermitRequest) []Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	if p.resubmitted(now, ask) {
		return p.take()
	}
	if p.submissions != nil {
		p.submissions.Submitted(now, ask)
	}
	c := p.classOf(ask)
	it := p.newItem(now, ask, c)
	if refusal := p.admit(now, it); refusal != nil {
		p.refuse(now, it, refusal.reason, refusal.failure)
		return p.take()
	}
	p.enqueue(now, it)
	p.dispatch(now)
	return p.take()
}

// resubmitted answers an ask whose ID is known already.
func (p *Pool) resubmitted(now time.Time, ask routing.PermitRequest) bool {
	if _, ok := p.waiting[ask.ID]; ok {
		return true
	}
	if r, ok := p.running[ask.ID]; ok {
		p.record(Decision{
			At: now, Kind: Granted, Request: ask, Grant: r.grant, Reason: ReasonDuplicate,
			Alternatives: r.grant.Alternatives,
		})
		return true
	}
	end, ok := p.ended.Get(ask.ID)
	if !ok {
		return false
	}
	refusal := failure.New(failure.Internal, "the attempt has ended already")
	if end == endedCancelled {
		refusal = cancelled()
	}
	p.record(Decision{At: now, Kind: Refused, Request: ask, Failure: refusal, Reason: ReasonDuplicate})
	return true
}

// Cancel takes an ask out of the queue because its caller left. It does nothing
// for an ask that has been granted; an unknown one is refused if it still comes.
func (p *Pool) Cancel(now time.Time, askID string) []Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	if _, ok := p.running[askID]; ok {
		return nil
	}
	if !p.ended.Contains(askID) {
		p.ended.Add(askID, endedCancelled)
	}
	if it, ok := p.waiting[askID]; ok {
		p.leave(it)
		p.refuse(now, it, ReasonCancelled, cancelled())
	}
	return p.take()
}

func cancelled() *failure.Failure {
	return failure.New(failure.ClientGone, "the caller left while the request waited").
		WithOutcome(failure.NotRun)
}

// Release ends a grant and hands its slot on. It is idempotent.
func (p *Pool) Release(now time.Time, report routing.Report) []Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	r, ok := p.running[report.AttemptID]
	if !ok {
		return nil
	}
	p.ended.Add(report.AttemptID, endedReleased)
	p.learn(r, report)
	p.free(now, r, report)
	p.dispatch(now)
	return p.take()
}

// free gives back the slot of a grant.
func (p *Pool) free(now time.Time, r *run, report routing.Report) {
	if p.saturated() {
		p.drained.count++
	}
	delete(p.running, report.AttemptID)
	r.class.running--
	r.class.released.add(now, p.cfg.DrainWindow)
	if r.cautious {
		p.cautious--
	}
	p.placer.Done(now, report)
	if p.blocked || p.freed > 0 {
		p.freed++
	}
	p.blocked = false
}

// learn takes the measurements of a completed attempt.
func (p *Pool) learn(r *run, report routing.Report) {
	if report.Result != routing.ResultCompleted {
		return
	}
	r.class.firstToken.observe(report.FirstToken)
	r.class.gap.observe(report.TokenGap)
	r.class.service.observe(report.Elapsed)
	p.service.observe(report.Elapsed)
	p.estimates.Observe(r.ask.Profile, r.ask.Workspace, report.OutputTokens)
}

// Tick refuses expired asks, tries placement again, and ends caution. Call it
// every 10 to 50 ms.
func (p *Pool) Tick(now time.Time) []Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	p.expireWaiting(now)
	p.readCapacity(now)
	if p.capacity.Endpoints == 0 {
		p.refuseAll(now)
	}
	p.blocked, p.freed = false, 0
	p.grantInOrder(now)
	p.prune(now)
	return p.take()
}

// advance passes the time since the last event to the drain rate.
func (p *Pool) advance(now time.Time) {
	p.drained.advance(now, p.saturated(), p.cfg.DrainWindow)
}

// saturated reports whether asks wait for a slot.
func (p *Pool) saturated() bool { return (p.blocked || p.held) && len(p.waiting) > 0 }

// prune forgets idle workspaces now and then.
func (p *Pool) prune(now time.Time) {
	if now.Sub(p.pruned) < pruneInterval {
		return
	}
	p.pruned = now
	for _, c := range p.ordered {
		c.prune()
	}
}

// take returns the decisions of this call.
func (p *Pool) take() []Decision {
	out := p.out
	p.out = nil
	return out
}

func (p *Pool) record(decision Decision) {
	p.out = append(p.out, decision)
	if p.cfg.Recorder != nil {
		p.cfg.Recorder.Record(decision)
	}
}

// enqueue makes an item wait.
func (p *Pool) enqueue(now time.Time, it *item) {
	it.class.waiting++
	it.class.newest = maxTime(it.class.newest, it.due)
	it.class.admitted.add(now, p.cfg.DrainWindow)
	it.class.push(it)
	p.waiting[it.ask.ID] = it
	heap.Push(&p.expiry, it)
}

// leave takes a waiting item out of every structure.
func (p *Pool) leave(it *item) {
	delete(p.waiting, it.ask.ID)
	heap.Remove(&p.expiry, it.expiry)
	it.class.waiting--
	if it.position >= 0 {
		it.class.remove(it)
		return
	}
	p.unpark(it)
}
