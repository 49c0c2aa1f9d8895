// Package forward forwards opaque requests from callers to endpoints: it matches the
// route, checks the API key, tries endpoints within the route's attempts and the retry
// budget, and relays responses and streams. A refusal guarantees that the request has not
// run; where it may have run, the failure says so.
package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/drain"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/quarantine/parts"
	"github.com/primrosewell/primrosewell/internal/resume"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

const (
	// refusedRetryAfter and refusedRetryJitter give the retry delay after every endpoint
	// refused: an engine completes a batch in about that time.
	refusedRetryAfter  = 150 * time.Millisecond
	refusedRetryJitter = 250 * time.Millisecond
	// suspendedRetryJitter spreads the retries of content that crashed endpoints.
	suspendedRetryJitter = time.Second
	// maxPlacements bounds the endpoints that are tried for one request, including refusals
	// and failed connections.
	maxPlacements = 4
	// defaultTimeout applies if neither the caller nor the route limits the time.
	defaultTimeout = 60 * time.Second
	// shutdownRetryAfter is the retry delay while this daemon shuts down: short, because
	// other daemons can serve the request.
	shutdownRetryAfter = 50 * time.Millisecond
	// blockWaitShare is the part, one in so many, of a request's remaining time for which it waits at
	// most until blocked contents and parts are known.
	blockWaitShare = 4
	// minRemaining is the remaining time below which no further attempt is started.
	minRemaining = 5 * time.Millisecond
)

// PoolLookup returns the pool of a service, or nil.
type PoolLookup func(service string) *balance.Pool

// Options configure a Forwarder; all fields except Began are required.
type Options struct {
	Headers headers.Names
	// MakeRequestIDs assigns an id to each request that arrives without one.
	MakeRequestIDs bool
	// Table returns the route table in force, or nil before the first one is received.
	Table func() *routetable.Table
	Pools PoolLookup
	// ShuttingDown reports whether the daemon is shutting down and refuses new requests.
	ShuttingDown func() bool
	// PlannedStop returns when the daemon will end the requests that are in progress, or false if it is
	// not to stop.
	PlannedStop func() (drain.Stop, bool)
	// EndpointsVersion returns the version of the endpoint list in use.
	EndpointsVersion func() int64
	// EndpointsAge returns the time since that list was last known to be current.
	EndpointsAge func(now time.Time) time.Duration
	Dialer       *httpio.Dialer
	Budget       *retry.SharedBudget
	// Streams remembers at which version each stream began.
	Streams *resume.Tracker
	// BlocksKnown returns a channel that is closed once it is known which contents and parts are
	// blocked since before the start.
	BlocksKnown func() <-chan struct{}
	// Began, if set, is called once for each request with a workspace that an endpoint began to run.
	Began func(at time.Time, workspace string)
	// Contents records which requests crash endpoints, by their content.
	Contents *parts.Ledger
	// Parts records which parts of prompts crash endpoints.
	Parts *parts.Ledger
	Log   *logrus.Logger
	Scope tally.Scope
}

// Forwarder handles callers' requests. It is safe for concurrent use.
type Forwarder struct {
	Options
	filters        filters
	metrics        metrics
	crashProber    *crashProber
	durations      *drain.Durations
	malformedLoads malformedLoads

	mu sync.Mutex
	// unconfigured and noEndpoints track how long requests have been refused for lack of a
	// configuration or of endpoints.
	unconfigured outage
	noEndpoints  outage
}

// New returns a forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{
		Options: options, filters: newFilters(options.Headers), metrics: newMetrics(options.Scope),
		crashProber:  newCrashProber(options.Dialer, options.Contents, options.Parts, options.Log),
		durations:    drain.NewDurations(time.Now()),
		unconfigured: outage{start: time.Now()}, // The daemon starts without a configuration.
	}
}

// job is the state of one request while it is forwarded.
type job struct {
	f         *Forwarder
	ctx       context.Context
	request   *httpio.Request
	writer    *httpio.Writer
	id        string
	table     *routetable.Table
	route     *routetable.Route
	workspace *routetable.Workspace
	service   string
	// urgency is the request's priority at an engine; 0 is the most urgent.
	urgency int
	// deadline is when the caller's or the route's time runs out.
	deadline     time.Time
	promptTokens int
	promptParts  []balance.PromptPart
	// chain holds the keys of the prompt's parts at the service.
	chain parts.Chain
	// trialOf is the blocked part of which the request is a trial, or 0.
	trialOf parts.Key
	// content identifies the request's content; contentTrial is set if it is blocked, and the request
	// runs as a trial.
	content      parts.Key
	contentTrial bool

	triedEndpoints map[string]bool
	placements     int
	// counted is set once Began was called.
	counted bool
	// transmissions counts the endpoints that the request was sent to, even in part, and
	// possibleRuns those that may have started to process it.
	transmissions int
	possibleRuns  int
	// errorResponse is an endpoint's error response, kept while another attempt is made.
	errorResponse *errorResponse
	// events splits the streams of the attempts, if the route may be resumed, and lastEventID is the
	// id of the last complete event that the caller received, or "".
	events      eventSplitter
	lastEventID string
	// streamID is the id of the request that the first event of the caller's stream answered.
	streamID string
	// version is the software version of the endpoint that began the caller's stream, at which
	// alone it may go on, or nil before its first event.
	version *string
	status  int
	// framing is the framing of the stream that the caller received last, or "" before its first event.
	framing httpio.Framing
	// firstEvent and lastEvent are the times at which events were forwarded.
	firstEvent   time.Time
	lastEvent    time.Time
	longestPause time.Duration
}

