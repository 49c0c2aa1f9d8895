package claim

import (
	"context"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// forward has the usual writer decide the claims of the batch that are this daemon's own.
// It returns the requests that this daemon has to decide itself.
func (s *shard) forward(ctx context.Context, batch []*pending) []*pending {
	claims, local := lo.FilterReject(activeRequests(batch), func(p *pending, _ int) bool { return !p.forwarded && !p.request.release })
	if len(claims) == 0 {
		return local
	}
	if len(local) > 0 {
		s.commit(ctx, local) // Releases go first: a claim of the batch may need the freed key.
	}
	ctx, cancel := context.WithTimeout(ctx, s.log.options.Timeout/2)
	defer cancel()
	results, err := s.log.options.Forwarder.Forward(ctx, s.number, lo.Map(claims, func(p *pending, _ int) Claim { return p.request.claim }))
	markUncertain(claims)
	if err != nil || len(results) != len(claims) {
		s.log.metrics.forwardErrors.Inc(1)
		s.raiseFence(claims)
		return claims
	}
	var releases, remaining []*pending
	for i, p := range claims {
		if !results[i].validFor(p.request.claim) {
			remaining = append(remaining, p)
			continue
		}
		releases = append(releases, s.deliver([]*pending{p}, results[i:i+1])...)
	}
	s.raiseFence(remaining)
	return append(releases, remaining...)
}

// validFor reports whether a result from another daemon can be the result of c.
func (r Result) validFor(c Claim) bool {
	sameKey := r.Holder.Workspace == c.Workspace && r.Holder.Key == c.Key
	switch r.Outcome {
	case Granted:
		return sameKey && r.Holder.sameCall(c)
	case Held, Mismatched:
		return sameKey && !r.Holder.sameCall(c)
	default:
		return false
	}
}

// Serve decides claims that another daemon forwarded, in order. They keep the name,
// incarnation and nonce of their origin, the only daemon that may dispatch or release them.
// After an error any of them may be in the log.
func (l *Log) Serve(ctx context.Context, claims []Claim) ([]Result, error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	if err := l.admit(ctx); err != nil {
		return nil, err
	}
	queued := make([]*pending, len(claims))
	for i, c := range claims {
		if c.Incarnation == "" || c.Nonce == 0 || validateClaim(c) != nil {
			return nil, failure.New(failure.InvalidRequest, "a forwarded claim lacks its key, request id, incarnation or nonce")
		}
		queued[i] = newPending(request{claim: c})
		queued[i].forwarded = true
	}
	for _, p := range queued {
		if !l.shardOf(p.request.claim).enqueue(p) {
			return nil, failure.New(failure.Overloaded, "too many claims wait").WithRetryAfter(l.options.MaxRetryInterval)
		}
	}
	return l.collectResults(ctx, queued)
}

func (l *Log) collectResults(ctx context.Context, queued []*pending) ([]Result, error) {
	results := make([]Result, len(queued))
	for i, p := range queued {
		var err error
		select {
		case r := <-p.done:
			results[i], err = l.resolve(r)
		case <-ctx.Done():
			err = unavailableFailure(ctx.Err(), l.options.MaxRetryInterval)
		}
		if err != nil {
			lo.ForEach(queued[i:], func(p *pending, _ int) { p.abandon() })
			return nil, err
		}
	}
	return results, nil
}
