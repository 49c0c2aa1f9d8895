package dispatch

import (
	"context"
	"slices"

	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// laneResult is a lane that has its first token, or that has ended by an error. The
// lane is nil if a hedge got no permit.
type laneResult struct {
	lane *lane
	err  error
}

// race returns the lane that carries the answer. With a hedge delay in the grant, a
// second lane may be opened after it; the first one with a token wins, and the other
// is cancelled. The answer has no part of a lane before the race is won.
func (e *engineExchange) race(first *lane) (*lane, error) {
	body := e.body.encode(first.grant.Priority, e.answer.progress())
	if !e.hedgeable(first) {
		return first, first.open(e.path(), body)
	}
	results := make(chan laneResult, 2)
	go func() { results <- laneResult{first, first.open(e.path(), body)} }()
	timer := e.run.dispatcher.options.Clock.NewTimer(first.grant.HedgeAfter)
	defer timer.Stop()
	hedgeCtx, stopHedge := context.WithCancel(e.run.work)
	pending := 1
	var lastErr error
	for pending > 0 {
		select {
		case <-timer.Chan():
			if e.allowHedge(first) {
				pending++
				e.startHedge(hedgeCtx, first, results)
			}
		case got := <-results:
			pending--
			if got.lane == nil {
				continue
			}
			if got.err == nil {
				e.abandon(got.lane, first, stopHedge, results, pending)
				return got.lane, nil
			}
			e.noteStart(got.err)
			lastErr = got.err
		}
	}
	stopHedge()
	return nil, lastErr
}

func (e *engineExchange) hedgeable(first *lane) bool {
	return first.grant.HedgeAfter > 0 && first.ask.Repeatable && !first.ask.Suspect && e.answer.tokens == 0
}

func (e *engineExchange) allowHedge(first *lane) bool {
	return e.run.dispatcher.options.RetryPolicy.AllowHedge(e.run.now(), retry.Hedge{
		Pool: first.ask.Pool, Repeatable: first.ask.Repeatable, Suspect: first.ask.Suspect,
		Waited: first.grant.HedgeAfter, After: first.grant.HedgeAfter,
	})
}

// startHedge opens a second lane on another endpoint, if the broker has one.
func (e *engineExchange) startHedge(ctx context.Context, first *lane, results chan<- laneResult) {
	r := e.run
	r.attempts++
	r.dispatcher.metrics.hedged()
	ask := first.ask
	ask.ID = r.nextAskID()
	ask.Attempt = r.attempts
	ask.Avoid = slices.Concat(r.avoid, []string{first.grant.Endpoint.Name})
	ask.Waited = r.now().Sub(r.request.Arrived)
	done := e.answer.progress()
	go func() { results <- e.hedge(ctx, ask, done) }()
}

func (e *engineExchange) hedge(ctx context.Context, ask routing.PermitRequest, done progress) laneResult {
	grant, err := e.run.dispatcher.options.Broker.Acquire(ctx, ask)
	if err != nil {
		return laneResult{}
	}
	if ctx.Err() != nil || grant.Endpoint.Name == ask.Avoid[len(ask.Avoid)-1] {
		e.run.dispatcher.giveBack(ask, grant)
		return laneResult{}
	}
	l := e.run.newLane(ctx, ask, grant)
	return laneResult{l, l.open(e.path(), e.body.encode(grant.Priority, done))}
}

// abandon cancels the lanes that lost and counts their work as waste.
func (e *engineExchange) abandon(winner, first *lane, stopHedge context.CancelFunc, results <-chan laneResult, pending int) {
	if winner == first {
		stopHedge()
	} else {
		first.cancel()
		own := winner.cancel
		winner.cancel = func() { own(); stopHedge() }
	}
	if pending == 0 {
		return
	}
	e.run.losers.Add(pending)
	go func() {
		for range pending {
			e.drop(<-results)
			e.run.losers.Done()
		}
	}()
}

// drop ends a lane that lost; one that ended by itself has reported already.
func (e *engineExchange) drop(got laneResult) {
	if got.lane == nil {
		return
	}
	if got.err == nil {
		got.lane.end(routing.ResultCancelled, nil)
	}
	e.run.waste.lane(got.lane)
}

// noteStart remembers that a lane may have started at its endpoint.
func (e *engineExchange) noteStart(err error) {
	if e.run.asEndpointError(err, routing.Grant{}).MayHaveStarted() {
		e.run.started = true
	}
}