// Handle forwards one request; it is an httpio.Handler.
func (f *Forwarder) Handle(ctx context.Context, r *httpio.Request, w *httpio.Writer) {
	j := &job{f: f, ctx: ctx, request: r, writer: w, id: string(r.Header.Peek(f.Headers.RequestID)), triedEndpoints: make(map[string]bool)}
	err := j.admit()
	if err == nil {
		// Ends after finish has recorded the duration, so that the request counts throughout.
		defer f.durations.Begin(r.Arrived, j.route.Key())()
		err = j.run()
	}
	j.finish(err)
}

// admit finds the route and the workspace, and sets the deadline, the urgency and the service.
func (j *job) admit() *failure.Failure {
	if j.f.ShuttingDown() {
		return failure.New(failure.Draining, "the gateway shuts down").WithRetryAfter(shutdownRetryAfter)
	}
	j.table = j.f.Table()
	if j.table == nil {
		return failure.New(failure.PlatformUnavailable, "no configuration yet").WithRetryAfter(j.outageRetryAfter(&j.f.unconfigured))
	}
	if j.id == "" && j.f.MakeRequestIDs {
		j.id = uuid.NewString()
		j.request.Header.Set(j.f.Headers.RequestID, j.id)
	}
	if j.id == "" {
		return failure.New(failure.InvalidRequest, "the request has no "+j.f.Headers.RequestID)
	}
	path, _, _ := strings.Cut(j.request.Target, "?")
	j.route = j.table.Match(string(j.request.Header.Host()), path)
	if j.route == nil {
		return failure.New(failure.NotFound, "no route for this host and path")
	}
	if err := j.authenticate(); err != nil {
		return err
	}
	j.urgency = j.table.Urgency(j.workspace, j.route)
	j.deadline = j.request.Arrived.Add(j.timeout())
	if err := j.admitBeforeStop(time.Now()); err != nil {
		return err
	}
	j.promptTokens, j.promptParts = parsePrompt(string(j.request.Header.Peek(j.f.Headers.PromptSize)), string(j.request.Header.Peek(j.f.Headers.PromptParts)))
	j.service = j.route.PickBackend(rand.Float64())
	return j.resumeStream()
}

// admitBeforeStop refuses a request that would probably be in progress when this daemon stops.
func (j *job) admitBeforeStop(now time.Time) *failure.Failure {
	stop, stops := j.f.PlannedStop()
	if !stops {
		return nil
	}
	if stop.Takes(now, drain.Candidate{Route: j.route.Key(), Deadline: j.deadline, Repeatable: j.route.Repeatable()}, j.f.durations) {
		return nil
	}
	left := stop.At.Sub(now).Round(time.Millisecond)
	return failure.New(failure.Draining, fmt.Sprintf("the gateway stops in %s, which may be too soon for requests of this route", left)).WithRetryAfter(shutdownRetryAfter)
}

// aborted reports whether the daemon ends the requests in progress.
func (j *job) aborted() bool { return errors.Is(context.Cause(j.ctx), httpio.ErrAborted) }

// ended returns the failure of a request whose context has ended: the caller left, or the daemon stops.
func (j *job) ended(reason string) *failure.Failure {
	switch {
	case !j.aborted():
		return failure.New(failure.ClientGone, reason)
	case j.errorResponse != nil && !j.writer.Started():
		return j.sendErrorResponse()
	case j.possibleRuns > 0:
		return failure.New(failure.EndpointFailed, "the gateway stopped before the endpoint had answered")
	}
	return failure.New(failure.Draining, "the gateway stopped before an endpoint was chosen").WithRetryAfter(shutdownRetryAfter)
}

// authenticate finds the workspace of the API key; anonymous routes need none.
func (j *job) authenticate() *failure.Failure {
	if !j.table.KeysRequired() || j.route.Anonymous {
		return nil
	}
	keys := j.request.Header.PeekAll(j.f.Headers.APIKey)
	if len(keys) == 1 {
		j.workspace = j.table.WorkspaceByKey(string(keys[0]))
	}
	if j.workspace == nil {
		return failure.New(failure.Unauthenticated, "unknown API key")
	}
	return nil
}

// timeout returns the shorter of the caller's and the route's time limits.
func (j *job) timeout() time.Duration {
	callerTimeout := j.callerTimeout()
	if j.route.Timeout > 0 && (callerTimeout <= 0 || j.route.Timeout < callerTimeout) {
		return j.route.Timeout
	}
	if callerTimeout <= 0 {
		return defaultTimeout
	}
	return callerTimeout
}

