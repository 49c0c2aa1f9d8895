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

// maxRounds bounds the rounds of one request, whatever the retry policy says.
const maxRounds = 16

// run is one request on its way. Its goroutine is the caller of Run; hedges hand
// their results to it.
type run struct {
	dispatcher *Dispatcher
	// ctx ends when the caller leaves. work is the context of attempts; it outlives
	// the caller for keyed work that was dispatched.
	ctx        context.Context
	work       context.Context
	request    Request
	sink       *keepingSink
	exchange   exchange
	digest     string
	promptText string

	claim      *claim.Claim
	dispatched bool // Answers.Begin was called.
	attempts   int
	permits    int
	avoid      []string
	// started is true if an attempt may have started at an endpoint.
	started   bool
	endpoint  string
	queueWait time.Duration
	firstAt   time.Time

	losers sync.WaitGroup
	waste  wasteCounter
}

// exchange is the kind of call: an engine's streamed answer or a plain service's.
type exchange interface {
	// attempt makes one attempt under the grant and reports it to the broker.
	attempt(ask routing.PermitRequest, grant routing.Grant) attemptEnd
	// begun reports whether an attempt after a failed one has to resume.
	begun() bool
	resumable() bool
	// fail ends an answer that has begun and reports whether it could say so.
	fail(f *failure.Failure) (typedEnd bool)
	outputTokens() int
}

// attemptEnd says how an attempt ended.
type attemptEnd struct {
	result routing.Result
	// err is nil for a completed attempt.
	err *endpoint.Error
	// callerGone is true if the caller left during the attempt.
	callerGone bool
}

// carry takes the request through its attempts; nil means that the answer is whole.
func (r *run) carry() *failure.Failure {
	d := r.dispatcher
	d.options.RetryPolicy.Started(r.now(), r.request.Workspace.Name, r.request.Service.Name)
	for range maxRounds {
		ask, grant, f := r.acquire()
		if f != nil {
			return f
		}
		if done, f := r.ensureClaim(ask, grant); done {
			return f
		}
		if f := r.staleClaim(ask, grant); f != nil {
			return f
		}
		end := r.exchange.attempt(ask, grant)
		if end.err != nil && end.err.MayHaveStarted() {
			r.started = true
		}
		verdict := d.options.RetryPolicy.Decide(r.now(), r.describe(end))
		if verdict.Action == retry.End {
			return r.verdictFailure(verdict, end)
		}
		d.metrics.retried(verdict.Action)
		r.avoid = append(r.avoid, grant.Endpoint.Name)
	}
	return r.outcome(failure.New(failure.EndpointFailed, "too many attempts failed"))
}

func (r *run) now() time.Time { return r.dispatcher.options.Clock.Now() }

// acquire gets a permit that fits what the quarantine holds against the request by
// the time the permit comes.
func (r *run) acquire() (routing.PermitRequest, routing.Grant, *failure.Failure) {
	for range maxRounds {
		state := r.quarantineState()
		if state == quarantine.Blocked {
			return routing.PermitRequest{}, routing.Grant{}, r.quarantined()
		}
		ask := r.newAsk(state == quarantine.Suspect)
		grant, err := r.dispatcher.options.Broker.Acquire(r.work, ask)
		if err != nil {
			return ask, grant, r.refused(err)
		}
		r.queueWait += grant.QueueWait
		if now := r.quarantineState(); r.work.Err() == nil && (now == state || now == quarantine.Clear) {
			r.attempts = ask.Attempt
			r.endpoint = grant.Endpoint.Name
			return ask, grant, nil
		}
		r.dispatcher.giveBack(ask, grant)
		if r.work.Err() != nil {
			return ask, grant, r.callerGone()
		}
	}
	return routing.PermitRequest{}, routing.Grant{}, r.outcome(failure.New(failure.Overloaded, "no permit fitted the request"))
}

func (r *run) quarantineState() quarantine.State {
	return r.dispatcher.options.Quarantine.State(r.now(), r.digest)
}

// nextAskID names one permit.
func (r *run) nextAskID() string {
	r.permits++
	return r.request.ID + "/" + strconv.Itoa(r.permits)
}

func (r *run) newAsk(suspect bool) routing.PermitRequest {
	request := r.request
	floor := 0.0
	if request.Profile.FloorPercent != nil {
		floor = *request.Profile.FloorPercent
	}
	return routing.PermitRequest{
		ID:              r.nextAskID(),
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
		PromptTokens:    prompt.Tokens(r.promptText) + r.exchange.outputTokens(),
		MaxOutputTokens: outputLimit(request),
		Prefix:          prompt.PrefixBlocks(r.promptText),
		Digest:          r.digest,
		Repeatable:      repeatable(request),
		Suspect:         suspect,
		Avoid:           slices.Clone(r.avoid),
		Attempt:         r.attempts + 1,
	}
}

func (r *run) describe(end attemptEnd) retry.Attempt {
	return retry.Attempt{
		Result:        end.result,
		Workspace:     r.request.Workspace.Name,
		Pool:          r.request.Service.Name,
		RunsOnce:      !repeatable(r.request),
		StartedBefore: r.started,
		Begun:         r.exchange.begun(),
		Resumable:     r.exchange.resumable(),
		Number:        r.attempts,
		CallerGone:    end.callerGone,
		Blocked:       r.quarantineState() == quarantine.Blocked,
	}
}

// giveBack ends a grant that was not used.
func (d *Dispatcher) giveBack(ask routing.PermitRequest, grant routing.Grant) {
	d.options.Broker.Release(routing.Report{
		AttemptID: ask.ID, RequestID: ask.RequestID, Pool: ask.Pool, Endpoint: grant.Endpoint.Name, Workspace: ask.Workspace,
		Profile: ask.Profile, Class: ask.Class, Result: routing.ResultCancelled, Digest: ask.Digest, PromptTokens: ask.PromptTokens,
	})
}

// repeatable reports whether the request may run more than once.
func repeatable(request Request) bool {
	if request.RunsOnce() {
		return false
	}
	return request.API != PlainCall || request.Method == http.MethodGet || request.Method == http.MethodHead
}
