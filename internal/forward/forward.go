// Package forward carries opaque requests from callers to endpoints: it finds the
// route, checks the key, tries endpoints within the budgets, and passes answers and
// streams on. Where a request may have run it says so; a refusal is always true.
package forward

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

const (
	// retryWhenFull and its spread are when to come back after every endpoint refused:
	// a batch of an engine turns over in about that time.
	retryWhenFull       = 150 * time.Millisecond
	retryWhenFullSpread = 250 * time.Millisecond
	// suspendedSpread spreads those who come back with content that crashed endpoints.
	suspendedSpread = time.Second
	// waitShare is how many latency targets a request may wait for the prompts ahead of it.
	waitShare = 1.0
	// maxSends bounds the endpoints that one request is offered to, refusals and
	// connections that did not open included.
	maxSends = 4
	// defaultTime is how long a request may take if neither caller nor route says.
	defaultTime = 60 * time.Second
	// closingComeBack is when a caller may come back that reached a daemon which shuts
	// down: at once, as others serve.
	closingComeBack = 50 * time.Millisecond
	// minLeft is the time below which an attempt is not worth starting.
	minLeft = 5 * time.Millisecond
)

// Pools returns the pool of a service, or nil.
type Pools func(service string) *balance.Pool

// Options configure a Forwarder; all fields are required.
type Options struct {
	Headers headers.Names
	// MakeRequestIDs names requests that callers did not name.
	MakeRequestIDs bool
	// Table returns the route table in force, or nil before the first.
	Table func() *routetable.Table
	Pools Pools
	// Closing reports whether the daemon takes no more requests, as it shuts down.
	ShuttingDown func() bool
	// Listing returns the version of the list of endpoints in use.
	EndpointsVersion func() int64
	Dialer           *httpio.Dialer
	Budget           *retry.Shared
	// Register holds the evidence against requests that crash endpoints.
	Register *quarantine.Register
	Log      *logrus.Logger
	Scope    tally.Scope
}

// Forwarder answers callers. It is safe for concurrent use.
type Forwarder struct {
	Options
	filters filters
	metrics metrics
	crashes *crashLook

	mu sync.Mutex
	// unready and empty note since when no configuration or no endpoint is known.
	unready outage
	empty   outage
}

// New returns a forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{
		Options: options, filters: newFilters(options.Headers), metrics: newMetrics(options.Scope),
		crashes: newCrashLook(options.Dialer, options.Register, options.Log),
		unready: outage{since: time.Now()}, // A configuration is wanted from the start.
	}
}

// job is one request of a caller on its way.
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
	// urgency is the request's place at an engine; 0 is first.
	urgency int
	// limit is when the caller or the route stops waiting.
	limit  time.Time
	tokens int
	parts  []balance.PromptPart

	tried map[string]bool
	sends int
	// arrivals counts the endpoints that bytes of the request were sent to, and runs
	// those that may have begun to work on it.
	arrivals int
	runs     int
	// answer is a failure of an endpoint, kept while another attempt is made.
	answer *heldAnswer
	events eventSplitter
	status int
	// first and lastEvent are the times of events passed on.
	first        time.Time
	lastEvent    time.Time
	longestPause time.Duration
}

// Handle answers one request; it is an httpio.Handler.
func (f *Forwarder) Handle(ctx context.Context, r *httpio.Request, w *httpio.Writer) {
	j := &job{f: f, ctx: ctx, request: r, writer: w, id: string(r.Header.Peek(f.Headers.RequestID)), tried: make(map[string]bool)}
	err := j.admit()
	if err == nil {
		err = j.run()
	}
	j.finish(err)
}

