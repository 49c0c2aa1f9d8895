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
	// suspensionThreshold is the gap between two rounds after which this daemon counts as
	// suspended in between, so that its counts of running grants are out of date.
	suspensionThreshold = time.Second
	// localQueueIdleTimeout is how long an unused local queue is kept.
	localQueueIdleTimeout = time.Minute
)

// roundState is what one round keeps for the next.
type roundState struct {
	lastRound time.Time
	members   []membership.Member
	snapshot  *catalog.Snapshot
	// suspectedSince is when a member was first seen as suspected.
	suspectedSince map[string]time.Time
	incarnations   map[string]string
	dropped        map[string]bool

	mu            sync.Mutex
	localLastUsed map[string]time.Time
	restating     map[string]bool
}

func (r *roundState) init(now time.Time) {
	r.lastRound = now
	r.suspectedSince = map[string]time.Time{}
	r.incarnations = map[string]string{}
	r.dropped = map[string]bool{}
	r.localLastUsed = map[string]time.Time{}
	r.restating = map[string]bool{}
}

// inputsChanged reports whether the members or the configuration differ from the last round's.
// Both are replaced rather than modified, so that comparing pointers suffices.
func (r *roundState) inputsChanged(members []membership.Member, snapshot *catalog.Snapshot) bool {
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
	resumed := now.Sub(b.roundState.lastRound) > suspensionThreshold
	b.roundState.lastRound = now
	members := b.opts.View.Members()
	if b.roundState.inputsChanged(members, b.opts.Config.Current()) {
		b.refreshRoutes()
	}
	b.dropStaleMembers(now, members)
	b.dropIdleLocalQueues(now)
	b.probeUnreachableBrokers(now)
	for _, q := range b.allQueues() {
		if resumed && !q.local {
			q.enterConservativeMode(now, now.Add(b.opts.ConservativeFor))
		}
		b.updateFleet(now, q, members)
		if q.local || q.advanceTakeover(now, members) {
			q.tick(now)
		}
	}
}

// refreshRoutes determines the route of every service, and of every pool in use, again.
func (b *Broker) refreshRoutes() {
	services := lo.Map(b.opts.Config.Current().Services(), func(s catalog.Service, _ int) string { return s.Name })
	b.mu.RLock()
	pools := lo.Uniq(append(services, lo.Keys(b.routes)...))
	b.mu.RUnlock()
	for _, pool := range pools {
		b.refreshRoute(pool)
	}
}

// refreshRoute determines a pool's route, takes or gives up the broker role if it changed, and
// restates this daemon's grants to a new broker.
func (b *Broker) refreshRoute(pool string) {
	b.mu.Lock()
	r := decideRoute(pool, b.self(), b.opts.View.Members())
	p, ok := b.routes[pool]
	changed := !ok
	if ok {
		changed = p.update(r)
	} else {
		b.routes[pool] = newPoolRoute(r)
	}
	if changed {
		b.updateRole(pool, r)
	}
	b.mu.Unlock()
	if changed {
		b.restateGrants(pool, r)
	}
}

// updateRole creates or closes the queue of a pool. b.mu must be held.
func (b *Broker) updateRole(pool string, r route) {
	b.opts.Logger.WithFields(logrus.Fields{
		"event": "broker_route", "pool": pool, "route": string(r.kind), "broker": r.member.ID,
	}).Info("pool broker selected")
	q, isBroker := b.brokeredQueues[pool]
	if isBroker && r.kind != routeSelf {
		delete(b.brokeredQueues, pool)
		b.leaving.forget(q)
		q.close()
		return
	}
	if !isBroker && r.kind == routeSelf {
		b.brokeredQueues[pool] = b.newBrokeredQueue(pool)
	}
}

func (b *Broker) newBrokeredQueue(pool string) *queue {
	self, now := b.self(), b.now()
	q := newQueue(pool, false, b.opts.Factory(pool, false), self.ID+"/"+self.Incarnation, b.opts.Recorder)
	q.restateDeadline = now.Add(b.opts.RestateTimeout)
	q.enterConservativeMode(now, now.Add(b.opts.ConservativeFor))
	b.updateFleet(now, q, b.opts.View.Members())
	return q
}

// localQueue returns the queue for local decisions on a pool, created on first use.
func (b *Broker) localQueue(pool string) *queue {
	now := b.now()
	b.roundState.mu.Lock()
	b.roundState.localLastUsed[pool] = now
	b.roundState.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if q, ok := b.localQueues[pool]; ok {
		return q
	}
	self := b.self()
	q := newQueue(pool, true, b.opts.Factory(pool, true), self.ID+"/"+self.Incarnation, b.opts.Recorder)
	b.updateFleet(now, q, b.opts.View.Members())
	q.advanceTakeover(now, nil)
	q.reconcile(now, self.ID, self.Incarnation, b.ledger.running(now, pool))
	b.localQueues[pool] = q
	return q
}

func (b *Broker) dropIdleLocalQueues(now time.Time) {
	b.roundState.mu.Lock()
	defer b.roundState.mu.Unlock()
	for pool, used := range b.roundState.localLastUsed {
		if now.Sub(used) < localQueueIdleTimeout {
			continue
		}
		b.mu.Lock()
		if q, ok := b.localQueues[pool]; ok && q.idle() {
			b.leaving.forget(q)
			delete(b.localQueues, pool)
			delete(b.roundState.localLastUsed, pool)
		}
		b.mu.Unlock()
	}
}

func (q *queue) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0 && len(q.granted) == 0
}

// dropStaleMembers ends the grants of daemons that were replaced, removed, or suspected for DropSuspectAfter.
func (b *Broker) dropStaleMembers(now time.Time, members []membership.Member) {
	seen := make(map[string]bool, len(members))
	for _, m := range members {
		seen[m.ID] = true
		if previous := b.roundState.incarnations[m.ID]; previous != "" && previous != m.Incarnation {
			b.dropDaemon(now, m.ID)
		}
		b.roundState.incarnations[m.ID] = m.Incarnation
		b.dropSuspected(now, m)
	}
	for id := range b.roundState.incarnations {
		if !seen[id] {
			b.dropDaemon(now, id)
			delete(b.roundState.incarnations, id)
			delete(b.roundState.suspectedSince, id)
			delete(b.roundState.dropped, id)
		}
	}
}

func (b *Broker) dropSuspected(now time.Time, m membership.Member) {
	if m.State != membership.Suspected {
		delete(b.roundState.suspectedSince, m.ID)
		delete(b.roundState.dropped, m.ID)
		return
	}
	since, ok := b.roundState.suspectedSince[m.ID]
	if !ok {
		b.roundState.suspectedSince[m.ID] = now
		return
	}
	if now.Sub(since) >= b.opts.DropSuspectAfter && !b.roundState.dropped[m.ID] {
		b.roundState.dropped[m.ID] = true
		b.dropDaemon(now, m.ID)
	}
}

func (b *Broker) dropDaemon(now time.Time, daemon string) {
	for _, q := range b.allQueues() {
		if !q.local {
			q.dropDaemon(now, daemon)
		}
	}
}
