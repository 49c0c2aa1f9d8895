package dispatch

import (
	"context"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// Dispatcher implements Runner. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	running *runningTable
	metrics *metrics
}

var _ Runner = (*Dispatcher)(nil)

// New returns a Dispatcher; options that are not set get their defaults.
func New(options Options) *Dispatcher {
	options = options.withDefaults()
	return &Dispatcher{options: options, running: newRunningTable(), metrics: newMetrics(options.Scope)}
}

// Run implements Runner. Once a keyed request (one with an idempotency key) is dispatched,
// it continues after its caller disconnects, within limits: the response is stored for a
// resend, which may not run the request again.
func (d *Dispatcher) Run(ctx context.Context, request Request, sink Sink) Result {
	r, f := d.newRun(ctx, request, sink)
	if f == nil {
		f = r.runAttempts()
	}
	result := r.finish(f)
	if r.endAttempts != nil {
		r.endAttempts()
	}
	return result
}

// newRun prepares a request. It returns a failure if the body is invalid.
func (d *Dispatcher) newRun(ctx context.Context, request Request, sink Sink) (*run, *failure.Failure) {
	r := &run{
		dispatcher: d,
		callerCtx:  ctx,
		attemptCtx: ctx,
		request:    request,
		sink:       &recordingSink{sink: sink, limit: d.options.MaxStoredResponseBytes, unattended: d.options.MaxUnattendedBytes},
		digest:     digestOf(request),
	}
	if request.API == PlainCall {
		r.exchange = &plainExchange{run: r}
		return r, nil
	}
	body, f := parseEngineBody(request)
	if f != nil {
		return r, f
	}
	r.promptText = body.promptText()
	r.exchange = &engineExchange{run: r, body: body, response: newResponse(request, body, r.sink)}
	return r, nil
}
