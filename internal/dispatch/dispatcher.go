package dispatch

import (
	"context"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// Dispatcher implements Runner. It may be used concurrently.
type Dispatcher struct {
	options Options
	running *runningTable
	metrics *metrics
}

var _ Runner = (*Dispatcher)(nil)

// New returns a dispatcher.
func New(options Options) *Dispatcher {
	options = options.withDefaults()
	return &Dispatcher{options: options, running: newRunningTable(), metrics: newMetrics(options.Scope)}
}

// Run implements Runner. Keyed work goes on after its caller has left, once it is
// dispatched: its answer is kept for a resend, which could not run it again.
func (d *Dispatcher) Run(ctx context.Context, request Request, sink Sink) Result {
	r, f := d.newRun(ctx, request, sink)
	if f == nil {
		f = r.carry()
	}
	return r.finish(f)
}

// newRun prepares a request; the failure is set if its body can not be sent on.
func (d *Dispatcher) newRun(ctx context.Context, request Request, sink Sink) (*run, *failure.Failure) {
	r := &run{
		dispatcher: d,
		ctx:        ctx,
		work:       ctx,
		request:    request,
		sink:       &keepingSink{sink: sink, limit: d.options.KeptAnswerBytes},
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
	r.exchange = &engineExchange{run: r, body: body, answer: newAnswer(request, body, r.sink)}
	return r, nil
}