// callerTimeout returns how long the caller waits, or 0 if it declares no limit.
func (j *job) callerTimeout() time.Duration {
	ms, err := strconv.ParseInt(string(j.request.Header.Peek(j.f.Headers.Deadline)), 10, 64)
	if err != nil || ms < 0 {
		return 0 // Only the route's timeout applies.
	}
	return time.Duration(ms) * time.Millisecond
}

// run tries endpoints until one completes the request or no further attempt is allowed.
func (j *job) run() *failure.Failure {
	pool := j.f.Pools(j.service)
	if pool == nil || pool.Size() == 0 {
		return failure.New(failure.NoEndpoint, "the service has no endpoint").WithRetryAfter(j.outageRetryAfter(&j.f.noEndpoints))
	}
	j.awaitBlocks()
	if f := j.admitContent(); f != nil {
		return f
	}
	defer j.endContentTrial()
	if f := j.admitParts(); f != nil {
		return f
	}
	defer j.endTrial()
	j.f.Budget.RecordRequest(time.Now(), j.service)
	for {
		choice := j.place(pool)
		if choice == nil {
			return j.exhausted(j.noEndpointReason())
		}
		if f := j.overloaded(choice); f != nil {
			choice.ReturnPermit()
			choice.Done(time.Now(), balance.Neutral)
			return f
		}
		attempt := j.newAttempt(choice)
		outcome := attempt.send()
		choice.Done(time.Now(), outcome.result)
		attempt.log(outcome)
		j.f.metrics.countAttempt(j.service, outcome.result, attempt.trace)
		if outcome.result == balance.Broken {
			j.failTrial()
			j.failContentTrial()
			j.f.crashProber.reportBroken(choice, j.content, attempt.unbegunChain())
		}
		if outcome.done {
			return outcome.failure
		}
		if reason := j.retryDenialReason(outcome); reason != "" {
			return j.exhausted(reason)
		}
	}
}

// place chooses the next endpoint and excludes it from later placements of this request.
func (j *job) place(pool *balance.Pool) *balance.Choice {
	now := time.Now()
	choice := pool.Pick(now, balance.Request{
		PromptTokens: j.promptTokens, Parts: j.promptParts, Priority: j.urgency, Exclude: j.triedEndpoints, Version: j.version, Avoid: j.unspreadVersions(),
		Deadline:         j.deadline,
		TolerantOfPauses: j.table.TolerantOfPauses(j.service, j.route),
	})
	if choice == nil {
		return nil
	}
	j.f.metrics.recordWait(choice.PredictedWait)
	j.f.metrics.recordPace(choice.Pace)
	j.triedEndpoints[choice.ID] = true
	j.placements++
	j.f.Log.WithFields(logrus.Fields{
		"event": "placement", "request_id": j.id, "route": j.route.Name, "service": j.service, "endpoint": choice.ID,
		"reason": choice.Reason, "score": int(choice.Score), "alternatives": choice.Candidates, "send": j.placements,
		"priority": j.urgency, "table_version": j.table.Version(), "endpoints_version": j.f.EndpointsVersion(), "left": j.deadline.Sub(now), "wait": choice.PredictedWait, "mean_wait": choice.MeanWait, "interactive": choice.Interactive, "pace": choice.Pace,
	}).WithFields(j.streamFields(choice)).Info("endpoint chosen")
	return choice
}

// noEndpointReason says why there was no endpoint for an attempt.
func (j *job) noEndpointReason() string {
	if j.version != nil {
		return "no further endpoint of version " + strconv.Quote(*j.version)
	}
	return "no further endpoint"
}

// retryDenialReason returns why no further attempt may be made, or "" if one may.
func (j *job) retryDenialReason(outcome attemptOutcome) string {
	switch {
	case j.aborted():
		return "the gateway stops"
	case j.ctx.Err() != nil:
		return "the caller left"
	case outcome.mayHaveRun && !j.route.Repeatable():
		return "the request may have run"
	case j.possibleRuns >= max(1, j.route.MaxAttempts):
		return "the route's attempts are used up"
	case j.placements >= maxPlacements:
		return "too many endpoints were tried"
	case time.Until(j.deadline) < minRemaining:
		return "no time is left"
	case !j.mayRepeatContent(outcome):
		return "endpoints crashed under this content"
	case !j.mayRepeatParts(outcome):
		return "a part of the prompt crashes endpoints"
	case j.transmissions > 0 && !j.f.Budget.Allow(time.Now(), j.service):
		return "the retry budget is used up"
	}
	return ""
}

// exhausted returns the failure of a request that no endpoint completed. If an endpoint sent
// an error response, the caller gets that instead.
func (j *job) exhausted(reason string) *failure.Failure {
	switch {
	case j.ctx.Err() != nil:
		return j.ended(reason)
	case j.errorResponse != nil && !j.writer.Started():
		return j.sendErrorResponse()
	case j.possibleRuns > 0 && time.Until(j.deadline) <= minRemaining:
		return failure.New(failure.TimedOut, reason)
	case j.possibleRuns > 0:
		return failure.New(failure.EndpointFailed, reason)
	}
	return j.noEndpointLeft(reason)
}
