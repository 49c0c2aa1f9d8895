package dispatch

import (
	"errors"
	"io"
	"time"

	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Paths of the OpenAI HTTP API.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
)

// engineExchange makes the calls of one request to model engines, over all its attempts.
type engineExchange struct {
	run      *run
	body     *engineBody
	response *response
}

func (e *engineExchange) path() string {
	if e.body.chat {
		return pathChat
	}
	return pathCompletions
}

// resumable implements exchange.
func (e *engineExchange) resumable() bool {
	return e.response.tokens == 0 || e.body.canResume && e.response.textOnly
}

// mustResume implements exchange. It is false if the next attempt starts the response from
// the beginning.
func (e *engineExchange) mustResume() bool {
	return e.response.started || e.response.tokens > 0 && e.resumable()
}

// sendError implements exchange.
func (e *engineExchange) sendError(f *failure.Failure) bool { return e.response.sendError(f) }

// outputTokens implements exchange.
func (e *engineExchange) outputTokens() int { return e.response.outputTokens() }

// attempt implements exchange.
func (e *engineExchange) attempt(permitRequest routing.PermitRequest, grant routing.Grant) attemptResult {
	e.discardTokens()
	if e.tokenLimitReached() {
		e.run.dispatcher.releaseUnused(permitRequest, grant)
		return e.completeAtTokenLimit()
	}
	e.response.startAttempt(e.resumable())
	primary := e.run.newEngineCall(e.run.attemptCtx, permitRequest, grant)
	winner, err := e.race(primary)
	if err != nil {
		return e.failedAttempt(err)
	}
	return e.forward(winner)
}

// discardTokens counts tokens as wasted that the next attempt can not resume from. The
// response then begins with a token of that attempt.
func (e *engineExchange) discardTokens() {
	if e.response.started || e.resumable() && e.response.tokens > 0 {
		return
	}
	e.run.waste.addTokens(e.response.tokens)
	e.run.firstTokenAt = time.Time{}
}

// tokenLimitReached reports whether the response already has the maximum number of tokens,
// although the endpoint failed before it sent the finish reason.
func (e *engineExchange) tokenLimitReached() bool {
	return e.body.limit > 0 && e.resumable() && e.response.tokens >= e.body.limit
}

func (e *engineExchange) completeAtTokenLimit() attemptResult {
	if e.response.completeAtTokenLimit() != nil {
		return attemptResult{result: routing.ResultCancelled, callerDisconnected: true}
	}
	return attemptResult{result: routing.ResultCompleted}
}

// failedAttempt returns the result of an attempt that failed with err.
func (e *engineExchange) failedAttempt(err error) attemptResult {
	failed := e.run.asEndpointError(err, routing.Grant{})
	return attemptResult{result: failed.Result(), err: failed, callerDisconnected: e.run.attemptCtx.Err() != nil}
}

// forward forwards the response of the selected call to the caller until it is complete.
func (e *engineExchange) forward(call *engineCall) attemptResult {
	e.run.endpoint = call.grant.Endpoint.Name // the hedged call may have won.
	if e.run.firstTokenAt.IsZero() {
		e.run.firstTokenAt = call.firstTokenAt
	}
	for _, chunk := range call.buffered {
		if e.response.addChunk(chunk) != nil {
			return e.callerDisconnected(call)
		}
	}
	for !call.complete {
		chunk, err := call.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return e.failedAttempt(call.fail(err))
		}
		if e.response.addChunk(chunk) != nil {
			return e.callerDisconnected(call)
		}
	}
	if e.response.complete() != nil {
		return e.callerDisconnected(call)
	}
	call.end(routing.ResultCompleted, nil)
	e.run.markCleared()
	return attemptResult{result: routing.ResultCompleted}
}

// callerDisconnected cancels the engine's stream immediately.
func (e *engineExchange) callerDisconnected(call *engineCall) attemptResult {
	call.end(routing.ResultCancelled, nil)
	e.run.mayHaveStarted = true
	return attemptResult{
		result: routing.ResultCancelled, callerDisconnected: true,
		err: &endpoint.Error{Cause: endpoint.Cancelled, Endpoint: call.grant.Endpoint.Name, Sent: true, Message: "the caller left"},
	}
}

// markCleared reports to the quarantine that the request completed.
func (r *run) markCleared() {
	r.dispatcher.options.Quarantine.Cleared(r.now(), r.digest)
}