// admit finds the route and the workspace.
func (j *job) admit() *failure.Failure {
	if j.f.ShuttingDown() {
		return failure.New(failure.Draining, "the gateway shuts down").WithRetryAfter(closingComeBack)
	}
	j.table = j.f.Table()
	if j.table == nil {
		return failure.New(failure.PlatformUnavailable, "no configuration yet").WithRetryAfter(j.comeBackAfter(&j.f.unready))
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
	j.limit = j.request.Arrived.Add(j.timeAllowed())
	j.tokens, j.parts = parsePrompt(string(j.request.Header.Peek(j.f.Headers.PromptSize)), string(j.request.Header.Peek(j.f.Headers.PromptParts)))
	j.service = j.route.PickBackend(rand.Float64())
	return nil
}

func (j *job) authenticate() *failure.Failure {
	if !j.table.KeysRequired() || j.route.Anonymous {
		return nil
	}
	keys := j.request.Header.PeekAll(j.f.Headers.Key)
	if len(keys) == 1 {
		j.workspace = j.table.Workspace(string(keys[0]))
	}
	if j.workspace == nil {
		return failure.New(failure.Unauthenticated, "unknown API key")
	}
	return nil
}

// timeAllowed is the shorter of the caller's deadline and the route's timeout.
func (j *job) timeAllowed() time.Duration {
	deadline := j.deadline()
	if j.route.Timeout > 0 && (deadline <= 0 || j.route.Timeout < deadline) {
		return j.route.Timeout
	}
	if deadline <= 0 {
		return defaultTime
	}
	return deadline
}

// deadline is the time that the caller will wait, or 0 if it does not say.
func (j *job) deadline() time.Duration {
	ms, err := strconv.ParseInt(string(j.request.Header.Peek(j.f.Headers.Deadline)), 10, 64)
	if err != nil || ms < 0 {
		return 0 // The route's timeout alone binds.
	}
	return time.Duration(ms) * time.Millisecond
}

// run tries endpoints until one answers or nothing more may be tried.
func (j *job) run() *failure.Failure {
	pool := j.f.Pools(j.service)
	if pool == nil || pool.Size() == 0 {
		return failure.New(failure.NoEndpoint, "the service has no endpoint").WithRetryAfter(j.comeBackAfter(&j.f.empty))
	}
	content := j.digest()
	decision := j.f.Register.Admit(time.Now(), content)
	if !decision.Admitted {
		wait := decision.RetryAfter + time.Duration(rand.Float64()*float64(suspendedSpread))
		return failure.New(failure.Suspended, "endpoints crashed under this content; it is refused for a while").WithRetryAfter(wait)
	}
	if decision.Trial {
		j.f.Log.WithFields(logrus.Fields{"event": "trial", "request_id": j.id, "route": j.route.Name, "content": content}).Info("content under which endpoints crashed is tried again, since it completed before")
	}
	j.f.Budget.Started(time.Now(), j.service)
	for {
		choice := j.place(pool)
		if choice == nil {
			return j.exhausted("no further endpoint")
		}
		if f := j.overloaded(choice); f != nil {
			choice.Done(time.Now(), balance.Neutral)
			return f
		}
		v := j.attempt(choice)
		choice.Done(time.Now(), v.result)
		j.logAttempt(choice, v)
		j.f.metrics.attempted(j.service, v.result)
		j.noteEvidence(choice, v.result, content)
		if v.done {
			return v.failure
		}
		if reason := j.mayTryAgain(v); reason != "" {
			return j.exhausted(reason)
		}
	}
}

// noteEvidence tells of what the attempt says about its content.
func (j *job) noteEvidence(choice *balance.Choice, result balance.Result, content string) {
	if result == balance.Broken {
		j.f.crashes.broke(choice, content)
	}
	if result == balance.Succeeded {
		j.f.Register.Cleared(time.Now(), content)
	}
}

// place chooses the next endpoint.
func (j *job) place(pool *balance.Pool) *balance.Choice {
	now := time.Now()
	choice := pool.Pick(now, balance.Request{PromptTokens: j.tokens, Parts: j.parts, Priority: j.urgency, Exclude: j.tried})
	if choice == nil {
		return nil
	}
	j.f.metrics.waited(choice.PredictedWait)
	j.tried[choice.ID] = true
	j.sends++
	j.f.Log.WithFields(logrus.Fields{
		"event": "placement", "request_id": j.id, "route": j.route.Name, "service": j.service, "endpoint": choice.ID,
		"reason": choice.Reason, "score": int(choice.Score), "alternatives": choice.Candidates, "send": j.sends,
		"priority": j.urgency, "table_version": j.table.Version(), "endpoints_version": j.f.EndpointsVersion(), "left": j.limit.Sub(now), "wait": choice.PredictedWait,
	}).Info("endpoint chosen")
	return choice
}

// overloaded refuses a new request that would wait for far longer than its target at the
// best endpoint, and than the targets of all that are not more urgent: those must be
// refused first. It has not been sent anywhere.
func (j *job) overloaded(choice *balance.Choice) *failure.Failure {
	limit := time.Duration(waitShare * float64(j.table.LongestTarget(j.service, j.urgency)))
	if j.sends > 1 || j.route.Target <= 0 || choice.PredictedWait <= limit {
		return nil
	}
	wait := comeback(choice.PredictedWait-limit, time.Until(j.limit), rand.Float64())
	return failure.New(failure.Overloaded, "the prompts ahead take longer to read than the latency target allows").WithRetryAfter(wait)
}

// mayTryAgain returns why no further attempt is made, or "".
func (j *job) mayTryAgain(v verdict) string {
	switch {
	case j.ctx.Err() != nil:
		return "the caller left"
	case v.ran && !j.route.Repeatable():
		return "the request may have run"
	case j.runs >= max(1, j.route.MaxAttempts):
		return "the route's attempts are used up"
	case j.sends >= maxSends:
		return "too many endpoints were tried"
	case time.Until(j.limit) < minLeft:
		return "no time is left"
	case j.arrivals > 0 && !j.f.Budget.Allow(time.Now(), j.service):
		return "the retry budget is used up"
	}
	return ""
}

// exhausted is the failure of a request that no endpoint answered well.
func (j *job) exhausted(reason string) *failure.Failure {
	switch {
	case j.ctx.Err() != nil:
		return failure.New(failure.ClientGone, reason)
	case j.answer != nil && !j.writer.Started():
		return j.deliverHeld()
	case j.runs > 0 && time.Until(j.limit) <= minLeft:
		return failure.New(failure.TimedOut, reason)
	case j.runs > 0:
		return failure.New(failure.EndpointFailed, reason)
	}
	wait := retryWhenFull + time.Duration(rand.Int64N(int64(retryWhenFullSpread)))
	return failure.New(failure.NoEndpoint, "no endpoint took the request: "+reason).WithRetryAfter(wait)
}
