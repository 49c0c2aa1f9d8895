// Package balance chooses an endpoint for each request of opaque traffic. The cost of an
// endpoint is made up of its current load, the part of the prompt that it would have to
// prefill, and the slowness and failures that this daemon has observed there. The package does
// no I/O: callers pass in the time and the random source, and no call blocks except on the
// pool's mutex.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// PromptPart is one part of a prompt as declared by the caller.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request describes a request that needs an endpoint.
type Request struct {
	// PromptTokens is the declared size of the prompt; zero for plain services.
	PromptTokens int
	// Parts are the declared parts of the prompt in order. The last part is specific to this
	// request; the others may be shared with other requests.
	Parts []PromptPart
	// TolerantOfPauses is set if other requests to this pool have a much tighter limit on the
	// pauses in their streams.
	TolerantOfPauses bool
	// Priority is the request's priority in the engine's queue; 0 is served first.
	Priority int
	// Version, if set, is the only software version of an endpoint that may get the request.
	Version *string
	// Avoid are software versions whose endpoints get the request only if no other is available.
	Avoid []string
	// Deadline is when the request has ended at the latest. It gets no endpoint that leaves before.
	Deadline time.Time
	// Exclude holds the ids of the endpoints that this request has already tried.
	Exclude map[string]bool
}

// Pool holds the endpoints of one service and this daemon's local view of their load and
// health. It is safe for concurrent use.
type Pool struct {
	mu         sync.Mutex
	dataCentre string
	random     *rand.Rand
	// endpoints holds all listed endpoints by id; order those of them that don't leave.
	endpoints map[string]*endpoint
	order     []*endpoint
	leaving   leavingInstances
	backoffs  backoffs
	limits    limits
	brittle   brittleEndpoints
	// fleet tells of the daemons that share the limits.
	fleet Fleet
	// report gets the transitions, which are collected while mu is held.
	report      func(Transition)
	transitions []Transition
	// daemons is the number of daemons that send requests to these endpoints, including this
	// one.
	daemons int
	// hasPrompts is set by the first request that declares a prompt, which means that the
	// endpoints are engines.
	hasPrompts  bool
	reservation reservation
	recent      recentRequests
	// idleTokenTime is the time to prefill one prompt token at an idle endpoint.
	idleTokenTime idleTokenTime
	// medianLatency is the median of the endpoints' unit latencies, computed at medianAt.
	medianLatency float64
	medianAt      time.Time
	// candidates, cachedTokens and backlogs are scratch buffers of Pick, reused under mu.
	candidates   []*endpoint
	cachedTokens []int
	backlogs     []int
}

// endpoint is this daemon's state of one endpoint.
type endpoint struct {
	routetable.Endpoint
	// hash is the hash of the endpoint's id; key is the shorter one used in messages between
	// daemons.
	hash uint64
	key  EndpointKey
	// warmUntil is when the endpoint's warm-up ends and it reaches full speed.
	warmUntil time.Time
	// leavesAt is when the endpoint leaves, or zero if it has not said so.
	leavesAt time.Time
	// running counts this daemon's requests in progress there; pendingTokens is the sum of
	// their prompt tokens that are not prefilled yet.
	running       int
	pendingTokens int
	// runningInteractive counts those of running that are interactive.
	runningInteractive int
	// pendingByPriority splits pendingTokens by priority.
	pendingByPriority backlog
	// remote is the load that other daemons put on the endpoint.
	remote Load
	// reserved endpoints are for interactive requests.
	reserved bool
	cache    partCache
	health   health
	// pace is what the endpoint last said of its pace to this daemon.
	pace pace
	// backoff is nil if the endpoint takes part in all choices.
	backoff *backoff
}

// EndpointKey is a hash of an endpoint's id, short enough for messages between daemons. Among
// a thousand endpoints, two share a key in about one of ten thousand deployments; the load of
// each is then also counted for the other.
type EndpointKey uint32

// KeyOf returns the key of an endpoint's id.
func KeyOf(id string) EndpointKey { return EndpointKey(xxhash.Sum64String(id)) }

// Load is the work in progress at one endpoint: the number of running requests, and
// PendingTokens, their prompt tokens that are not prefilled yet.
type Load struct {
	Running       int
	PendingTokens int
}

// NewPool returns a pool without endpoints. dataCentre is that of this daemon.
func NewPool(dataCentre string, random *rand.Rand) *Pool {
	return &Pool{dataCentre: dataCentre, random: random, endpoints: make(map[string]*endpoint), leaving: make(leavingInstances), backoffs: make(backoffs), limits: make(limits), brittle: make(brittleEndpoints), fleet: aloneFleet{}}
}

