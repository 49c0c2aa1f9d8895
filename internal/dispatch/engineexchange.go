package dispatch

import (
	"errors"
	"io"

	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Paths of the OpenAI HTTP API.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
)

// engineExchange is a call on a model engine, over all its attempts.
type engineExchange struct {
	run    *run
	body   *engineBody
	answer *answer
}

func (e *engineExchange) path() string {
	if e.body.chat {
		return pathChat
	}
	return pathCompletions
}

// resumable implements exchange.
func (e *engineExchange) resumable() bool {
	return e.answer.tokens == 0 || e.body.canResume && e.answer.textOnly
}

// begun implements exchange: an answer that can start again has not begun.
func (e *engineExchange) begun() bool {
	return e.answer.begun || e.answer.tokens > 0 && e.resumable()
}

// fail implements exchange.
func (e *engineExchange) fail(f *failure.Failure) bool { return e.answer.fail(f) }

// outputTokens implements exchange.
func (e *engineExchange) outputTokens() int { return e.answer.outputTokens() }

// attempt implements exchange.
func (e *engineExchange) attempt(ask routing.PermitRequest, grant routing.Grant) attemptEnd {
	e.dropUnresumable()
	if e.limitReached() {
		e.run.dispatcher.giveBack(ask, grant)
		return e.cutShort()
	}
	e.answer.startAttempt(e.resumable())
	first := e.run.newLane(e.run.work, ask, grant)
	chosen, err := e.race(first)
	if err != nil {
		return e.failed(err)
	}
	return e.relay(chosen)
}

// dropUnresumable counts as waste what a new attempt can not build on.
func (e *engineExchange) dropUnresumable() {
	if !e.resumable() && !e.answer.begun {
		e.run.waste.tokens(e.answer.tokens)
	}
}

// limitReached reports whether the caller has all the tokens that it may have, though
// the endpoint failed before it said so.
func (e *engineExchange) limitReached() bool {
	return e.body.limit > 0 && e.resumable() && e.answer.tokens >= e.body.limit
}

func (e *engineExchange) cutShort() attemptEnd {
	if e.answer.cutShort() != nil {
		return attemptEnd{result: routing.ResultCancelled, callerGone: true}
	}
	return attemptEnd{result: routing.ResultCompleted}
}

// failed describes an attempt that no lane carried through.
func (e *engineExchange) failed(err error) attemptEnd {
	failed := e.run.asEndpointError(err, routing.Grant{})
	return attemptEnd{result: failed.Result(), err: failed, callerGone: e.run.work.Err() != nil}
}

// relay passes the chosen lane's answer on to its end.
func (e *engineExchange) relay(l *lane) attemptEnd {
	e.run.endpoint = l.grant.Endpoint.Name // a hedge may have won.
	if e.run.firstAt.IsZero() {
		e.run.firstAt = l.firstAt
	}
	for _, chunk := range l.head {
		if e.answer.add(chunk) != nil {
			return e.callerGone(l)
		}
	}
	for !l.whole {
		chunk, err := l.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return e.failed(l.fail(err))
		}
		if e.answer.add(chunk) != nil {
			return e.callerGone(l)
		}
	}
	if e.answer.end() != nil {
		return e.callerGone(l)
	}
	l.end(routing.ResultCompleted, nil)
	e.run.cleared()
	return attemptEnd{result: routing.ResultCompleted}
}

// callerGone cancels the engine's stream at once.
func (e *engineExchange) callerGone(l *lane) attemptEnd {
	l.end(routing.ResultCancelled, nil)
	e.run.started = true
	return attemptEnd{
		result: routing.ResultCancelled, callerGone: true,
		err: &endpoint.Error{Cause: endpoint.Cancelled, Endpoint: l.grant.Endpoint.Name, Sent: true, Message: "the caller left"},
	}
}

// cleared tells the quarantine that the request ran whole.
func (r *run) cleared() {
	r.dispatcher.options.Quarantine.Cleared(r.now(), r.digest)
}
