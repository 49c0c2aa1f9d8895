package broker

import (
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/membership"
)

// restate tells the broker of a pool every grant that is running here.
func (b *Broker) restate(pool string, r route) {
	if r.kind == routeSelf {
		q, err := b.brokered(pool)
		if err == nil {
			self := b.self()
			q.restate(b.now(), self.ID, self.Incarnation, b.ledger.running(b.now(), pool))
		}
		return
	}
	if r.kind != routePeer || !b.rounds.startRestating(pool) {
		return
	}
	go func() {
		defer b.rounds.endRestating(pool)
		running := b.ledger.running(b.now(), pool)
		_ = b.opts.Peers.Progress(b.ctx, r.member.PeerAddress, b.self().ID, pool, running) // The broker asks again.
	}()
}

// lookForBrokers calls the brokers that were not found before. Those who wait on this
// daemon's own decisions ask the broker again once it answers, also when no new ask comes.
func (b *Broker) lookForBrokers(now time.Time) {
	b.mu.RLock()
	lost := lo.PickBy(b.paths, func(_ string, p *path) bool { return p.takeProbe(now) })
	b.mu.RUnlock()
	for pool, p := range lost {
		r, _ := p.now()
		go func() {
			err := b.opts.Peers.Progress(b.ctx, r.member.PeerAddress, b.self().ID, pool, b.ledger.running(b.now(), pool))
			if err == nil {
				p.found()
			}
		}()
	}
}

func (r *rounds) startRestating(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restating[pool] {
		return false
	}
	r.restating[pool] = true
	return true
}

func (r *rounds) endRestating(pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.restating, pool)
}

// Outgoing implements membership.Exchange: digests of what runs here to the brokers
// of those pools, and to all others which pools they should restate.
func (b *Broker) Outgoing(to membership.Member) membership.Payload {
	var out membership.Payload
	for _, pool := range b.ledger.used() {
		if r, _ := b.path(pool).now(); r.kind == routePeer && r.member.ID == to.ID {
			out.Running = append(out.Running, digestOf(pool, b.ledger.ids(pool)))
		}
	}
	now := b.now()
	for _, q := range b.decidedHere() {
		if !q.local && to.ID != "" && q.wantsRestate(now, to) {
			out.Restate = append(out.Restate, q.name)
		}
	}
	return out
}

// Incoming implements membership.Exchange.
func (b *Broker) Incoming(from membership.Member, payload membership.Payload) {
	stated := lo.KeyBy(payload.Running, func(d membership.RunningDigest) string { return d.Pool })
	for _, q := range b.decidedHere() {
		if q.local {
			continue
		}
		d, ok := stated[q.name]
		if !ok {
			d = digestOf(q.name, nil)
		}
		q.compare(from.ID, d)
	}
	for _, pool := range payload.Restate {
		if r, _ := b.path(pool).now(); r.kind == routePeer && r.member.ID == from.ID {
			b.restate(pool, r)
		}
	}
}