// Update replaces the set of listed endpoints. An endpoint that stays in the set keeps its
// state unless its address or process start time changed. Those that leave get no requests.
func (p *Pool) Update(now time.Time, listed []routetable.Endpoint) {
	p.mu.Lock()
	defer p.unlock()
	for _, e := range p.endpoints {
		p.leaving.keep(now, e.Endpoint) // It was listed until now.
	}
	next := make(map[string]*endpoint, len(listed))
	p.order = p.order[:0]
	for _, l := range listed {
		e := p.endpoints[l.ID]
		if e == nil || e.StartedAt != l.StartedAt || e.Address != l.Address {
			e = &endpoint{cache: newPartCache(), hash: xxhash.Sum64String(l.ID), key: KeyOf(l.ID)}
		}
		if e.WarmUp != l.WarmUp {
			e.warmUntil = now.Add(l.WarmUp)
		}
		e.noteLeavesIn(now, l.LeavesIn)
		e.Endpoint, e.backoff = l, p.backoffs.of(l)
		next[l.ID] = e
		p.leaving.keep(now, l)
		p.noteReplaced(now, l)
		if !p.leaving.has(l) {
			p.order = append(p.order, e)
		}
	}
	p.endpoints = next
	p.expireLeaving(now)
	p.forgetLimits(now)
	p.forgetBrittle(now)
	p.resetReservation()
}

func (p *Pool) slots() int {
	slots := 0
	for _, e := range p.order {
		slots += e.Slots
	}
	return slots
}

// Size returns the number of listed endpoints that don't leave.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.order)
}

// SetRemoteLoad replaces the load that other daemons put on the endpoints; an endpoint missing
// from loads has none. daemons is the number of all daemons, including this one.
func (p *Pool) SetRemoteLoad(loads map[EndpointKey]Load, daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.daemons = daemons
	for _, e := range p.order {
		e.remote = loads[e.key]
	}
}

// OwnLoad returns the load that this daemon puts on each endpoint, without idle endpoints.
func (p *Pool) OwnLoad() map[EndpointKey]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make(map[EndpointKey]Load)
	for _, e := range p.endpoints {
		if e.running > 0 {
			loads[e.key] = Load{Running: e.running, PendingTokens: e.pendingTokens}
		}
	}
	return loads
}

// Choice is the endpoint chosen for one attempt, counted in the pool's load until Done. Its
// methods are safe for concurrent use; Done must be called exactly once.
type Choice struct {
	routetable.Endpoint
	// Reason names the main reason for the choice: load, cached, home or fetch.
	Reason string
	// Score is the cost of the endpoint in prompt tokens; Candidates is the number of
	// endpoints that were available to the request.
	Score      float64
	Candidates int

	// PredictedWait is the predicted time before the endpoint starts to prefill the prompt.
	PredictedWait time.Duration
	// Interactive is set if the request belongs on a reserved endpoint; see reservation.go.
	Interactive bool
	// Pace is the endpoint's expected pace that the choice counted on, or 0 if none was known.
	Pace float64
	// MeanWait is the mean of the predicted waits at all endpoints that are reserved, or at all
	// that are not, whichever the chosen one is.
	MeanWait time.Duration
	// FetchFrom is the address of an endpoint from which cached shared parts of the prompt can
	// be fetched, or "". See CurrentFetchFrom.
	FetchFrom string

	pool     *Pool
	endpoint *endpoint
	// limited is set if the choice took a permit of the endpoint's limit.
	limited       bool
	fetchSource   routetable.Endpoint
	pendingTokens int
	priority      int
	parts         []hashedPart
	// addedParts are those of parts that were not expected in the endpoint's cache before.
	addedParts     []hashedPart
	pickedAt       time.Time
	pendingRemoved bool
}

