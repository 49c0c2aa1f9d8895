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

// plainExchange is a call on a plain service. Its answer can not be resumed.
type plainExchange struct {
	run      *run
	hasBegun bool
}

func (p *plainExchange) begun() bool                { return p.hasBegun }
func (p *plainExchange) resumable() bool            { return false }
func (p *plainExchange) fail(*failure.Failure) bool { return false }
func (p *plainExchange) outputTokens() int          { return 0 }

// attempt implements exchange.
func (p *plainExchange) attempt(ask routing.PermitRequest, grant routing.Grant) attemptEnd {
	r := p.run
	name := grant.Endpoint.Name
	r.dispatcher.running.add(name, ask.ID, ask.Digest)
	sentAt := r.now()
	end := p.call(ask, grant)
	if end.err != nil && end.err.Cause == endpoint.Broken {
		r.dispatcher.crashed(r.now(), name)
	}
	r.dispatcher.running.remove(name, ask.ID)
	r.dispatcher.report(p.report(ask, grant, end, sentAt), ask, grant, end.err)
	if end.result == routing.ResultCompleted {
		r.cleared()
	}
	return end
}

func (p *plainExchange) report(ask routing.PermitRequest, grant routing.Grant, end attemptEnd, sentAt time.Time) routing.Report {
	report := routing.Report{
		AttemptID: ask.ID, RequestID: ask.RequestID, Pool: ask.Pool, Endpoint: grant.Endpoint.Name, Workspace: ask.Workspace,
		Profile: ask.Profile, Class: ask.Class, Result: end.result, Digest: ask.Digest, PromptTokens: ask.PromptTokens,
		Elapsed: p.run.now().Sub(sentAt),
	}
	if p.run.firstAt.After(sentAt) {
		report.FirstToken = p.run.firstAt.Sub(sentAt)
	}
	return report
}

// call sends the request and passes the answer on.
func (p *plainExchange) call(ask routing.PermitRequest, grant routing.Grant) attemptEnd {
	r := p.run
	answer, err := r.dispatcher.options.EndpointClient.Do(r.work, endpoint.PlainCall{
		Endpoint: grant.Endpoint, Method: r.request.Method, Path: r.request.Path, Query: r.request.Query,
		Header: r.request.Header, Body: r.request.Body, RequestID: r.request.ID,
		IdempotencyKey: r.request.IdempotencyKey, Fresh: ask.Suspect, Silence: r.dispatcher.options.SilenceTimeout,
	})
	if err != nil {
		return p.failed(err, grant)
	}
	defer answer.Close()
	r.firstAt = r.now()
	return p.copy(answer, grant)
}

// copy begins the answer with the first bytes of the body, so that a call whose
// answer never begins may still be tried again.
func (p *plainExchange) copy(answer *endpoint.PlainAnswer, grant routing.Grant) attemptEnd {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := answer.Read(buffer)
		if err != nil && !errors.Is(err, io.EOF) {
			return p.failed(err, grant)
		}
		if !p.hasBegun {
			p.hasBegun = true
			p.run.sink.Begin(answer.Status, answer.ContentType)
		}
		if n > 0 && p.run.sink.Write(buffer[:n]) != nil {
			return p.callerGone(grant)
		}
		if err != nil {
			return attemptEnd{result: routing.ResultCompleted}
		}
	}
}

func (p *plainExchange) failed(err error, grant routing.Grant) attemptEnd {
	failed := p.run.asEndpointError(err, grant)
	return attemptEnd{result: failed.Result(), err: failed, callerGone: p.run.work.Err() != nil}
}

func (p *plainExchange) callerGone(grant routing.Grant) attemptEnd {
	return attemptEnd{
		result: routing.ResultCancelled, callerGone: true,
		err: &endpoint.Error{Cause: endpoint.Cancelled, Endpoint: grant.Endpoint.Name, Sent: true, Message: "the caller left"},
	}
}
