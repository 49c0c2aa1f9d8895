// Package broker runs the pools' queues: it finds the daemon that brokers a pool,
// asks it for permits, and takes the role over when that daemon goes.
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

// Broker implements routing.Broker over all daemons, and membership.Exchange.
// Methods may be called concurrently.
type Broker struct {
	opts   Options
	ctx    context.Context
	ledger *ledger

	mu       sync.RWMutex
	paths    map[string]*path
	queues   map[string]*queue
	locals   map[string]*queue
	outboxes map[string]*outbox

	endpoints endpointWatch
	rounds    rounds
}

// New starts the broker's rounds; they end with ctx.
func New(ctx context.Context, opts Options) *Broker {
	b := &Broker{
		opts:     opts.withDefaults(),
		ctx:      ctx,
		ledger:   newLedger(),
		paths:    map[string]*path{},
		queues:   map[string]*queue{},
		locals:   map[string]*queue{},
		outboxes: map[string]*outbox{},
	}
	b.endpoints.init()
	b.rounds.init(b.now())
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

// path returns the way to a pool, which is made on first use.
func (b *Broker) path(pool string) *path {
	b.mu.RLock()
	p, ok := b.paths[pool]
	b.mu.RUnlock()
	if ok {
		return p
	}
	b.refreshPath(pool)
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.paths[pool]
}

// Release implements routing.Broker. The report is offered to the pool's broker,
// whichever daemon that is by then.
func (b *Broker) Release(report routing.Report) {
	if h := b.ledger.remove(report.AttemptID); h != nil {
		report.AttemptID = h.ask.ID
		report.Pool = h.ask.Pool
	}
	b.mu.RLock()
	local := b.locals[report.Pool]
	b.mu.RUnlock()
	if local != nil {
		local.release(b.now(), report)
	}
	b.send(report)
}

// Progress updates what is known of a running grant, for a broker that takes over.
func (b *Broker) Progress(askID string, outputTokens int) { b.ledger.progress(askID, outputTokens) }

// send offers a report to the pool's broker.
func (b *Broker) send(report routing.Report) {
	if r, _ := b.path(report.Pool).now(); r.kind == routeSelf {
		if q, err := b.brokered(report.Pool); err == nil {
			q.release(b.now(), report)
			return
		}
	}
	box := b.outbox(report.Pool)
	if box.add(b.now(), report) {
		go b.empty(report.Pool, box)
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

// empty sends batches until none is left. What can not be sent is tried again
// until it is too old, so that the loop ends.
func (b *Broker) empty(pool string, box *outbox) {
	for b.ctx.Err() == nil {
		batch := box.take(b.now())
		if len(batch) == 0 {
			return
		}
		reports := lo.Map(batch, func(p pendingReport, _ int) routing.Report { return p.report })
		if b.sendBatch(pool, reports) == nil {
			continue
		}
		box.putBack(batch)
		select {
		case <-b.ctx.Done():
		case <-b.opts.Clock.After(resendDelay):
		}
	}
}

func (b *Broker) sendBatch(pool string, reports []routing.Report) error {
	r, _ := b.path(pool).now()
	switch r.kind {
	case routeSelf:
		return b.ReleaseFor(b.ctx, reports)
	case routePeer:
		return b.opts.Peers.Release(b.ctx, r.member.PeerAddress, reports)
	default:
		return notBroker(pool)
	}
}

// brokered returns the queue of a pool that is brokered here.
func (b *Broker) brokered(pool string) (*queue, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if q, ok := b.queues[pool]; ok {
		return q, nil
	}
	return nil, notBroker(pool)
}

// AcquireFor answers a peer's Acquire; the failure is NotBroker if another daemon brokers the pool.
func (b *Broker) AcquireFor(ctx context.Context, ask routing.PermitRequest) (routing.Grant, error) {
	b.path(ask.Pool)
	q, err := b.brokered(ask.Pool)
	if err != nil {
		return routing.Grant{}, err
	}
	b.updateFleet(b.now(), q, b.opts.View.Members())
	return q.acquire(ctx, b.now, ask)
}

// ReleaseFor answers a peer's Release.
func (b *Broker) ReleaseFor(_ context.Context, reports []routing.Report) error {
	for _, r := range reports {
		q, err := b.brokered(r.Pool)
		if err != nil {
			return err
		}
		q.release(b.now(), r)
	}
	return nil
}

// ProgressFor takes a peer's statement of every grant it has running in a pool.
func (b *Broker) ProgressFor(_ context.Context, daemon, pool string, running []routing.Progress) error {
	q, err := b.brokered(pool)
	if err != nil {
		return err
	}
	m, ok := lo.Find(b.opts.View.Members(), func(m membership.Member) bool { return m.ID == daemon })
	if !ok {
		return failure.New(failure.NotFound, "no member of the name "+daemon)
	}
	q.restate(b.now(), daemon, m.Incarnation, running)
	return nil
}

// Brokers returns the IDs of the daemons that broker the pools in use here.
func (b *Broker) Brokers() []string {
	ids := lo.FilterMap(b.ledger.used(), func(pool string, _ int) (string, bool) {
		r, _ := b.path(pool).now()
		return r.member.ID, r.kind == routePeer
	})
	return lo.Uniq(ids)
}

// Stats describes the pools decided here, those decided alone included, by name.
func (b *Broker) Stats() []scheduling.Stats {
	now := b.now()
	out := lo.Map(b.decidedHere(), func(q *queue, _ int) scheduling.Stats { return q.parts.Pool.Stats(now) })
	slices.SortFunc(out, func(x, y scheduling.Stats) int { return lo.Ternary(x.Pool < y.Pool, -1, 1) })
	return out
}

// decidedHere lists the queues of this daemon, local ones included.
func (b *Broker) decidedHere() []*queue {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return append(lo.Values(b.queues), lo.Values(b.locals)...)
}
