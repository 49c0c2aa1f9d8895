// Package dispatch carries one accepted request through its attempts: permit,
// claim, endpoint, answer. It decides on retry, hedge, resume and the outcome.
package dispatch

import (
	"context"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// API names the interface by which the caller came in.
type API string

const (
	// ChatCompletions is POST /v1/chat/completions.
	ChatCompletions API = "chat_completions"
	// Completions is POST /v1/completions.
	Completions API = "completions"
	// PlainCall is any call routed to a plain service.
	PlainCall API = "plain"
)

// Request is a checked request of an authenticated workspace. It owns all of its
// memory: nothing in it is shared with the server's buffers.
type Request struct {
	ID        string
	Workspace catalog.Workspace
	Profile   catalog.Profile
	Service   catalog.Service
	API       API
	// Method, Path and Query are those of a plain call.
	Method string
	Path   string
	Query  string
	// Header holds the headers that are passed on to the endpoint, in canonical form.
	Header map[string]string
	Body   []byte
	// Model, Stream and MaxOutputTokens are read from the body of an engine call.
	Model           string
	Stream          bool
	MaxOutputTokens int
	// IdempotencyKey is set on work that runs at most once.
	IdempotencyKey string
	// Arrived is when the daemon had read the whole request.
	Arrived time.Time
}

// RunsOnce reports whether the request is marked as not to be repeated.
func (r Request) RunsOnce() bool { return r.IdempotencyKey != "" }

// Sink takes the answer for the caller. It is used by one goroutine.
type Sink interface {
	// Begin is called once, before the first Write. Not called at all when the
	// dispatch ends in a failure before any byte of the answer.
	Begin(status int, contentType string)
	// Write sends p on at once; an error means that the caller has gone.
	Write(p []byte) error
}

// Result is the final outcome of a request.
type Result struct {
	Outcome failure.Outcome
	// Failure is nil for a completed request.
	Failure *failure.Failure
	// Begun is true if part of the answer went to the sink. A streamed answer then
	// already ends with either its normal end mark or a typed error event.
	ResponseStarted bool
	// TypedEnd is true if a begun answer that failed was ended with a typed error
	// event. Otherwise the connection must be broken, so that the answer can not look whole.
	ErrorEventSent bool
	Endpoint       string
	Attempts       int
	QueueWait      time.Duration
	FirstToken     time.Duration
	Elapsed        time.Duration
	OutputTokens   int
	// WastedTokens counts tokens that engines produced and that nobody received.
	WastedTokens int
}

// Runner carries requests through. Run returns when the answer is whole, the
// failure is final, or ctx (the caller's presence) has ended.
type Runner interface {
	Run(ctx context.Context, r Request, sink Sink) Result
}
