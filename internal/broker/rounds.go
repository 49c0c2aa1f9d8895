package broker

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/membership"
)

const (
	// lapseAfter is the gap between two rounds after which this daemon was silent
	// itself, so that what it counts is out of date.
	lapseAfter = time.Second
	// localIdleFor is how long a local queue is kept without use.
	localIdleFor = time.Minute
)

// rounds holds what the ticking goroutine remembers between rounds.
type rounds struct {
	last     time.Time
	members  []membership.Member
	snapshot *catalog.Snapshot
	// suspectedSince is when a member was first seen suspected.
	suspectedSince map[string]time.Time
	incarnations   map[string]string
	expired        map[string]bool

	mu          sync.Mutex
	localUsedAt map[string]time.Time
	restating   map[string]bool
}

func (r *rounds) init(now time.Time) {
	r.last = now
	r.suspectedSince = map[string]time.Time{}
	r.incarnations = map[string]string{}
	r.expired = map[string]bool{}
	r.localUsedAt = map[string]time.Time{}
	r.restating = map[string]bool{}
}

// changed reports whether the view or the configuration is another than in the last
// round. Both are replaced as a whole when they change.
func (r *rounds) changed(members []membership.Member, snapshot *catalog.Snapshot) bool {
	same := r.snapshot == snapshot && len(r.members) == len(members) &&
		(len(members) == 0 || &r.members[0] == &members[0])
	r.members, r.snapshot = members, snapshot
	return !same
}

func (b *Broker) run(ctx context.Context, ticker clockwork.Ticker) {
	defer ticker.Stop()
	for {
		b.round()
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (b *Broker) round() {
	now := b.now()
	lapsed := now.Sub(b.rounds.last) > lapseAfter
	b.rounds.last = now
	members := b.opts.View.Members()
	if b.rounds.changed(members, b.opts.Config.Current()) {
		b.refreshPaths()
	}
	b.expireMembers(now, members)
	b.dropIdleLocals(now)
	b.lookForBrokers(now)
	for _, q := range b.decidedHere() {
		if lapsed && !q.local {
			q.beCautious(now, now.Add(b.opts.CautiousFor))
		}
		b.updateFleet(now, q, members)
		if q.local || q.takeOver(now, members) {
			q.tick(now)
		}
	}
}

// refreshPaths brings the route of every service, and of every pool in use, up to date.
func (b *Broker) refreshPaths() {
	services := lo.Map(b.opts.Config.Current().Services(), func(s catalog.Service, _ int) string { return s.Name })
	b.mu.RLock()
	pools := lo.Uniq(append(services, lo.Keys(b.paths)...))
	b.mu.RUnlock()
	for _, pool := range pools {
		b.refreshPath(pool)
	}
}

// refreshPath takes or gives up the broker role of one pool, and tells a new broker
// what runs here.
func (b *Broker) refreshPath(pool string) {
	b.mu.Lock()
	r := decideRoute(pool, b.self(), b.opts.View.Members())
	p, ok := b.paths[pool]
	changed := !ok
	if ok {
		changed = p.update(r)
	} else {
		b.paths[pool] = newPath(r)
	}
	if changed {
		b.takeOrGiveUp(pool, r)
	}
	b.mu.Unlock()
	if changed {
		b.restate(pool, r)
	}
}

// takeOrGiveUp makes or closes the queue of a pool; the lock is held.
func (b *Broker) takeOrGiveUp(pool string, r route) {
	b.opts.Logger.WithFields(logrus.Fields{
		"event": "broker_route", "pool": pool, "route": string(r.kind), "broker": r.member.ID,
	}).Info("broker of the pool")
	q, brokers := b.queues[pool]
	if brokers && r.kind != routeSelf {
		delete(b.queues, pool)
		b.endpoints.forget(q)
		q.close()
		return
	}
	if !brokers && r.kind == routeSelf {
		b.queues[pool] = b.newBrokeredQueue(pool)
	}
}

func (b *Broker) newBrokeredQueue(pool string) *queue {
	self, now := b.self(), b.now()
	q := newQueue(pool, false, b.opts.Factory(pool, false), self.ID+"/"+self.Incarnation, b.opts.Recorder)
	q.holdUntil = now.Add(b.opts.HoldFor)
	q.beCautious(now, now.Add(b.opts.CautiousFor))
	b.updateFleet(now, q, b.opts.View.Members())
	return q
}

// localQueue returns the queue for deciding alone, which is made on first use.
func (b *Broker) localQueue(pool string) *queue {
	now := b.now()
	b.rounds.mu.Lock()
	b.rounds.localUsedAt[pool] = now
	b.rounds.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if q, ok := b.locals[pool]; ok {
		return q
	}
	self := b.self()
	q := newQueue(pool, true, b.opts.Factory(pool, true), self.ID+"/"+self.Incarnation, b.opts.Recorder)
	b.updateFleet(now, q, b.opts.View.Members())
	q.takeOver(now, nil)
	q.restate(now, self.ID, self.Incarnation, b.ledger.running(now, pool))
	b.locals[pool] = q
	return q
}

func (b *Broker) dropIdleLocals(now time.Time) {
	b.rounds.mu.Lock()
	defer b.rounds.mu.Unlock()
	for pool, used := range b.rounds.localUsedAt {
		if now.Sub(used) < localIdleFor {
			continue
		}
		b.mu.Lock()
		if q, ok := b.locals[pool]; ok && q.idle() {
			b.endpoints.forget(q)
			delete(b.locals, pool)
			delete(b.rounds.localUsedAt, pool)
		}
		b.mu.Unlock()
	}
}

func (q *queue) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0 && len(q.granted) == 0
}

// expireMembers ends the grants of daemons that were replaced, removed, or silent for long.
func (b *Broker) expireMembers(now time.Time, members []membership.Member) {
	seen := make(map[string]bool, len(members))
	for _, m := range members {
		seen[m.ID] = true
		if known := b.rounds.incarnations[m.ID]; known != "" && known != m.Incarnation {
			b.expire(now, m.ID)
		}
		b.rounds.incarnations[m.ID] = m.Incarnation
		b.expireSuspected(now, m)
	}
	for id := range b.rounds.incarnations {
		if !seen[id] {
			b.expire(now, id)
			delete(b.rounds.incarnations, id)
			delete(b.rounds.suspectedSince, id)
			delete(b.rounds.expired, id)
		}
	}
}

func (b *Broker) expireSuspected(now time.Time, m membership.Member) {
	if m.State != membership.Suspected {
		delete(b.rounds.suspectedSince, m.ID)
		delete(b.rounds.expired, m.ID)
		return
	}
	since, ok := b.rounds.suspectedSince[m.ID]
	if !ok {
		b.rounds.suspectedSince[m.ID] = now
		return
	}
	if now.Sub(since) >= b.opts.ExpireAfter && !b.rounds.expired[m.ID] {
		b.rounds.expired[m.ID] = true
		b.expire(now, m.ID)
	}
}

func (b *Broker) expire(now time.Time, daemon string) {
	for _, q := range b.decidedHere() {
		if !q.local {
			q.expire(now, daemon)
		}
	}
}
