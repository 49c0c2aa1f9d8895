// Package dispatch executes an accepted request: it acquires a permit, claims the
// idempotency key if there is one, calls an endpoint and streams the response. It also
// decides on retries, hedges and resumption, and determines the outcome.
package dispatch

import (
	"context"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// API identifies the interface through which the caller sent the request.
type API string

const (
	// ChatCompletions is POST /v1/chat/completions.
	ChatCompletions API = "chat_completions"
	// Completions is POST /v1/completions.
	Completions API = "completions"
	// PlainCall is any call routed to a plain (non-engine) service.
	PlainCall API = "plain"
)

// Request is a validated request of an authenticated workspace. It owns all of its
// memory; none of it is shared with the server's buffers.
type Request struct {
	ID        string
	Workspace catalog.Workspace
	Profile   catalog.Profile
	Service   catalog.Service
	API       API
	// Method, Path and Query are set on a plain call.
	Method string
	Path   string
	Query  string
	// Header holds the headers forwarded to the endpoint, in canonical form.
	Header map[string]string
	Body   []byte
	// Model, Stream and MaxOutputTokens are read from the body of an engine call.
	Model           string
	Stream          bool
	MaxOutputTokens int
	// IdempotencyKey is set on requests that must run at most once.
	IdempotencyKey string
	// Arrived is the time at which the daemon had read the complete request.
	Arrived time.Time
}

// RunsOnce reports whether the request must run at most once.
func (r Request) RunsOnce() bool { return r.IdempotencyKey != "" }

// Sink receives the response on behalf of the caller. It is used by one goroutine.
type Sink interface {
	// Begin is called once, before the first Write. It is not called if the request
	// fails before any byte of the response is available.
	Begin(status int, contentType string)
	// Write sends p immediately; an error means that the caller has disconnected.
	Write(p []byte) error
}

// Result is the final outcome of a request.
type Result struct {
	Outcome failure.Outcome
	// Failure is nil for a completed request.
	Failure *failure.Failure
	// ResponseStarted is true if part of the response went to the sink. A streamed
	// response then already ends with either its normal end or an error event.
	ResponseStarted bool
	// ErrorEventSent is true if a started response that failed was ended with an error
	// event. If it is false, the connection must be broken, so that the caller can not
	// mistake a truncated response for a complete one.
	ErrorEventSent bool
	Endpoint       string
	Attempts       int
	QueueWait      time.Duration
	FirstToken     time.Duration
	Elapsed        time.Duration
	OutputTokens   int
	// WastedTokens counts tokens that engines produced and that no caller received.
	WastedTokens int
}

// Runner executes requests. Run returns when the response is complete, the failure is
// final, or ctx has ended because the caller disconnected.
type Runner interface {
	Run(ctx context.Context, r Request, sink Sink) Result
}
