package broker

import (
	"context"
	"strconv"
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// brokerRetryDelay is the time between two attempts to reach a pool's broker.
const brokerRetryDelay = 25 * time.Millisecond

// Acquire implements routing.Broker. It retries until the pool's broker is reached; after
// LocalFallbackAfter this daemon decides locally.
func (b *Broker) Acquire(ctx context.Context, request routing.PermitRequest) (routing.Grant, error) {
	request.Daemon = b.self().ID
	p := b.routeOf(request.Pool)
	startedAt := b.now()
	var unreachableSince time.Time
	for retry := 0; ; retry++ {
		now := b.now()
		sent := requestForRetry(request, retry, now.Sub(startedAt))
		local := p.decidesLocally() || (!unreachableSince.IsZero() && now.Sub(unreachableSince) >= b.opts.LocalFallbackAfter)
		grant, err := b.acquireOnce(ctx, p, sent, local)
		if err == nil {
			b.ledger.add(request.ID, sent, &heldGrant{endpoint: grant.Endpoint.Name, since: b.now()})
			grant.AttemptID = request.ID
			return grant, nil
		}
		switch {
		case !brokerNotReached(err):
			return routing.Grant{}, err
		case local:
			unreachableSince = time.Time{}
		case unreachableSince.IsZero():
			unreachableSince = b.now()
		}
		select {
		case <-ctx.Done():
			return routing.Grant{}, callerDisconnected()
		case <-b.opts.Clock.After(brokerRetryDelay):
		}
	}
}

// requestForRetry gives each retry an attempt ID of its own, so that a broker never mistakes
// it for an earlier call that was cancelled in transit.
func requestForRetry(request routing.PermitRequest, retry int, waited time.Duration) routing.PermitRequest {
	request.Waited += waited
	if retry > 0 {
		request.ID += "~" + strconv.Itoa(retry)
	}
	return request
}

func brokerNotReached(err error) bool {
	code := failure.CodeOf(err)
	return code == failure.NotBroker || code == failure.PeerUnreachable
}

// acquireOnce asks the pool's current broker, or decides on this daemon. The call fails
// with NotBroker when the route changes meanwhile.
func (b *Broker) acquireOnce(ctx context.Context, p *poolRoute, sent routing.PermitRequest, local bool) (routing.Grant, error) {
	r, changed := p.current()
	if !local && r.kind != routePeer {
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
	grant, err := b.acquireLocalOrRemote(bounded, p, r, sent, local)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		return routing.Grant{}, failure.Wrap(err, failure.NotBroker, "the pool's broker changed")
	}
	return grant, err
}

func (b *Broker) acquireLocalOrRemote(ctx context.Context, p *poolRoute, r route, sent routing.PermitRequest, local bool) (routing.Grant, error) {
	if local {
		return b.acquireLocally(ctx, p, sent)
	}
	grant, err := b.opts.Peers.Acquire(ctx, r.member.PeerAddress, sent)
	switch {
	case err == nil, !brokerNotReached(err) && ctx.Err() == nil:
		p.endFallback()
	case failure.CodeOf(err) != failure.NotBroker:
		// The grant may have been in transit when the call failed.
		b.sendReport(routing.Report{AttemptID: sent.ID, RequestID: sent.RequestID, Pool: sent.Pool, Result: routing.ResultCancelled})
	}
	return grant, err
}

// acquireLocally decides within this daemon's share of the slots.
func (b *Broker) acquireLocally(ctx context.Context, p *poolRoute, sent routing.PermitRequest) (routing.Grant, error) {
	if r, _ := p.current(); r.kind != routeLocal {
		p.startFallback(b.now())
	}
	b.opts.Scope.Tagged(map[string]string{"pool": sent.Pool}).Counter("asks_decided_alone").Inc(1)
	q := b.localQueue(sent.Pool)
	b.updateFleet(b.now(), q, b.opts.View.Members())
	return q.acquire(ctx, b.now, sent)
}
