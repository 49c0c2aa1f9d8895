package dispatch

import (
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// finish ends the response, settles the claim and records the metrics.
func (r *run) finish(f *failure.Failure) Result {
	result := Result{
		Outcome: failure.Completed, Endpoint: r.endpoint, Attempts: r.attempts, QueueWait: r.queueWait,
		ResponseStarted: r.sink.started, Elapsed: r.now().Sub(r.request.Arrived),
	}
	if !r.firstTokenAt.IsZero() {
		result.FirstToken = r.firstTokenAt.Sub(r.request.Arrived)
	}
	if r.exchange != nil {
		result.OutputTokens = r.exchange.outputTokens()
	}
	if f != nil {
		result.Failure, result.Outcome = f, f.Outcome
		r.waste.addTokens(result.OutputTokens)
		if r.exchange != nil && f.Code != failure.ClientGone {
			result.ErrorEventSent = r.exchange.sendError(f)
		}
	}
	r.settleClaim(f)
	r.losingCalls.Wait()
	wasted, spent := r.waste.total()
	result.WastedTokens = wasted
	r.dispatcher.metrics.requestFinished(r.request, result, spent)
	return result
}

// report releases a grant at the broker and logs the attempt.
func (d *Dispatcher) report(report routing.Report, permitRequest routing.PermitRequest, grant routing.Grant, err *endpoint.Error) {
	d.options.Broker.Release(report)
	d.metrics.attemptEnded(report)
	fields := logrus.Fields{
		"event": "attempt", "request_id": report.RequestID, "attempt": permitRequest.Attempt, "pool": report.Pool,
		"endpoint": report.Endpoint, "workspace": report.Workspace, "profile": report.Profile, "class": report.Class,
		"tier": permitRequest.Tier, "result": report.Result, "queue_wait": grant.QueueWait, "first_token": report.FirstToken,
		"elapsed": report.Elapsed, "output_tokens": report.OutputTokens, "reason": grant.Reason,
	}
	if err != nil {
		fields["cause"] = err.Cause
		fields["error"] = err.Error()
	}
	d.options.Logger.WithFields(fields).Info("attempt ended")
}
