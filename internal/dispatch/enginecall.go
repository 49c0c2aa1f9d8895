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

// progressIntervalTokens is the number of tokens between two progress reports.
const progressIntervalTokens = 32

// engineCall is one call to an engine under one grant. A hedged request has two.
type engineCall struct {
	run           *run
	permitRequest routing.PermitRequest
	grant         routing.Grant
	ctx           context.Context
	cancel        context.CancelFunc

	stream *endpoint.Stream
	// buffered holds the chunks up to the first token; complete is true if the response
	// ended before it.
	buffered []endpoint.Chunk
	complete bool

	sentAt       time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time
	tokens       int
	usage        *endpoint.Usage
	ended        bool
}

func (r *run) newEngineCall(ctx context.Context, permitRequest routing.PermitRequest, grant routing.Grant) *engineCall {
	ctx, cancel := context.WithCancel(ctx)
	return &engineCall{run: r, permitRequest: permitRequest, grant: grant, ctx: ctx, cancel: cancel}
}

// open sends the call and reads up to the first token. After an error the call has ended.
func (c *engineCall) open(path string, body []byte) error {
	d := c.run.dispatcher
	request := c.run.request
	d.running.add(c.grant.Endpoint.Name, c.permitRequest.ID, c.permitRequest.Digest)
	c.sentAt = c.run.now()
	stream, err := d.options.EndpointClient.Open(c.ctx, endpoint.Call{
		Endpoint: c.grant.Endpoint, Path: path, RequestID: request.ID, IdempotencyKey: request.IdempotencyKey,
		Body: body, SilenceTimeout: d.options.SilenceTimeout,
	})
	if err != nil {
		return c.fail(err)
	}
	c.stream = stream
	for c.firstTokenAt.IsZero() && !c.complete {
		chunk, err := c.next()
		if errors.Is(err, io.EOF) {
			c.complete = true
			break
		}
		if err != nil {
			return c.fail(err)
		}
		c.buffered = append(c.buffered, chunk)
	}
	return nil
}

// next reads one chunk; io.EOF marks the end of a complete response.
func (c *engineCall) next() (endpoint.Chunk, error) {
	chunk, err := c.stream.Next()
	if err != nil {
		return chunk, err
	}
	if chunk.Usage != nil {
		c.usage = chunk.Usage
	}
	if chunk.HasContent() {
		c.countToken()
	}
	return chunk, nil
}

// countToken records one token and reports progress at each progressIntervalTokens.
func (c *engineCall) countToken() {
	c.tokens++
	c.lastTokenAt = c.run.now()
	if c.firstTokenAt.IsZero() {
		c.firstTokenAt = c.lastTokenAt
	}
	if progress := c.run.dispatcher.options.Progress; progress != nil && c.tokens%progressIntervalTokens == 0 {
		progress.Progress(c.permitRequest.ID, c.tokens)
	}
}

// fail ends the call because of an error of its endpoint and returns the typed error.
func (c *engineCall) fail(err error) error {
	failed := c.run.asEndpointError(err, c.grant)
	if failed.Cause == endpoint.ConnectionBroken {
		c.run.dispatcher.recordCrash(c.run.now(), c.grant.Endpoint.Name)
	}
	c.end(failed.Result(), failed)
	return failed
}

// end closes the engine call and reports it, once; later invocations have no effect.
func (c *engineCall) end(result routing.Result, err *endpoint.Error) {
	if c.ended {
		return
	}
	c.ended = true
	if result == routing.ResultCancelled {
		c.cancel()
	}
	if c.stream != nil {
		c.stream.Close()
	}
	c.cancel()
	c.run.dispatcher.running.remove(c.grant.Endpoint.Name, c.permitRequest.ID)
	c.run.dispatcher.report(c.newReport(result), c.permitRequest, c.grant, err)
}

func (c *engineCall) newReport(result routing.Result) routing.Report {
	report := routing.Report{
		AttemptID: c.permitRequest.ID, RequestID: c.permitRequest.RequestID, Pool: c.permitRequest.Pool, Endpoint: c.grant.Endpoint.Name,
		Workspace: c.permitRequest.Workspace, Profile: c.permitRequest.Profile, Class: c.permitRequest.Class, Result: result, Digest: c.permitRequest.Digest,
		PromptTokens: c.permitRequest.PromptTokens, OutputTokens: c.tokens,
	}
	if !c.sentAt.IsZero() {
		report.Elapsed = c.run.now().Sub(c.sentAt)
	}
	if !c.firstTokenAt.IsZero() {
		report.FirstToken = c.firstTokenAt.Sub(c.sentAt)
	}
	if c.tokens > 1 {
		report.TokenGap = c.lastTokenAt.Sub(c.firstTokenAt) / time.Duration(c.tokens-1)
	}
	if c.usage != nil {
		report.PromptTokens, report.OutputTokens = c.usage.PromptTokens, c.usage.CompletionTokens
		if c.usage.Details != nil {
			report.CachedTokens = c.usage.Details.CachedTokens
		}
	}
	return report
}

// asEndpointError returns the *endpoint.Error in err, or wraps err in one.
func (r *run) asEndpointError(err error, grant routing.Grant) *endpoint.Error {
	var failed *endpoint.Error
	if errors.As(err, &failed) {
		return failed
	}
	return &endpoint.Error{
		Cause: endpoint.Failed, Endpoint: grant.Endpoint.Name, Sent: true, Message: failure.From(err).Error(),
	}
}

// recordCrash reports to the quarantine which requests this daemon was running at an
// endpoint when its connections broke.
func (d *Dispatcher) recordCrash(now time.Time, name string) {
	d.options.Quarantine.Crashed(now, name, d.running.digestsAt(name))
}
