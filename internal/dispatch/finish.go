package dispatch

import (
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// finish ends the request: the answer's end, the claim, the metrics.
func (r *run) finish(f *failure.Failure) Result {
	result := Result{
		Outcome: failure.Completed, Endpoint: r.endpoint, Attempts: r.attempts, QueueWait: r.queueWait,
		ResponseStarted: r.sink.begun, Elapsed: r.now().Sub(r.request.Arrived),
	}
	if !r.firstAt.IsZero() {
		result.FirstToken = r.firstAt.Sub(r.request.Arrived)
	}
	if r.exchange != nil {
		result.OutputTokens = r.exchange.outputTokens()
	}
	if f != nil {
		result.Failure, result.Outcome = f, f.Outcome
		r.waste.tokens(result.OutputTokens)
		if r.exchange != nil && f.Code != failure.ClientGone {
			result.ErrorEventSent = r.exchange.fail(f)
		}
	}
	r.settleClaim(f)
	r.losers.Wait()
	wasted, spent := r.waste.total()
	result.WastedTokens = wasted
	r.dispatcher.metrics.finished(r.request, result, spent)
	return result
}

// report ends a grant at the broker and writes the log line of the attempt.
func (d *Dispatcher) report(report routing.Report, ask routing.PermitRequest, grant routing.Grant, err *endpoint.Error) {
	d.options.Broker.Release(report)
	d.metrics.attempted(report)
	fields := logrus.Fields{
		"event": "attempt", "request_id": report.RequestID, "attempt": ask.Attempt, "pool": report.Pool,
		"endpoint": report.Endpoint, "workspace": report.Workspace, "profile": report.Profile, "class": report.Class,
		"tier": ask.Tier, "result": report.Result, "queue_wait": grant.QueueWait, "first_token": report.FirstToken,
		"elapsed": report.Elapsed, "output_tokens": report.OutputTokens, "reason": grant.Reason,
	}
	if err != nil {
		fields["cause"] = err.Cause
		fields["error"] = err.Error()
	}
	d.options.Logger.WithFields(fields).Info("attempt ended")
}
