// Package broker decides permit requests for pools. One daemon at a time is the broker of a
// pool and holds its queue; the others call it, and the next in rank takes the role over when
// it leaves or fails. A daemon restates its grants to a new broker: it sends the complete
// list of those that it has running. A daemon that can not reach a pool's broker decides
// locally, within its share of the endpoints' limits.
package broker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
)

// Broker implements routing.Broker across all daemons, and membership.Exchange.
// Methods may be called concurrently.
type Broker struct {
	opts   Options
	ctx    context.Context
	ledger *ledger

	mu             sync.RWMutex
	routes         map[string]*poolRoute
	brokeredQueues map[string]*queue
	localQueues    map[string]*queue
	outboxes       map[string]*outbox

	leaving    leavingTracker
	roundState roundState
}

// New starts a Broker, whose background loops end with ctx.
func New(ctx context.Context, opts Options) *Broker {
	b := &Broker{
		opts:           opts.withDefaults(),
		ctx:            ctx,
		ledger:         newLedger(),
		routes:         map[string]*poolRoute{},
		brokeredQueues: map[string]*queue{},
		localQueues:    map[string]*queue{},
		outboxes:       map[string]*outbox{},
	}
	b.leaving.init()
	b.roundState.init(b.now())
	go b.run(ctx, b.opts.Clock.NewTicker(b.opts.TickInterval))
	if b.opts.LoadReader != nil {
		go b.readLoads(ctx, b.opts.Clock.NewTicker(b.opts.LoadInterval))
	}
	if b.opts.Store != nil {
		go b.readVMs(ctx, b.opts.Clock.NewTicker(b.opts.VMInterval))
	}
	return b
}

func (b *Broker) now() time.Time { return b.opts.Clock.Now() }

func (b *Broker) self() membership.Member { return b.opts.View.Self() }

// routeOf returns the route of a pool and determines it on first use.
func (b *Broker) routeOf(pool string) *poolRoute {
	b.mu.RLock()
	p, ok := b.routes[pool]
	b.mu.RUnlock()
	if ok {
		return p
	}
	b.refreshRoute(pool)
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.routes[pool]
}

// Release implements routing.Broker. The report goes to the daemon that brokers the pool
// at the time of sending, which need not be the one that made the grant.
func (b *Broker) Release(report routing.Report) {
	if held := b.ledger.remove(report.AttemptID); held != nil {
		report.AttemptID = held.request.ID
		report.Pool = held.request.Pool
	}
	b.mu.RLock()
	local := b.localQueues[report.Pool]
	b.mu.RUnlock()
	if local != nil {
		local.release(b.now(), report)
	}
	b.sendReport(report)
}

// Progress records the output so far of a running grant, to be restated to a new broker.
func (b *Broker) Progress(attemptID string, outputTokens int) {
	b.ledger.progress(attemptID, outputTokens)
}

// sendReport releases the grant in this daemon's queue, or queues the report for the pool's broker.
func (b *Broker) sendReport(report routing.Report) {
	if r, _ := b.routeOf(report.Pool).current(); r.kind == routeSelf {
		if q, err := b.brokeredQueue(report.Pool); err == nil {
			q.release(b.now(), report)
			return
		}
	}
	box := b.outbox(report.Pool)
	if box.add(b.now(), report) {
		go b.flushOutbox(report.Pool, box)
	}
}

func (b *Broker) outbox(pool string) *outbox {
	b.mu.Lock()
	defer b.mu.Unlock()
	box, ok := b.outboxes[pool]
	if !ok {
		box = &outbox{}
		b.outboxes[pool] = box
	}
	return box
}

// flushOutbox sends batches until the outbox is empty. A batch that fails is sent again;
// the loop ends because reports expire after reportMaxAge.
func (b *Broker) flushOutbox(pool string, box *outbox) {
	for b.ctx.Err() == nil {
		batch := box.takeBatch(b.now())
		if len(batch) == 0 {
			return
		}
		reports := lo.Map(batch, func(p pendingReport, _ int) routing.Report { return p.report })
		if b.sendBatch(pool, reports) == nil {
			continue
		}
		box.requeue(batch)
		select {
		case <-b.ctx.Done():
		case <-b.opts.Clock.After(resendDelay):
		}
	}
}

func (b *Broker) sendBatch(pool string, reports []routing.Report) error {
	r, _ := b.routeOf(pool).current()
	switch r.kind {
	case routeSelf:
		return b.ReleaseFor(b.ctx, reports)
	case routePeer:
		return b.opts.Peers.Release(b.ctx, r.member.PeerAddress, reports)
	default:
		return notBroker(pool)
	}
}

// brokeredQueue returns the queue of a pool, or NotBroker if another daemon brokers it.
func (b *Broker) brokeredQueue(pool string) (*queue, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if q, ok := b.brokeredQueues[pool]; ok {
		return q, nil
	}
	return nil, notBroker(pool)
}

// AcquireFor handles a peer's Acquire. It fails with NotBroker if another daemon brokers the pool.
func (b *Broker) AcquireFor(ctx context.Context, request routing.PermitRequest) (routing.Grant, error) {
	b.routeOf(request.Pool)
	q, err := b.brokeredQueue(request.Pool)
	if err != nil {
		return routing.Grant{}, err
	}
	b.updateFleet(b.now(), q, b.opts.View.Members())
	return q.acquire(ctx, b.now, request)
}

// ReleaseFor handles a peer's Release. It fails with NotBroker if another daemon brokers a report's pool.
func (b *Broker) ReleaseFor(_ context.Context, reports []routing.Report) error {
	for _, r := range reports {
		q, err := b.brokeredQueue(r.Pool)
		if err != nil {
			return err
		}
		q.release(b.now(), r)
	}
	return nil
}

// ProgressFor handles a peer's restatement: running is every grant that it has in the pool.
func (b *Broker) ProgressFor(_ context.Context, daemon, pool string, running []routing.Progress) error {
	q, err := b.brokeredQueue(pool)
	if err != nil {
		return err
	}
	m, ok := lo.Find(b.opts.View.Members(), func(m membership.Member) bool { return m.ID == daemon })
	if !ok {
		return failure.New(failure.NotFound, "no member of the name "+daemon)
	}
	q.reconcile(b.now(), daemon, m.Incarnation, running)
	return nil
}

// Brokers returns the IDs of the other daemons that broker pools in which this daemon has grants.
func (b *Broker) Brokers() []string {
	ids := lo.FilterMap(b.ledger.poolsInUse(), func(pool string, _ int) (string, bool) {
		r, _ := b.routeOf(pool).current()
		return r.member.ID, r.kind == routePeer
	})
	return lo.Uniq(ids)
}

// Stats returns statistics of the pools decided on this daemon, locally decided ones included, sorted by name.
func (b *Broker) Stats() []scheduling.Stats {
	now := b.now()
	out := lo.Map(b.allQueues(), func(q *queue, _ int) scheduling.Stats { return q.parts.Pool.Stats(now) })
	slices.SortFunc(out, func(x, y scheduling.Stats) int { return lo.Ternary(x.Pool < y.Pool, -1, 1) })
	return out
}

// allQueues returns the brokered and the local queues of this daemon.
func (b *Broker) allQueues() []*queue {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return append(lo.Values(b.brokeredQueues), lo.Values(b.localQueues)...)
}
