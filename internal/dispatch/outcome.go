package dispatch

import (
	"net/http"
	"time"

	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/retry"
)

// minRetryAfter is when to come back after no endpoint took the request; an endpoint
// that was ejected is tried again after about that time.
const minRetryAfter = time.Second

// outcome gives f the outcome that the attempts so far allow: not_run only while no
// attempt may have started.
func (r *run) outcome(f *failure.Failure) *failure.Failure {
	if r.started {
		return f.WithOutcome(failure.Unknown)
	}
	return f.WithOutcome(failure.NotRun)
}

func (r *run) callerGone() *failure.Failure {
	return r.outcome(failure.New(failure.ClientGone, "the caller left"))
}

func (r *run) quarantined() *failure.Failure {
	return r.outcome(failure.New(failure.Quarantined, "this request crashed the endpoints that ran it and is refused; do not send it again"))
}

// refused turns the broker's refusal into the answer to the request.
func (r *run) refused(err error) *failure.Failure {
	if r.work.Err() != nil {
		return r.callerGone()
	}
	return r.outcome(failure.From(err))
}

// verdictFailure is the failure that ends the request; nil for a completed one.
func (r *run) verdictFailure(verdict retry.Verdict, end attemptEnd) *failure.Failure {
	switch {
	case verdict.Outcome == failure.Completed:
		return nil
	case end.callerGone:
		return r.callerGone()
	case verdict.Code == failure.Quarantined:
		return r.quarantined()
	case end.err != nil && end.err.Cause == endpoint.Rejected:
		return r.outcome(failure.Wrap(end.err, rejectionCode(end.err.Status), "the endpoint rejected the request: "+end.err.Message))
	}
	f := r.outcome(failure.Wrap(end.err, verdict.Code, endMessage(verdict.Code)))
	if f.Outcome == failure.NotRun {
		return f.WithRetryAfter(max(end.err.RetryAfter, minRetryAfter))
	}
	return f
}

// rejectionCode tells a fault of the request from a fault of the configuration.
func rejectionCode(status int) failure.Code {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return failure.InvalidRequest
	default:
		return failure.EndpointRefused
	}
}

func endMessage(code failure.Code) string {
	switch code {
	case failure.NoEndpoint:
		return "no endpoint took the request"
	case failure.TimedOut:
		return "the endpoint sent nothing for longer than allowed"
	default:
		return "the endpoint failed before the answer was whole"
	}
}
