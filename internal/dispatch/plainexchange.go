package dispatch

import (
	"errors"
	"io"
	"time"

	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

const copyBufferBytes = 32 << 10

// plainExchange makes the calls of one request to a plain service. Its response can not be
// resumed.
type plainExchange struct {
	run             *run
	responseStarted bool
}

func (p *plainExchange) mustResume() bool                { return p.responseStarted }
func (p *plainExchange) resumable() bool                 { return false }
func (p *plainExchange) sendError(*failure.Failure) bool { return false }
func (p *plainExchange) outputTokens() int               { return 0 }

// attempt implements exchange.
func (p *plainExchange) attempt(permitRequest routing.PermitRequest, grant routing.Grant) attemptResult {
	r := p.run
	name := grant.Endpoint.Name
	r.dispatcher.running.add(name, permitRequest.ID, permitRequest.Digest)
	sentAt := r.now()
	attempt := p.call(grant)
	if attempt.err != nil && attempt.err.Cause == endpoint.ConnectionBroken {
		r.dispatcher.recordCrash(r.now(), name)
	}
	r.dispatcher.running.remove(name, permitRequest.ID)
	r.dispatcher.report(p.report(permitRequest, grant, attempt, sentAt), permitRequest, grant, attempt.err)
	if attempt.result == routing.ResultCompleted {
		r.markCleared()
	}
	return attempt
}

func (p *plainExchange) report(permitRequest routing.PermitRequest, grant routing.Grant, attempt attemptResult, sentAt time.Time) routing.Report {
	report := routing.Report{
		AttemptID: permitRequest.ID, RequestID: permitRequest.RequestID, Pool: permitRequest.Pool, Endpoint: grant.Endpoint.Name, Workspace: permitRequest.Workspace,
		Profile: permitRequest.Profile, Class: permitRequest.Class, Result: attempt.result, Digest: permitRequest.Digest, PromptTokens: permitRequest.PromptTokens,
		Elapsed: p.run.now().Sub(sentAt),
	}
	if p.run.firstTokenAt.After(sentAt) {
		report.FirstToken = p.run.firstTokenAt.Sub(sentAt)
	}
	return report
}

// call sends the request and forwards the response.
func (p *plainExchange) call(grant routing.Grant) attemptResult {
	r := p.run
	response, err := r.dispatcher.options.EndpointClient.Do(r.attemptCtx, endpoint.PlainCall{
		Endpoint: grant.Endpoint, Method: r.request.Method, Path: r.request.Path, Query: r.request.Query,
		Header: r.request.Header, Body: r.request.Body, RequestID: r.request.ID,
		IdempotencyKey: r.request.IdempotencyKey, SilenceTimeout: r.dispatcher.options.SilenceTimeout,
	})
	if err != nil {
		return p.failedAttempt(err, grant)
	}
	defer response.Close()
	r.firstTokenAt = r.now()
	return p.copy(response, grant)
}

// copy starts the response only when the first bytes of the body arrive, so that a call that
// fails before them can still be retried.
func (p *plainExchange) copy(response *endpoint.PlainResponse, grant routing.Grant) attemptResult {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Read(buffer)
		if err != nil && !errors.Is(err, io.EOF) {
			return p.failedAttempt(err, grant)
		}
		if !p.responseStarted {
			p.responseStarted = true
			p.run.sink.Begin(response.Status, response.ContentType)
		}
		if n > 0 && p.run.sink.Write(buffer[:n]) != nil {
			return p.callerDisconnected(grant)
		}
		if err != nil {
			return attemptResult{result: routing.ResultCompleted}
		}
	}
}

func (p *plainExchange) failedAttempt(err error, grant routing.Grant) attemptResult {
	failed := p.run.asEndpointError(err, grant)
	return attemptResult{result: failed.Result(), err: failed, callerDisconnected: p.run.attemptCtx.Err() != nil}
}

func (p *plainExchange) callerDisconnected(grant routing.Grant) attemptResult {
	return attemptResult{
		result: routing.ResultCancelled, callerDisconnected: true,
		err: &endpoint.Error{Cause: endpoint.Cancelled, Endpoint: grant.Endpoint.Name, Sent: true, Message: "the caller left"},
	}
}
