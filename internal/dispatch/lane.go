package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// progressEvery is the number of tokens between two notes of progress.
const progressEvery = 32

// lane is one call on an engine under one grant. A request has two while it is hedged.
type lane struct {
	run    *run
	ask    routing.PermitRequest
	grant  routing.Grant
	ctx    context.Context
	cancel context.CancelFunc

	stream *endpoint.Stream
	// head holds the chunks up to the first token; whole is true if the answer ended there.
	head  []endpoint.Chunk
	whole bool

	sentAt  time.Time
	firstAt time.Time
	lastAt  time.Time
	tokens  int
	usage   *endpoint.Usage
	ended   bool
}

func (r *run) newLane(ctx context.Context, ask routing.PermitRequest, grant routing.Grant) *lane {
	ctx, cancel := context.WithCancel(ctx)
	return &lane{run: r, ask: ask, grant: grant, ctx: ctx, cancel: cancel}
}

// open sends the call and reads up to the first token. After an error the lane has ended.
func (l *lane) open(path string, body []byte) error {
	d := l.run.dispatcher
	request := l.run.request
	d.running.add(l.grant.Endpoint.Name, l.ask.ID, l.ask.Digest)
	l.sentAt = l.run.now()
	stream, err := d.options.EndpointClient.Open(l.ctx, endpoint.Call{
		Endpoint: l.grant.Endpoint, Path: path, RequestID: request.ID, IdempotencyKey: request.IdempotencyKey,
		Body: body, Fresh: l.ask.Suspect, Silence: d.options.SilenceTimeout,
	})
	if err != nil {
		return l.fail(err)
	}
	l.stream = stream
	for l.firstAt.IsZero() && !l.whole {
		chunk, err := l.next()
		if errors.Is(err, io.EOF) {
			l.whole = true
			break
		}
		if err != nil {
			return l.fail(err)
		}
		l.head = append(l.head, chunk)
	}
	return nil
}

// next reads one chunk; io.EOF ends a whole answer.
func (l *lane) next() (endpoint.Chunk, error) {
	chunk, err := l.stream.Next()
	if err != nil {
		return chunk, err
	}
	if chunk.Usage != nil {
		l.usage = chunk.Usage
	}
	if chunk.Text != "" || !chunk.TextOnly {
		l.count()
	}
	return chunk, nil
}

// count notes one token.
func (l *lane) count() {
	l.tokens++
	l.lastAt = l.run.now()
	if l.firstAt.IsZero() {
		l.firstAt = l.lastAt
	}
	if progress := l.run.dispatcher.options.Progress; progress != nil && l.tokens%progressEvery == 0 {
		progress.Progress(l.ask.ID, l.tokens)
	}
}

// fail ends the lane by an error of its endpoint, which it returns.
func (l *lane) fail(err error) error {
	failed := l.run.asEndpointError(err, l.grant)
	if failed.Cause == endpoint.Broken {
		l.run.dispatcher.crashed(l.run.now(), l.grant.Endpoint.Name)
	}
	l.end(failed.Result(), failed)
	return failed
}

// end closes the call and reports it, once.
func (l *lane) end(result routing.Result, err *endpoint.Error) {
	if l.ended {
		return
	}
	l.ended = true
	if result == routing.ResultCancelled {
		l.cancel()
	}
	if l.stream != nil {
		l.stream.Close()
	}
	l.cancel()
	l.run.dispatcher.running.remove(l.grant.Endpoint.Name, l.ask.ID)
	l.run.dispatcher.report(l.report(result), l.ask, l.grant, err)
}

func (l *lane) report(result routing.Result) routing.Report {
	report := routing.Report{
		AttemptID: l.ask.ID, RequestID: l.ask.RequestID, Pool: l.ask.Pool, Endpoint: l.grant.Endpoint.Name,
		Workspace: l.ask.Workspace, Profile: l.ask.Profile, Class: l.ask.Class, Result: result, Digest: l.ask.Digest,
		PromptTokens: l.ask.PromptTokens, OutputTokens: l.tokens,
	}
	if !l.sentAt.IsZero() {
		report.Elapsed = l.run.now().Sub(l.sentAt)
	}
	if !l.firstAt.IsZero() {
		report.FirstToken = l.firstAt.Sub(l.sentAt)
	}
	if l.tokens > 1 {
		report.TokenGap = l.lastAt.Sub(l.firstAt) / time.Duration(l.tokens-1)
	}
	if l.usage != nil {
		report.PromptTokens, report.OutputTokens = l.usage.PromptTokens, l.usage.CompletionTokens
		if l.usage.Details != nil {
			report.CachedTokens = l.usage.Details.CachedTokens
		}
	}
	return report
}

// asEndpointError returns the typed error in err.
func (r *run) asEndpointError(err error, grant routing.Grant) *endpoint.Error {
	var failed *endpoint.Error
	if errors.As(err, &failed) {
		return failed
	}
	return &endpoint.Error{
		Cause: endpoint.Failed, Endpoint: grant.Endpoint.Name, Sent: true, Message: failure.From(err).Error(),
	}
}

// crashed records what was running at an endpoint when its connections broke.
func (d *Dispatcher) crashed(now time.Time, name string) {
	d.options.Quarantine.Crashed(now, name, d.running.on(name))
}
