// Package retry decides what follows a failed attempt, and keeps the budgets that
// stop retries and hedges from adding to an overload.
package retry

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Action is what to do after an attempt.
type Action string

const (
	// Elsewhere means to run the request again from the start, on another endpoint.
	Elsewhere Action = "retry_elsewhere"
	// Resume means to go on from the tokens already sent, on another endpoint.
	Resume Action = "resume_elsewhere"
	// End means that the request is over; see Verdict.Code and Verdict.Outcome.
	End Action = "end"
)

// Verdict is the typed answer of Decide.
type Decision struct {
	Action Action
	// Code is the failure to end with; empty for a completed request and for other actions.
	Code failure.Code
	// Outcome is what the caller is told; empty for other actions than End.
	Outcome failure.Outcome
	// Reason says in one word why, for the decision log.
	Reason string
}

// Attempt describes how an attempt ended.
type Attempt struct {
	Result    routing.Result
	Workspace string
	Pool      string
	// RunsOnce marks work that may not be repeated once it may have started.
	RunsOnce bool
	// StartedBefore is true if an earlier attempt may have started.
	EarlierMayHaveRun bool
	// Begun is true if part of the answer has gone to the caller.
	ResponseStarted bool
	// Resumable is true if the endpoints can go on from the tokens already sent.
	Resumable bool
	// Number counts the attempts from 1, this one included.
	Number int
	// CallerGone is true if the caller left; nothing is tried again.
	CallerDisconnected bool
	// Blocked is true if the quarantine holds the request's digest blocked.
	Blocked bool
}

// mayHaveRun reports whether any attempt so far may have started.
func (a Attempt) mayHaveRun() bool {
	return a.EarlierMayHaveRun || a.ResponseStarted || a.Result != routing.ResultNotStarted
}

// Decide says what follows the attempt. It takes a token from the budget exactly
// when it answers Elsewhere or Resume. Work that runs once is never tried again
// after it may have started.
func (b *Budget) Decide(now time.Time, a Attempt) Decision {
	if a.Result == routing.ResultCompleted {
		return Decision{Action: End, Outcome: failure.Completed, Reason: "completed"}
	}
	if verdict, final := decideFinal(a); final {
		return verdict
	}
	if verdict, refused := b.refuseRetry(now, a); refused {
		return verdict
	}
	if a.ResponseStarted {
		return Decision{Action: Resume, Reason: string(a.Result)}
	}
	return Decision{Action: Elsewhere, Reason: string(a.Result)}
}

// decideFinal answers for the attempts after which nothing may be tried, whatever the budget.
func decideFinal(a Attempt) (Decision, bool) {
	mayHaveRun := a.mayHaveRun()
	switch {
	case a.CallerDisconnected || a.Result == routing.ResultCancelled:
		return end(failure.ClientGone, mayHaveRun, "caller_gone"), true
	case a.Result == routing.ResultRejected:
		return end(failure.EndpointRefused, true, "rejected"), true
	case a.Blocked:
		return end(failure.Quarantined, mayHaveRun, "quarantined"), true
	case a.RunsOnce && mayHaveRun:
		return end(codeOf(a.Result), true, "runs_once"), true
	case a.ResponseStarted && !a.Resumable:
		return end(codeOf(a.Result), true, "not_resumable"), true
	default:
		return Decision{}, false
	}
}

// refuseRetry applies the bound on attempts and the budget.
func (b *Budget) refuseRetry(now time.Time, a Attempt) (Decision, bool) {
	mayHaveRun := a.mayHaveRun()
	if a.Number >= b.cfg.MaxAttempts {
		return end(codeOf(a.Result), mayHaveRun, "attempts_spent"), true
	}
	if !b.Allow(now, a.Workspace, a.Pool) {
		return end(codeOf(a.Result), mayHaveRun, "budget_spent"), true
	}
	return Decision{}, false
}

func end(code failure.Code, mayHaveRun bool, reason string) Decision {
	outcome := failure.NotRun
	if mayHaveRun {
		outcome = failure.Unknown
	}
	return Decision{Action: End, Code: code, Outcome: outcome, Reason: reason}
}

func codeOf(result routing.Result) failure.Code {
	switch result {
	case routing.ResultNotStarted:
		return failure.NoEndpoint
	case routing.ResultTimedOut:
		return failure.TimedOut
	default:
		return failure.EndpointFailed
	}
}
