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
	// maxTransitTime is how long a grant or its release may be in transit between daemons.
	maxTransitTime = 2 * time.Second
	// maxEndedGrants is the number of ended grants remembered, so that a late restatement does not restore them.
	maxEndedGrants = 8192
)

// queue holds a pool that is decided on this daemon, and the calls that wait for a decision.
type queue struct {
	name     string
	local    bool
	parts    PoolParts
	broker   string
	recorder DecisionRecorder

	mu      sync.Mutex
	waiting map[string]chan scheduling.Decision
	granted map[string]runningGrant
	ended   *lru.Cache[string, struct{}]
	closed  bool
	// opened is closed when a new broker starts to accept permit requests, or gives up the role.
	opened chan struct{}
	// openedAt is when it started to accept them; zero before.
	openedAt time.Time
	// restateDeadline is the latest time at which it starts.
	restateDeadline time.Time
	// restated holds the incarnation of each daemon that has restated its grants.
	restated          map[string]string
	conservativeUntil time.Time
	// mismatches counts consecutive heartbeats whose digest differs, by daemon.
	mismatches         map[string]int
	restateRequestedAt map[string]time.Time
}

// runningGrant is a grant in use; grant is empty if an earlier broker made it.
type runningGrant struct {
	daemon string
	since  time.Time
	grant  routing.Grant
}

func newQueue(name string, local bool, parts PoolParts, broker string, recorder DecisionRecorder) *queue {
	ended, _ := lru.New[string, struct{}](maxEndedGrants) // Fails only for a size below 1.
	return &queue{
		name:               name,
		local:              local,
		parts:              parts,
		broker:             broker,
		recorder:           recorder,
		waiting:            map[string]chan scheduling.Decision{},
		granted:            map[string]runningGrant{},
		ended:              ended,
		opened:             make(chan struct{}),
		restated:           map[string]string{},
		mismatches:         map[string]int{},
		restateRequestedAt: map[string]time.Time{},
	}
}

func notBroker(pool string) error {
	return failure.New(failure.NotBroker, "this daemon does not broker the pool "+pool)
}

// acquire waits for the decision on a permit request. A second call with the same attempt ID
// replaces the first, which is refused, or gets the grant that was already made.
func (q *queue) acquire(ctx context.Context, now func() time.Time, request routing.PermitRequest) (routing.Grant, error) {
	waitStart := now()
	select {
	case <-q.opened:
	case <-ctx.Done():
		return routing.Grant{}, callerDisconnected()
	}
	request.Waited += now().Sub(waitStart)
	w, submitted, err := q.register(request.ID)
	if err != nil {
		return routing.Grant{}, err
	}
	if !submitted {
		q.deliver(now(), q.parts.Pool.Submit(now(), request))
	}
	select {
	case d := <-w:
		return q.grantOrError(ctx, now, d)
	case <-ctx.Done():
		return routing.Grant{}, q.withdraw(now(), request.ID, w)
	}
}

// register adds a waiter; submitted is true if the permit request is in the queue already.
func (q *queue) register(attemptID string) (w chan scheduling.Decision, submitted bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, false, notBroker(q.name)
	}
	w = make(chan scheduling.Decision, 1)
	if g, ok := q.granted[attemptID]; ok && g.grant.AttemptID != "" {
		w <- scheduling.Decision{Kind: scheduling.Granted, Grant: g.grant}
		return w, true, nil
	}
	earlier, submitted := q.waiting[attemptID]
	if submitted {
		earlier <- q.refusal(routing.PermitRequest{ID: attemptID})
	}
	q.waiting[attemptID] = w
	return w, submitted, nil
}

// grantOrError returns the grant or the refusal; a grant whose caller disconnected is released.
func (q *queue) grantOrError(ctx context.Context, now func() time.Time, d scheduling.Decision) (routing.Grant, error) {
	if d.Kind != scheduling.Granted {
		return routing.Grant{}, d.Failure
	}
	if ctx.Err() != nil {
		q.releaseUnused(now(), d.Grant)
		return routing.Grant{}, callerDisconnected()
	}
	return d.Grant, nil
}

// withdraw removes a permit request whose caller disconnected.
func (q *queue) withdraw(now time.Time, attemptID string, w chan scheduling.Decision) error {
	q.mu.Lock()
	stillWaiting := q.waiting[attemptID] == w
	if stillWaiting {
		delete(q.waiting, attemptID)
	}
	q.mu.Unlock()
	if stillWaiting {
		q.deliver(now, q.parts.Pool.Cancel(now, attemptID))
		return callerDisconnected()
	}
	if d := <-w; d.Kind == scheduling.Granted {
		q.releaseUnused(now, d.Grant)
	}
	return callerDisconnected()
}

func callerDisconnected() error {
	return failure.New(failure.ClientGone, "the caller left before a permit was granted").WithOutcome(failure.NotRun)
}

func (q *queue) releaseUnused(now time.Time, g routing.Grant) {
	q.release(now, routing.Report{AttemptID: g.AttemptID, Pool: q.name, Endpoint: g.Endpoint.Name, Result: routing.ResultCancelled})
}

// deliver passes decisions to the waiting calls and records them. A grant without a waiter is released.
func (q *queue) deliver(now time.Time, decisions []scheduling.Decision) {
	for _, d := range decisions {
		d.Grant.Broker = q.broker
		unclaimed := q.resolve(now, d)
		if d.Reason != scheduling.ReasonCancelled {
			q.recorder.Record(q.name, q.local, d)
		}
		if unclaimed {
			q.releaseUnused(now, d.Grant)
		}
	}
}

func (q *queue) resolve(now time.Time, d scheduling.Decision) (unclaimed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w, waits := q.waiting[d.Request.ID]
	delete(q.waiting, d.Request.ID)
	if d.Kind == scheduling.Granted {
		q.granted[d.Request.ID] = runningGrant{daemon: d.Request.Daemon, since: now, grant: d.Grant}
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

// close refuses every waiting call, because another daemon brokers the pool now.
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

// open starts to accept permit requests. q.mu must be held.
func (q *queue) open() {
	select {
	case <-q.opened:
	default:
		close(q.opened)
	}
}

func (q *queue) refusal(request routing.PermitRequest) scheduling.Decision {
	return scheduling.Decision{Kind: scheduling.Refused, Request: request, Failure: failure.From(notBroker(q.name))}
}
