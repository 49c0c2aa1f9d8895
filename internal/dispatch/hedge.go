package dispatch

import (
	"context"
	"slices"

	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// callResult is a call that has received its first token or has failed. The call is nil if
// a hedge got no permit.
type callResult struct {
	call *engineCall
	err  error
}

// race returns the call whose response is used. If the grant has a hedge delay, a second
// call may be started after it; the first call to receive a token wins and the other is
// cancelled. No chunk is added to the response before the race is decided.
func (e *engineExchange) race(primary *engineCall) (*engineCall, error) {
	body := e.body.encode(primary.grant.Priority, e.response.progress())
	if !e.canHedge(primary) {
		return primary, primary.open(e.path(), body)
	}
	results := make(chan callResult, 2)
	go func() { results <- callResult{primary, primary.open(e.path(), body)} }()
	timer := e.run.dispatcher.options.Clock.NewTimer(primary.grant.HedgeAfter)
	defer timer.Stop()
	hedgeCtx, stopHedge := context.WithCancel(e.run.attemptCtx)
	pending := 1
	var lastErr error
	for pending > 0 {
		select {
		case <-timer.Chan():
			if e.allowHedge(primary) {
				pending++
				e.startHedge(hedgeCtx, primary, results)
			}
		case result := <-results:
			pending--
			if result.call == nil {
				continue
			}
			if result.err == nil {
				e.cancelLosers(result.call, primary, stopHedge, results, pending)
				return result.call, nil
			}
			e.recordStart(result.err)
			lastErr = result.err
		}
	}
	stopHedge()
	return nil, lastErr
}

func (e *engineExchange) canHedge(primary *engineCall) bool {
	return primary.grant.HedgeAfter > 0 && primary.permitRequest.Repeatable && !primary.permitRequest.Suspect && e.response.tokens == 0
}

func (e *engineExchange) allowHedge(primary *engineCall) bool {
	return e.run.dispatcher.options.RetryPolicy.AllowHedge(e.run.now(), retry.Hedge{
		Pool: primary.permitRequest.Pool, Repeatable: primary.permitRequest.Repeatable, Suspect: primary.permitRequest.Suspect,
		Elapsed: primary.grant.HedgeAfter, Delay: primary.grant.HedgeAfter,
	})
}

// startHedge starts a second call to another endpoint, if the broker grants one.
func (e *engineExchange) startHedge(ctx context.Context, primary *engineCall, results chan<- callResult) {
	r := e.run
	r.attempts++
	r.dispatcher.metrics.hedgeStarted()
	permitRequest := primary.permitRequest
	permitRequest.ID = r.nextAttemptID()
	permitRequest.Attempt = r.attempts
	permitRequest.Avoid = slices.Concat(r.avoid, []string{primary.grant.Endpoint.Name})
	permitRequest.Waited = r.now().Sub(r.request.Arrived)
	prior := e.response.progress()
	go func() { results <- e.openHedge(ctx, permitRequest, prior) }()
}

// openHedge acquires a permit for another endpoint and opens a call there, unless an endpoint
// crashed under the request meanwhile.
func (e *engineExchange) openHedge(ctx context.Context, permitRequest routing.PermitRequest, prior progress) callResult {
	grant, err := e.run.dispatcher.options.Broker.Acquire(ctx, permitRequest)
	if err != nil {
		return callResult{}
	}
	sameEndpoint := grant.Endpoint.Name == permitRequest.Avoid[len(permitRequest.Avoid)-1]
	if ctx.Err() != nil || sameEndpoint || !e.run.permitFits(permitRequest) {
		e.run.dispatcher.releaseUnused(permitRequest, grant)
		return callResult{}
	}
	call := e.run.newEngineCall(ctx, permitRequest, grant)
	return callResult{call, call.open(e.path(), e.body.encode(grant.Priority, prior))}
}

// cancelLosers cancels the calls that lost the race and counts their work as wasted.
func (e *engineExchange) cancelLosers(winner, primary *engineCall, stopHedge context.CancelFunc, results <-chan callResult, pending int) {
	if winner == primary {
		stopHedge()
	} else {
		primary.cancel()
		cancelWinner := winner.cancel
		winner.cancel = func() { cancelWinner(); stopHedge() }
	}
	if pending == 0 {
		return
	}
	e.run.losingCalls.Add(pending)
	go func() {
		for range pending {
			e.discard(<-results)
			e.run.losingCalls.Done()
		}
	}()
}

// discard ends a call that lost the race; a call that failed has already been reported.
func (e *engineExchange) discard(result callResult) {
	if result.call == nil {
		return
	}
	if result.err == nil {
		result.call.end(routing.ResultCancelled, nil)
	}
	e.run.waste.addCall(result.call)
}

// recordStart records whether the endpoint may have started to execute a failed call.
func (e *engineExchange) recordStart(err error) {
	if e.run.asEndpointError(err, routing.Grant{}).MayHaveStarted() {
		e.run.mayHaveStarted = true
	}
}
