package broker

import (
	"context"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
)

const (
	// settleTime is how long a grant or its end may be on its way between daemons.
	settleTime = 2 * time.Second
	// endedKept is the number of ended grants that a late restatement does not bring back.
	endedKept = 8192
)

// queue is a pool that is decided on this daemon, with the calls that wait on it.
type queue struct {
	name     string
	local    bool
	parts    PoolParts
	broker   string
	recorder DecisionRecorder

	mu      sync.Mutex
	waiting map[string]chan scheduling.Decision
	granted map[string]granted
	ended   *lru.Cache[string, struct{}]
	closed  bool
	// opened is closed when a new broker takes asks, or gives up the role.
	opened chan struct{}
	// openedAt is when it began to take asks; zero before.
	openedAt time.Time
	// holdUntil is when it begins at the latest.
	holdUntil time.Time
	// restated holds the incarnation of each daemon that has restated its grants.
	restated map[string]string
	cautious time.Time
	// mismatches counts heartbeats in a row whose digest differs, by daemon.
	mismatches map[string]int
	askedAt    map[string]time.Time
}

// granted is a running grant; the grant is empty if an earlier broker made it.
type granted struct {
	daemon string
	since  time.Time
	grant  routing.Grant
}

func newQueue(name string, local bool, parts PoolParts, broker string, recorder DecisionRecorder) *queue {
	ended, _ := lru.New[string, struct{}](endedKept) // Fails only for a size below 1.
	return &queue{
		name:       name,
		local:      local,
		parts:      parts,
		broker:     broker,
		recorder:   recorder,
		waiting:    map[string]chan scheduling.Decision{},
		granted:    map[string]granted{},
		ended:      ended,
		opened:     make(chan struct{}),
		restated:   map[string]string{},
		mismatches: map[string]int{},
		askedAt:    map[string]time.Time{},
	}
}

func notBroker(pool string) error {
	return failure.New(failure.NotBroker, "this daemon does not broker the pool "+pool)
}

// acquire waits for the decision on ask. A second call with the same ask ID takes
// the place of the first, or gets the same grant again.
func (q *queue) acquire(ctx context.Context, now func() time.Time, ask routing.PermitRequest) (routing.Grant, error) {
	held := now()
	select {
	case <-q.opened:
	case <-ctx.Done():
		return routing.Grant{}, gone()
	}
	ask.Waited += now().Sub(held)
	w, known, err := q.enter(ask.ID)
	if err != nil {
		return routing.Grant{}, err
	}
	if !known {
		q.deliver(now(), q.parts.Pool.Submit(now(), ask))
	}
	select {
	case d := <-w:
		return q.result(ctx, now, d)
	case <-ctx.Done():
		return routing.Grant{}, q.leave(now(), ask.ID, w)
	}
}

// enter registers a waiter; known is true if the ask was submitted before.
func (q *queue) enter(id string) (w chan scheduling.Decision, known bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, false, notBroker(q.name)
	}
	w = make(chan scheduling.Decision, 1)
	if g, ok := q.granted[id]; ok && g.grant.AttemptID != "" {
		w <- scheduling.Decision{Kind: scheduling.Granted, Grant: g.grant}
		return w, true, nil
	}
	earlier, known := q.waiting[id]
	if known {
		earlier <- q.refusal(routing.PermitRequest{ID: id})
	}
	q.waiting[id] = w
	return w, known, nil
}

// result turns a decision into the answer; a grant that nobody waits for any more is given back.
func (q *queue) result(ctx context.Context, now func() time.Time, d scheduling.Decision) (routing.Grant, error) {
	if d.Kind != scheduling.Granted {
		return routing.Grant{}, d.Failure
	}
	if ctx.Err() != nil {
		q.giveBack(now(), d.Grant)
		return routing.Grant{}, gone()
	}
	return d.Grant, nil
}

// leave takes an ask out because its caller left.
func (q *queue) leave(now time.Time, id string, w chan scheduling.Decision) error {
	q.mu.Lock()
	mine := q.waiting[id] == w
	if mine {
		delete(q.waiting, id)
	}
	q.mu.Unlock()
	if mine {
		q.deliver(now, q.parts.Pool.Cancel(now, id))
		return gone()
	}
	if d := <-w; d.Kind == scheduling.Granted {
		q.giveBack(now, d.Grant)
	}
	return gone()
}

func gone() error {
	return failure.New(failure.ClientGone, "the caller left before a permit was granted").WithOutcome(failure.NotRun)
}

func (q *queue) giveBack(now time.Time, g routing.Grant) {
	q.release(now, routing.Report{AttemptID: g.AttemptID, Pool: q.name, Endpoint: g.Endpoint.Name, Result: routing.ResultCancelled})
}

// deliver hands decisions to those who wait. A grant without a waiter is given back.
func (q *queue) deliver(now time.Time, decisions []scheduling.Decision) {
	for _, d := range decisions {
		d.Grant.Broker = q.broker
		orphan := q.settle(now, d)
		if d.Reason != scheduling.ReasonCancelled {
			q.recorder.Record(q.name, q.local, d)
		}
		if orphan {
			q.giveBack(now, d.Grant)
		}
	}
}

func (q *queue) settle(now time.Time, d scheduling.Decision) (orphan bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w, waits := q.waiting[d.Request.ID]
	delete(q.waiting, d.Request.ID)
	if d.Kind == scheduling.Granted {
		q.granted[d.Request.ID] = granted{daemon: d.Request.Daemon, since: now, grant: d.Grant}
	}
	if waits {
		w <- d
	}
	return !waits && d.Kind == scheduling.Granted
}

// release ends a grant. It is idempotent.
func (q *queue) release(now time.Time, report routing.Report) {
	q.mu.Lock()
	delete(q.granted, report.AttemptID)
	q.ended.Add(report.AttemptID, struct{}{})
	q.mu.Unlock()
	q.deliver(now, q.parts.Pool.Release(now, report))
}

func (q *queue) tick(now time.Time) { q.deliver(now, q.parts.Pool.Tick(now)) }

// close refuses everyone who waits, because another daemon brokers the pool now.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.open()
	for id, w := range q.waiting {
		w <- q.refusal(routing.PermitRequest{ID: id})
		delete(q.waiting, id)
	}
}

// open lets asks in; the lock is held.
func (q *queue) open() {
	select {
	case <-q.opened:
	default:
		close(q.opened)
	}
}

func (q *queue) refusal(ask routing.PermitRequest) scheduling.Decision {
	return scheduling.Decision{Kind: scheduling.Refused, Request: ask, Failure: failure.From(notBroker(q.name))}
}
