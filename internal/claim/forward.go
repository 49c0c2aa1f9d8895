package claim

import (
	"context"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// forward has the usual writer decide the batch's own claims. It returns those that
// this daemon has to decide itself.
func (s *shard) forward(ctx context.Context, batch []*pending) []*pending {
	claims, direct := lo.FilterReject(live(batch), func(p *pending, _ int) bool { return !p.foreign && !p.request.release })
	if len(claims) == 0 {
		return direct
	}
	if len(direct) > 0 {
		s.commit(ctx, direct) // Releases come before the claims that may follow on them.
	}
	ctx, cancel := context.WithTimeout(ctx, s.log.options.Timeout/2)
	defer cancel()
	answers, err := s.log.options.Forwarder.Forward(ctx, s.number, lo.Map(claims, func(p *pending, _ int) Claim { return p.request.claim }))
	markSent(claims)
	if err != nil || len(answers) != len(claims) {
		s.log.metrics.forwardErrors.Inc(1)
		return claims
	}
	var left []*pending
	for i, p := range claims {
		if !answers[i].credible(p.request.claim) {
			left = append(left, p)
			continue
		}
		s.answer([]*pending{p}, answers[i:i+1])
	}
	return left
}

// credible reports whether an answer from another daemon is one to this claim.
func (a Result) credible(c Claim) bool {
	sameKey := a.Holder.Workspace == c.Workspace && a.Holder.Key == c.Key
	switch a.Outcome {
	case Granted:
		return sameKey && a.Holder.owns(c)
	case Held, Mismatched:
		return sameKey && !a.Holder.owns(c)
	default:
		return false
	}
}

// Serve decides claims that another daemon forwarded, in order. They keep the name,
// incarnation and nonce of their origin, which alone may dispatch or release them.
// After an error any of them may be in the log.
func (l *Log) Serve(ctx context.Context, claims []Claim) ([]Result, error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	if err := l.admit(ctx); err != nil {
		return nil, err
	}
	waiting := make([]*pending, len(claims))
	for i, c := range claims {
		if c.Incarnation == "" || c.Nonce == 0 || checkClaim(c) != nil {
			return nil, failure.New(failure.InvalidRequest, "a forwarded claim lacks its key, request id, incarnation or nonce")
		}
		waiting[i] = newPending(request{claim: c})
		waiting[i].foreign = true
	}
	for _, p := range waiting {
		if !l.shardOf(p.request.claim).enqueue(p) {
			return nil, failure.New(failure.Overloaded, "too many claims wait").WithRetryAfter(l.options.MaxRetryInterval)
		}
	}
	return l.collectAnswers(ctx, waiting)
}

func (l *Log) collectAnswers(ctx context.Context, waiting []*pending) ([]Result, error) {
	answers := make([]Result, len(waiting))
	for i, p := range waiting {
		var err error
		select {
		case r := <-p.done:
			answers[i], err = l.resolve(r)
		case <-ctx.Done():
			err = unavailable(ctx.Err(), l.options.MaxRetryInterval)
		}
		if err != nil {
			lo.ForEach(waiting[i:], func(p *pending, _ int) { p.abandon() })
			return nil, err
		}
	}
	return answers, nil
}