// Pick chooses an endpoint and adds the request to its load. It returns nil if Exclude, Version,
// leaving endpoints, backoffs and limits leave none; see Shortage.
func (p *Pool) Pick(now time.Time, request Request) *Choice {
	p.mu.Lock()
	defer p.unlock()
	if request.PromptTokens > 0 && !p.hasPrompts {
		p.hasPrompts = true
		p.assignReserved()
	}
	p.resizeReservation(now)
	p.endBackoffs(now)
	candidates := p.filter(now, request)
	if len(candidates) == 0 {
		return nil
	}
	parts := hashParts(request.Parts)
	best := p.score(now, request, parts, candidates)
	e := best.endpoint
	c := &Choice{
		Endpoint: e.Endpoint, Reason: best.reason, Score: best.cost, Candidates: len(candidates),
		pool: p, endpoint: e, pendingTokens: best.pendingTokens, parts: parts, pickedAt: now,
		priority: request.Priority, Interactive: request.interactive(),
	}
	c.PredictedWait, c.MeanWait = p.predictWait(e, request.Priority)
	if e.pace.known(now) {
		c.Pace = e.pace.expected(now)
	}
	if best.fetchSource != nil {
		c.fetchSource, c.FetchFrom = best.fetchSource.Endpoint, best.fetchSource.Address
	}
	c.limited = p.limits.of(e.Endpoint) != nil
	p.spendPermit(e)
	p.noteBrittleSent(now, e)
	e.running++
	if c.Interactive {
		e.runningInteractive++
	}
	e.addPending(c.priority, c.pendingTokens)
	p.recent.add(now, e)
	e.health.requestSent(now)
	c.addedParts = e.cache.touch(now, parts)
	return c
}

// ResponseStarted records the first event of the response, which means that the prompt has
// been prefilled.
func (c *Choice) ResponseStarted(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.startResponse(now)
}

func (c *Choice) startResponse(now time.Time) {
	if c.pendingRemoved {
		return
	}
	c.pendingRemoved = true
	c.endpoint.addPending(c.priority, -c.pendingTokens)
	c.endpoint.health.observeLatency(now, now.Sub(c.pickedAt), c.pendingTokens, c.endpoint.pace.during(now, c.Pace))
	c.pool.idleTokenTime.observe(now.Sub(c.pickedAt), c.pendingTokens)
}

// addPending adds tokens, which may be negative, to the prompt tokens not prefilled yet.
func (e *endpoint) addPending(priority, tokens int) {
	e.pendingTokens += tokens
	e.pendingByPriority.add(priority, tokens)
}

// Done records the result of the attempt and removes the request from the endpoint's load.
func (c *Choice) Done(now time.Time, result Result) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.pendingRemoved {
		c.pendingRemoved = true
		c.endpoint.addPending(c.priority, -c.pendingTokens)
	}
	c.endpoint.running--
	if c.Interactive {
		c.endpoint.runningInteractive--
	}
	c.endpoint.health.observeResult(now, result)
	c.pool.noteBrittleResult(now, c.endpoint, result)
	if result == NotSent || result == Unreachable {
		c.returnPermit()
	}
	switch result {
	case Succeeded:
	case NotSent, BackedOff:
		c.endpoint.cache.removeUnused(c.pickedAt, c.addedParts)
	default:
		c.endpoint.cache.remove(c.parts)
	}
}

// CrashProbeSucceeded records that the endpoint accepted a connection after an earlier one
// broke, so its process did not crash.
func (c *Choice) CrashProbeSucceeded(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.endpoint.health.crashProbeSucceeded(now)
}

// CrashProbeFailed records that the endpoint accepted no connection after an earlier one
// broke, so its process and cache are taken as lost.
func (c *Choice) CrashProbeFailed(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.endpoint.health.observeResult(now, Unreachable)
	c.endpoint.cache.clear()
}

// Stats is a summary of a pool for metrics.
type Stats struct {
	// Endpoints counts the listed endpoints that don't leave, and Ejected those of them that
	// get no requests at the moment because they are ejected or being probed.
	Endpoints, Ejected int
	// Leaving counts the listed endpoints that leave, and InBackoff those of Endpoints that are
	// in backoff.
	Leaving, InBackoff int
	// Limited counts those of Endpoints that name a limit.
	Limited int
	// Brittle counts those that say that they are brittle.
	Brittle int
	// Running counts this daemon's requests in progress; PendingTokens is the sum of their
	// prompt tokens that are not prefilled yet.
	Running, PendingTokens int
}

// Stats returns a summary of the pool as of now.
func (p *Pool) Stats(now time.Time) Stats {
	p.mu.Lock()
	defer p.unlock()
	p.endBackoffs(now)
	s := Stats{Endpoints: len(p.order), Leaving: len(p.endpoints) - len(p.order)}
	for _, e := range p.order {
		if !e.health.available(now) {
			s.Ejected++
		}
		if e.backedOff() {
			s.InBackoff++
		}
		if p.limits.of(e.Endpoint) != nil {
			s.Limited++
		}
		if p.brittle.of(e.Endpoint) != nil {
			s.Brittle++
		}
	}
	for _, e := range p.endpoints {
		s.Running += e.running
		s.PendingTokens += e.pendingTokens
	}
	return s
}
