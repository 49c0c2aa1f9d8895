package dispatch

import (
	"context"

	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// ensureClaim claims the idempotency key of a keyed request before it is dispatched. done is
// true if the request ends here, with a failure or with the stored response.
func (r *run) ensureClaim(permitRequest routing.PermitRequest, grant routing.Grant) (done bool, f *failure.Failure) {
	if !r.request.RunsOnce() || r.claim != nil {
		return false, nil
	}
	o := r.dispatcher.options
	newClaim := claim.Claim{
		Workspace: r.request.Workspace.Name, Key: r.request.IdempotencyKey, Digest: r.digest,
		RequestID: r.request.ID, Daemon: o.Daemon, Incarnation: o.Incarnation,
	}
	claimResult, holder, err := o.Claims.Claim(r.callerCtx, newClaim)
	if err == nil && claimResult == claim.Granted {
		r.claim = &holder
		if r.callerCtx.Err() == nil {
			r.dispatched = true
			r.sink.recording = true
			o.ResponseStore.Begin(holder)
			r.continueUnattended()
			return false, nil
		}
	}
	r.dispatcher.releaseUnused(permitRequest, grant)
	switch {
	case r.callerCtx.Err() != nil:
		return true, r.callerDisconnected()
	case err != nil:
		return true, r.withOutcome(failure.From(err))
	case claimResult == claim.Mismatched:
		return true, failure.New(failure.KeyConflict, "the idempotency key was used with another request")
	default:
		return true, r.respondFromHolder(holder)
	}
}

// continueUnattended makes the attempts continue after the caller has disconnected, for
// UnattendedTimeout.
func (r *run) continueUnattended() {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.callerCtx))
	o := r.dispatcher.options
	stop := context.AfterFunc(r.callerCtx, func() {
		timer := o.Clock.NewTimer(o.UnattendedTimeout)
		defer timer.Stop()
		select {
		case <-timer.Chan():
			cancel()
		case <-ctx.Done():
		}
	})
	r.attemptCtx = ctx
	r.endAttempts = func() { stop(); cancel() }
}

// checkClaimFresh releases the grant if the claim is too old to be dispatched: while this
// process was suspended, the key may have been given to another request.
func (r *run) checkClaimFresh(permitRequest routing.PermitRequest, grant routing.Grant) *failure.Failure {
	if r.claim == nil || r.claim.Fresh(r.now()) {
		return nil
	}
	r.dispatcher.releaseUnused(permitRequest, grant)
	return r.withOutcome(failure.New(failure.PlatformUnavailable, "the claim became too old before the request could be dispatched"))
}

// respondFromHolder responds to a resend according to the state of the request that holds
// the key.
func (r *run) respondFromHolder(holder claim.Claim) *failure.Failure {
	stored, state := r.dispatcher.options.ResponseStore.Find(r.callerCtx, holder)
	switch state {
	case HolderStored:
		r.sink.Begin(stored.Status, stored.ContentType)
		if r.sink.Write(stored.Body) != nil {
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

// settleClaim ends the claim. It releases the key if the request certainly did not run;
// otherwise it stores the response if that is complete.
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
	var stored *StoredResponse
	if f == nil {
		stored = r.sink.stored()
	}
	o.ResponseStore.End(*r.claim, f == nil, stored)
}
