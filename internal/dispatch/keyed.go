package dispatch

import (
	"context"

	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// ensureClaim makes sure that keyed work holds its key before it is dispatched. Done
// is true if the request ends here, by a failure or by the kept answer.
func (r *run) ensureClaim(ask routing.PermitRequest, grant routing.Grant) (done bool, f *failure.Failure) {
	if !r.request.RunsOnce() || r.claim != nil {
		return false, nil
	}
	o := r.dispatcher.options
	wanted := claim.Claim{
		Workspace: r.request.Workspace.Name, Key: r.request.IdempotencyKey, Digest: r.digest,
		RequestID: r.request.ID, Daemon: o.Daemon, Incarnation: o.Incarnation,
	}
	verdict, holder, err := o.Claims.Claim(r.ctx, wanted)
	if err == nil && verdict == claim.Granted {
		r.claim = &holder
		if r.ctx.Err() == nil {
			r.dispatched = true
			r.sink.keep = true
			o.ResponseStore.Begin(holder)
			r.work = context.WithoutCancel(r.ctx)
			return false, nil
		}
	}
	r.dispatcher.giveBack(ask, grant)
	switch {
	case r.ctx.Err() != nil:
		return true, r.callerGone()
	case err != nil:
		return true, r.outcome(failure.From(err))
	case verdict == claim.Mismatched:
		return true, failure.New(failure.KeyConflict, "the idempotency key was used with another request")
	default:
		return true, r.answerHeld(holder)
	}
}

// staleClaim gives the grant back if the claim is too old to be dispatched: a process
// that was frozen may wake to find its key given to another.
func (r *run) staleClaim(ask routing.PermitRequest, grant routing.Grant) *failure.Failure {
	if r.claim == nil || r.claim.Fresh(r.now()) {
		return nil
	}
	r.dispatcher.giveBack(ask, grant)
	return r.outcome(failure.New(failure.PlatformUnavailable, "the claim became too old before the request could be dispatched"))
}

// answerHeld answers a resend by what became of the request that holds the key.
func (r *run) answerHeld(holder claim.Claim) *failure.Failure {
	kept, state := r.dispatcher.options.ResponseStore.Find(r.ctx, holder)
	switch state {
	case HolderStored:
		r.sink.Begin(kept.Status, kept.ContentType)
		if r.sink.Write(kept.Body) != nil {
			return failure.New(failure.ClientGone, "the caller left")
		}
		return nil
	case HolderRunning:
		return failure.New(failure.InProgress, "the request with this idempotency key is running")
	case HolderCompleted:
		return failure.New(failure.AlreadyRun, "the request with this idempotency key has run; its answer is no longer kept")
	default:
		return failure.New(failure.AlreadyRun, "the request with this idempotency key may have run; it is not run again").
			WithOutcome(failure.Unknown)
	}
}

// settleClaim ends the claim: given back if the work certainly did not run, else its
// answer is kept if it was whole.
func (r *run) settleClaim(f *failure.Failure) {
	if r.claim == nil {
		return
	}
	o := r.dispatcher.options
	if f != nil && f.Outcome == failure.NotRun {
		if r.dispatched {
			o.ResponseStore.End(*r.claim, false, nil)
		}
		o.Claims.Release(*r.claim)
		return
	}
	var kept *StoredResponse
	if f == nil {
		kept = r.sink.kept()
	}
	o.ResponseStore.End(*r.claim, f == nil, kept)
}
