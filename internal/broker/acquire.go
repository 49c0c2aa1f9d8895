package broker

import (
	"context"
	"strconv"
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// findDelay is the time between two looks for a broker.
const findDelay = 25 * time.Millisecond

// Acquire implements routing.Broker. While no broker is found it looks again, and
// after AloneAfter the daemon decides alone.
func (b *Broker) Acquire(ctx context.Context, ask routing.PermitRequest) (routing.Grant, error) {
	ask.Daemon = b.self().ID
	p := b.path(ask.Pool)
	start := b.now()
	var lostSince time.Time
	for try := 0; ; try++ {
		now := b.now()
		sent := nthTry(ask, try, now.Sub(start))
		alone := p.decidesAlone() || (!lostSince.IsZero() && now.Sub(lostSince) >= b.opts.AloneAfter)
		grant, err := b.acquireOnce(ctx, p, sent, alone)
		if err == nil {
			b.ledger.add(ask.ID, sent, &held{endpoint: grant.Endpoint.Name, since: b.now()})
			grant.AttemptID = ask.ID
			return grant, nil
		}
		switch {
		case !lookAgain(err):
			return routing.Grant{}, err
		case alone:
			lostSince = time.Time{}
		case lostSince.IsZero():
			lostSince = b.now()
		}
		select {
		case <-ctx.Done():
			return routing.Grant{}, gone()
		case <-b.opts.Clock.After(findDelay):
		}
	}
}

// nthTry gives each try an ID of its own, so that a broker never mistakes a later
// try for an earlier one that was cancelled on the way.
func nthTry(ask routing.PermitRequest, try int, waited time.Duration) routing.PermitRequest {
	ask.Waited += waited
	if try > 0 {
		ask.ID += "~" + strconv.Itoa(try)
	}
	return ask
}

func lookAgain(err error) bool {
	code := failure.CodeOf(err)
	return code == failure.NotBroker || code == failure.PeerUnreachable
}

// acquireOnce asks the pool's present broker, or this daemon's own queue. The wait
// ends with NotBroker when the route changes.
func (b *Broker) acquireOnce(ctx context.Context, p *path, sent routing.PermitRequest, alone bool) (routing.Grant, error) {
	r, changed := p.now()
	if !alone && r.kind != routePeer {
		return b.AcquireFor(ctx, sent)
	}
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-bounded.Done():
		}
	}()
	grant, err := b.acquireVia(bounded, p, r, sent, alone)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		return routing.Grant{}, failure.Wrap(err, failure.NotBroker, "the pool's broker changed")
	}
	return grant, err
}

func (b *Broker) acquireVia(ctx context.Context, p *path, r route, sent routing.PermitRequest, alone bool) (routing.Grant, error) {
	if alone {
		return b.acquireAlone(ctx, p, sent)
	}
	grant, err := b.opts.Peers.Acquire(ctx, r.member.PeerAddress, sent)
	switch {
	case err == nil, !lookAgain(err) && ctx.Err() == nil:
		p.found()
	case failure.CodeOf(err) != failure.NotBroker:
		// A grant may have been on its way.
		b.send(routing.Report{AttemptID: sent.ID, RequestID: sent.RequestID, Pool: sent.Pool, Result: routing.ResultCancelled})
	}
	return grant, err
}

// acquireAlone decides on this daemon's fraction of the slots.
func (b *Broker) acquireAlone(ctx context.Context, p *path, sent routing.PermitRequest) (routing.Grant, error) {
	if r, _ := p.now(); r.kind != routeAlone {
		p.goAlone(b.now())
	}
	b.opts.Scope.Tagged(map[string]string{"pool": sent.Pool}).Counter("asks_decided_alone").Inc(1)
	q := b.localQueue(sent.Pool)
	b.updateFleet(b.now(), q, b.opts.View.Members())
	return q.acquire(ctx, b.now, sent)
}
