package dispatch

import (
	"net/http"
	"time"

	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/retry"
)

// minRetryAfter is the minimum retry-after delay when no endpoint accepted the request. An
// ejected endpoint is tried again after about that time.
const minRetryAfter = time.Second

// withOutcome sets the outcome of f according to the attempts so far: not_run only if no
// attempt may have started.
func (r *run) withOutcome(f *failure.Failure) *failure.Failure {
	if r.mayHaveStarted {
		return f.WithOutcome(failure.Unknown)
	}
	return f.WithOutcome(failure.NotRun)
}

func (r *run) callerDisconnected() *failure.Failure {
	return r.withOutcome(failure.New(failure.ClientGone, "the caller left"))
}

func (r *run) quarantinedFailure() *failure.Failure {
	return r.withOutcome(failure.New(failure.Quarantined, "this request crashed the endpoints that ran it and is refused; do not send it again"))
}

// permitFailure converts an error of Broker.Acquire into the failure of the request.
func (r *run) permitFailure(err error) *failure.Failure {
	if r.attemptCtx.Err() != nil {
		return r.callerDisconnected()
	}
	return r.withOutcome(failure.From(err))
}

// decisionFailure returns the failure that ends the request; nil for a completed one.
func (r *run) decisionFailure(decision retry.Decision, attempt attemptResult) *failure.Failure {
	switch {
	case decision.Outcome == failure.Completed:
		return nil
	case attempt.callerDisconnected:
		return r.callerDisconnected()
	case decision.Code == failure.Quarantined:
		return r.quarantinedFailure()
	case attempt.err != nil && attempt.err.Cause == endpoint.Rejected:
		return r.withOutcome(failure.Wrap(attempt.err, rejectionCode(attempt.err.Status), "the endpoint rejected the request: "+attempt.err.Message))
	}
	f := r.withOutcome(failure.Wrap(attempt.err, decision.Code, failureMessage(decision.Code)))
	if f.Outcome == failure.NotRun {
		return f.WithRetryAfter(max(attempt.err.RetryAfter, minRetryAfter))
	}
	return f
}

// rejectionCode distinguishes an invalid request from a configuration error.
func rejectionCode(status int) failure.Code {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return failure.InvalidRequest
	default:
		return failure.EndpointRefused
	}
}

func failureMessage(code failure.Code) string {
	switch code {
	case failure.NoEndpoint:
		return "no endpoint took the request"
	case failure.TimedOut:
		return "the endpoint sent nothing for longer than allowed"
	default:
		return "the endpoint failed before the answer was whole"
	}
}
