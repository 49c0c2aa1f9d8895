package dispatch

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/endpoint/prompt"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// maxRounds limits the attempts of one request, and the permits acquired for one attempt,
// independently of the retry policy.
const maxRounds = 16

// run is the state of one request. It belongs to the goroutine that called Run; hedged
// calls pass their results to that goroutine.
type run struct {
	dispatcher *Dispatcher
	// callerCtx ends when the caller disconnects. attemptCtx is the context of the
	// attempts; for a dispatched keyed request it is not cancelled with callerCtx.
	callerCtx  context.Context
	attemptCtx context.Context
	// endAttempts releases the resources of attemptCtx, if it is not callerCtx.
	endAttempts func()
	request     Request
	sink        *recordingSink
	exchange    exchange
	digest      string
	promptText  string

	claim          *claim.Claim
	dispatched     bool // ResponseStore.Begin was called.
	attempts       int
	permitRequests int
	avoid          []string
	// mayHaveStarted is true if an endpoint may have started to execute an attempt.
	mayHaveStarted bool
	endpoint       string
	queueWait      time.Duration
	firstTokenAt   time.Time

	losingCalls sync.WaitGroup
	waste       wasteCounter
}

// exchange makes the calls of one request: to an engine, whose response is streamed, or
// to a plain service.
type exchange interface {
	// attempt makes one attempt under the grant and reports it to the broker.
	attempt(permitRequest routing.PermitRequest, grant routing.Grant) attemptResult
	// mustResume reports whether the next attempt must continue a partial response.
	mustResume() bool
	// resumable reports whether a new attempt can continue the partial response.
	resumable() bool
	// sendError ends a started response with an error event and reports whether the
	// event was sent.
	sendError(f *failure.Failure) (errorEventSent bool)
	outputTokens() int
}

// attemptResult describes how an attempt ended.
type attemptResult struct {
	result routing.Result
	// err is nil for a completed attempt.
	err *endpoint.Error
	// callerDisconnected is true if the caller disconnected during the attempt.
	callerDisconnected bool
}

// runAttempts makes attempts until the response is complete, in which case it returns
// nil, or the retry policy ends the request.
func (r *run) runAttempts() *failure.Failure {
	d := r.dispatcher
	d.options.RetryPolicy.Started(r.now(), r.request.Workspace.Name, r.request.Service.Name)
	for range maxRounds {
		permitRequest, grant, f := r.acquirePermit()
		if f != nil {
			return f
		}
		if done, f := r.ensureClaim(permitRequest, grant); done {
			return f
		}
		if f := r.checkClaimFresh(permitRequest, grant); f != nil {
			return f
		}
		if !r.permitFits(permitRequest) { // claiming the key takes time.
			r.attempts--
			d.releaseUnused(permitRequest, grant)
			continue
		}
		attempt := r.exchange.attempt(permitRequest, grant)
		if attempt.err != nil && attempt.err.MayHaveStarted() {
			r.mayHaveStarted = true
		}
		decision := d.options.RetryPolicy.Decide(r.now(), r.retryAttempt(attempt))
		if decision.Action == retry.End {
			return r.decisionFailure(decision, attempt)
		}
		d.metrics.retryDecided(decision.Action)
		r.avoid = append(r.avoid, grant.Endpoint.Name)
	}
	return r.withOutcome(failure.New(failure.EndpointFailed, "too many attempts failed"))
}

func (r *run) now() time.Time { return r.dispatcher.options.Clock.Now() }

