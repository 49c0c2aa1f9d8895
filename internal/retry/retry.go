// Package retry decides whether a failed attempt is retried, and keeps the budgets that
// stop retries and hedges from amplifying an overload.
package retry

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Action is what to do after an attempt.
type Action string

const (
	// Restart runs the request again from the start, on another endpoint.
	Restart Action = "retry_elsewhere"
	// Resume continues after the tokens already sent, on another endpoint.
	Resume Action = "resume_elsewhere"
	// End ends the request with the Code and Outcome of the Decision.
	End Action = "end"
)

// Decision is the result of Decide.
type Decision struct {
	Action Action
	// Code is the failure to end with; empty for a completed request and for other actions.
	Code failure.Code
	// Outcome is the outcome sent to the caller; empty for actions other than End.
	Outcome failure.Outcome
	// Reason is a keyword for the decision log.
	Reason string
}

// Attempt describes how an attempt ended.
type Attempt struct {
	Result    routing.Result
	Workspace string
	Pool      string
	// RunsOnce marks a request that is not retried once it may have started.
	RunsOnce bool
	// EarlierMayHaveRun is true if an earlier attempt may have started.
	EarlierMayHaveRun bool
	// ResponseStarted is true if part of the response was sent to the caller.
	ResponseStarted bool
	// Resumable is true if the endpoints can continue after the tokens already sent.
	Resumable bool
	// Number is the number of this attempt; the first is 1.
	Number int
	// CallerDisconnected is true if the caller disconnected; the request is not retried.
	CallerDisconnected bool
	// Blocked is true if the request's digest is blocked by the quarantine.
	Blocked bool
}

// mayHaveRun reports whether any attempt so far may have started.
func (a Attempt) mayHaveRun() bool {
	return a.EarlierMayHaveRun || a.ResponseStarted || a.Result != routing.ResultNotStarted
}

// Decide returns what to do after the attempt. It takes a token from the budget only
// when it returns Restart or Resume. A request with RunsOnce is never retried after it
// may have started.
func (b *Budget) Decide(now time.Time, a Attempt) Decision {
	if a.Result == routing.ResultCompleted {
		return Decision{Action: End, Outcome: failure.Completed, Reason: "completed"}
	}
	if decision, final := decideNonRetryable(a); final {
		return decision
	}
	if decision, refused := b.checkRetryLimits(now, a); refused {
		return decision
	}
	if a.ResponseStarted {
		return Decision{Action: Resume, Reason: string(a.Result)}
	}
	return Decision{Action: Restart, Reason: string(a.Result)}
}

// decideNonRetryable ends the request if the attempt rules out a retry, whatever the budget.
// It reports false if a retry is possible.
func decideNonRetryable(a Attempt) (Decision, bool) {
	mayHaveRun := a.mayHaveRun()
	switch {
	case a.CallerDisconnected || a.Result == routing.ResultCancelled:
		return endDecision(failure.ClientGone, mayHaveRun, "caller_gone"), true
	case a.Result == routing.ResultRejected:
		return endDecision(failure.EndpointRefused, true, "rejected"), true
	case a.Blocked:
		return endDecision(failure.Quarantined, mayHaveRun, "quarantined"), true
	case a.RunsOnce && mayHaveRun:
		return endDecision(failureCode(a.Result), true, "runs_once"), true
	case a.ResponseStarted && !a.Resumable:
		return endDecision(failureCode(a.Result), true, "not_resumable"), true
	default:
		return Decision{}, false
	}
}

// checkRetryLimits ends the request if MaxAttempts is reached or the budget is used up, and
// otherwise takes a token. It reports whether the request ends.
func (b *Budget) checkRetryLimits(now time.Time, a Attempt) (Decision, bool) {
	mayHaveRun := a.mayHaveRun()
	if a.Number >= b.cfg.MaxAttempts {
		return endDecision(failureCode(a.Result), mayHaveRun, "attempts_spent"), true
	}
	if !b.Allow(now, a.Workspace, a.Pool) {
		return endDecision(failureCode(a.Result), mayHaveRun, "budget_spent"), true
	}
	return Decision{}, false
}

func endDecision(code failure.Code, mayHaveRun bool, reason string) Decision {
	outcome := failure.NotRun
	if mayHaveRun {
		outcome = failure.Unknown
	}
	return Decision{Action: End, Code: code, Outcome: outcome, Reason: reason}
}

func failureCode(result routing.Result) failure.Code {
	switch result {
	case routing.ResultNotStarted:
		return failure.NoEndpoint
	case routing.ResultTimedOut:
		return failure.TimedOut
	default:
		return failure.EndpointFailed
	}
}
