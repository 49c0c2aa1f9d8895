package broker

import (
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/membership"
)

// restateGrants sends the pool's broker every grant that is running on this daemon.
func (b *Broker) restateGrants(pool string, r route) {
	if r.kind == routeSelf {
		q, err := b.brokeredQueue(pool)
		if err == nil {
			self := b.self()
			q.reconcile(b.now(), self.ID, self.Incarnation, b.ledger.running(b.now(), pool))
		}
		return
	}
	if r.kind != routePeer || !b.roundState.startRestating(pool) {
		return
	}
	go func() {
		defer b.roundState.endRestating(pool)
		running := b.ledger.running(b.now(), pool)
		_ = b.opts.Peers.Progress(b.ctx, r.member.PeerAddress, b.self().ID, pool, running) // After a failure the broker requests it again with a heartbeat.
	}()
}

// probeUnreachableBrokers calls the brokers that could not be reached before. Once one
// responds, requests that wait in the local queue go to it, even if no new request arrives.
func (b *Broker) probeUnreachableBrokers(now time.Time) {
	b.mu.RLock()
	unreachable := lo.PickBy(b.routes, func(_ string, p *poolRoute) bool { return p.probeDue(now) })
	b.mu.RUnlock()
	for pool, p := range unreachable {
		r, _ := p.current()
		go func() {
			err := b.opts.Peers.Progress(b.ctx, r.member.PeerAddress, b.self().ID, pool, b.ledger.running(b.now(), pool))
			if err == nil {
				p.endFallback()
			}
		}()
	}
}

func (r *roundState) startRestating(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restating[pool] {
		return false
	}
	r.restating[pool] = true
	return true
}

func (r *roundState) endRestating(pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.restating, pool)
}

// Outgoing implements membership.Exchange. It sends a digest of the grants running here to
// the brokers of their pools, and requests restatements for the pools brokered here.
func (b *Broker) Outgoing(to membership.Member) membership.Payload {
	var out membership.Payload
	for _, pool := range b.ledger.poolsInUse() {
		if r, _ := b.routeOf(pool).current(); r.kind == routePeer && r.member.ID == to.ID {
			out.Running = append(out.Running, digestOf(pool, b.ledger.attemptIDs(pool)))
		}
	}
	now := b.now()
	for _, q := range b.allQueues() {
		if !q.local && to.ID != "" && q.shouldRequestRestate(now, to) {
			out.Restate = append(out.Restate, q.name)
		}
	}
	return out
}

// Incoming implements membership.Exchange.
func (b *Broker) Incoming(from membership.Member, payload membership.Payload) {
	digests := lo.KeyBy(payload.Running, func(d membership.RunningDigest) string { return d.Pool })
	for _, q := range b.allQueues() {
		if q.local {
			continue
		}
		d, ok := digests[q.name]
		if !ok {
			d = digestOf(q.name, nil)
		}
		q.compareDigest(from.ID, d)
	}
	for _, pool := range payload.Restate {
		if r, _ := b.routeOf(pool).current(); r.kind == routePeer && r.member.ID == from.ID {
			b.restateGrants(pool, r)
		}
	}
}