// acquirePermit acquires a permit. The quarantine state of the request may change while it
// waits for the permit; a permit requested for a less severe state is returned unused.
func (r *run) acquirePermit() (routing.PermitRequest, routing.Grant, *failure.Failure) {
	for range maxRounds {
		state := r.quarantineState()
		if state == quarantine.Blocked {
			return routing.PermitRequest{}, routing.Grant{}, r.quarantinedFailure()
		}
		permitRequest := r.newPermitRequest(state == quarantine.Suspect)
		grant, err := r.dispatcher.options.Broker.Acquire(r.attemptCtx, permitRequest)
		if err != nil {
			return permitRequest, grant, r.permitFailure(err)
		}
		r.queueWait += grant.QueueWait
		if r.attemptCtx.Err() == nil && r.permitFits(permitRequest) {
			r.attempts = permitRequest.Attempt
			r.endpoint = grant.Endpoint.Name
			return permitRequest, grant, nil
		}
		r.dispatcher.releaseUnused(permitRequest, grant)
		if r.attemptCtx.Err() != nil {
			return permitRequest, grant, r.callerDisconnected()
		}
	}
	return routing.PermitRequest{}, routing.Grant{}, r.withOutcome(failure.New(failure.Overloaded, "no permit fitted the request"))
}

func (r *run) quarantineState() quarantine.State {
	return r.dispatcher.options.Quarantine.State(r.now(), r.digest)
}

// permitFits reports whether the permit was requested for the request's present quarantine
// state or a more severe one.
func (r *run) permitFits(permitRequest routing.PermitRequest) bool {
	state := r.quarantineState()
	return state == quarantine.Clear || state == quarantine.Suspect && permitRequest.Suspect
}

// nextAttemptID returns a unique ID for the next permit request.
func (r *run) nextAttemptID() string {
	r.permitRequests++
	return r.request.ID + "/" + strconv.Itoa(r.permitRequests)
}

func (r *run) newPermitRequest(suspect bool) routing.PermitRequest {
	request := r.request
	floor := 0.0
	if request.Profile.FloorPercent != nil {
		floor = *request.Profile.FloorPercent
	}
	return routing.PermitRequest{
		ID:              r.nextAttemptID(),
		RequestID:       request.ID,
		Daemon:          r.dispatcher.options.Daemon,
		Pool:            request.Service.Name,
		Workspace:       request.Workspace.Name,
		Weight:          max(1, request.Workspace.Weight),
		Profile:         request.Profile.Name,
		Class:           request.Profile.Class,
		Tier:            request.Profile.Tier,
		FloorPercent:    floor,
		Waited:          r.now().Sub(request.Arrived),
		Target:          request.Profile.Target,
		MaxWait:         time.Duration(request.Profile.MaxWaitMS) * time.Millisecond,
		PromptTokens:    prompt.EstimateTokens(r.promptText) + r.exchange.outputTokens(),
		MaxOutputTokens: outputLimit(request),
		Prefix:          prompt.PrefixHashes(r.promptText),
		Digest:          r.digest,
		Repeatable:      repeatable(request),
		Suspect:         suspect,
		Avoid:           slices.Clone(r.avoid),
		Attempt:         r.attempts + 1,
	}
}

func (r *run) retryAttempt(attempt attemptResult) retry.Attempt {
	return retry.Attempt{
		Result:             attempt.result,
		Workspace:          r.request.Workspace.Name,
		Pool:               r.request.Service.Name,
		RunsOnce:           !repeatable(r.request),
		EarlierMayHaveRun:  r.mayHaveStarted,
		ResponseStarted:    r.exchange.mustResume(),
		Resumable:          r.exchange.resumable(),
		Number:             r.attempts,
		CallerDisconnected: attempt.callerDisconnected,
		Blocked:            r.quarantineState() == quarantine.Blocked,
	}
}

// releaseUnused releases a grant that was not used.
func (d *Dispatcher) releaseUnused(permitRequest routing.PermitRequest, grant routing.Grant) {
	d.options.Broker.Release(routing.Report{
		AttemptID: permitRequest.ID, RequestID: permitRequest.RequestID, Pool: permitRequest.Pool, Endpoint: grant.Endpoint.Name, Workspace: permitRequest.Workspace,
		Profile: permitRequest.Profile, Class: permitRequest.Class, Result: routing.ResultCancelled, Digest: permitRequest.Digest, PromptTokens: permitRequest.PromptTokens,
	})
}

// repeatable reports whether the request may be executed more than once.
func repeatable(request Request) bool {
	if request.RunsOnce() {
		return false
	}
	return request.API != PlainCall || request.Method == http.MethodGet || request.Method == http.MethodHead
}
