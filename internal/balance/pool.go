// Package balance chooses an endpoint for each request of opaque traffic. A choice
// weighs the work already at each endpoint, what the endpoint must still read of the
// prompt, and this daemon's own evidence of slowness and failure. It is pure: the
// time and the random source are passed in, and no call waits.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// Part is one declared part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Ask describes a request that needs an endpoint.
type Request struct {
	// PromptTokens is the declared size of the prompt; zero for plain services.
	PromptTokens int
	// Parts are the declared parts of the prompt in order; the last one is the request's own.
	Parts []PromptPart
	// Urgency is the request's place at the engine; 0 is first.
	Priority int
	// Exclude names endpoints that this request has tried.
	Exclude map[string]bool
}

// Pool is the endpoints of one service as this daemon sees them. It is safe for
// concurrent use.
type Pool struct {
	mu         sync.Mutex
	dataCentre string
	random     *rand.Rand
	endpoints  map[string]*endpoint
	order      []*endpoint
	// daemons is the number of daemons that choose among the endpoints, this one included.
	daemons int
	// prompts is set once a request has declared a prompt: the pool is one of engines.
	prompts bool
	lane    lane
	// unhindered is the cost of a prompt token at an idle endpoint.
	unhindered floor
	// typical is the median speed as of typicalAt; it moves slowly.
	typical   float64
	typicalAt time.Time
	// candidates and held are scratch space of one choice.
	candidates []*endpoint
	held       []int
}

// endpoint is what is known of one endpoint.
type endpoint struct {
	routetable.Endpoint
	// hash is the hash of the endpoint's id, and key what daemons call it among themselves.
	hash uint64
	key  EndpointKey
	// coldUntil is when the endpoint reaches its full speed.
	coldUntil time.Time
	// running counts this daemon's requests there; reading is what they have yet to read, in tokens.
	running int
	reading int
	// short counts those of running whose prompts are short.
	short int
	// waiting is what is yet to be read, by urgency.
	waiting backlog
	// elsewhere is the work of other daemons there.
	elsewhere Load
	// express endpoints are kept for short prompts.
	express  bool
	cache    partCache
	evidence evidence
}

// Key is a short name of an endpoint for messages between daemons. Two endpoints of a
// thousand share one about once in ten thousand deployments; each then counts the other's load.
type EndpointKey uint32

// KeyOf returns the key of an endpoint's id.
func KeyOf(id string) EndpointKey { return EndpointKey(xxhash.Sum64String(id)) }

// Load is the work at one endpoint.
type Load struct {
	Running       int
	PendingTokens int
}

// NewPool returns a pool without endpoints. dataCentre is the daemon's own.
func NewPool(dataCentre string, random *rand.Rand) *Pool {
	return &Pool{dataCentre: dataCentre, random: random, endpoints: make(map[string]*endpoint)}
}

// Update sets the endpoints that may get work. Those that stay keep their state
// unless they were born again.
func (p *Pool) Update(now time.Time, listed []routetable.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*endpoint, len(listed))
	p.order = p.order[:0]
	for _, l := range listed {
		e := p.endpoints[l.ID]
		if e == nil || e.StartedAt != l.StartedAt || e.Address != l.Address {
			e = &endpoint{cache: newPartCache(), hash: xxhash.Sum64String(l.ID), key: KeyOf(l.ID)}
		}
		if e.WarmUp != l.WarmUp {
			e.coldUntil = now.Add(l.WarmUp)
		}
		e.Endpoint = l
		next[l.ID] = e
		p.order = append(p.order, e)
	}
	p.endpoints = next
	p.lane.size = laneSize(len(p.order), p.slots(), p.lane.short)
	p.assignExpress()
}

func (p *Pool) slots() int {
	slots := 0
	for _, e := range p.order {
		slots += e.Slots
	}
	return slots
}

// Size returns the number of endpoints that may get work.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.order)
}

// SetElsewhere sets the work of other daemons at the endpoints; those not named have none.
// daemons is the number of all daemons, this one included.
func (p *Pool) SetRemoteLoad(loads map[EndpointKey]Load, daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.daemons = daemons
	for _, e := range p.order {
		e.elsewhere = loads[e.key]
	}
}

// Own returns this daemon's work at each endpoint that has any.
func (p *Pool) OwnLoad() map[EndpointKey]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make(map[EndpointKey]Load)
	for _, e := range p.order {
		if e.running > 0 {
			loads[e.key] = Load{Running: e.running, PendingTokens: e.reading}
		}
	}
	return loads
}

// Choice is an endpoint that was chosen for a request. Its methods may be called from
// any goroutine; Done must be called once.
type Choice struct {
	routetable.Endpoint
	// Reason says in one word what decided.
	Reason string
	// Score is the cost of the endpoint and Alternatives the number of endpoints weighed.
	Score      float64
	Candidates int

	// Wait is the predicted time before the endpoint begins to read the prompt.
	PredictedWait time.Duration
	// FetchFrom is the address of an endpoint that holds shared parts of the prompt, or "".
	FetchFrom string

	pool    *Pool
	e       *endpoint
	reading int
	urgency int
	short   bool
	parts   []hashedPart
	started time.Time
	begun   bool
}

// Pick chooses an endpoint and counts the request there, or returns nil if none is left.
func (p *Pool) Pick(now time.Time, ask Request) *Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ask.PromptTokens > 0 && !p.prompts {
		p.prompts = true
		p.assignExpress()
	}
	p.reviewLane(now)
	candidates := p.filter(now, ask)
	if len(candidates) == 0 {
		return nil
	}
	parts := hashParts(ask.Parts)
	best := p.score(now, ask, parts, candidates)
	e := best.e
	c := &Choice{
		Endpoint: e.Endpoint, Reason: best.reason, Score: best.cost, Candidates: len(candidates),
		pool: p, e: e, reading: best.reading, parts: parts, started: now,
		PredictedWait: p.wait(e, ask.Priority), urgency: ask.Priority, short: ask.PromptTokens <= shortPrompt,
	}
	if best.holder != nil {
		c.FetchFrom = best.holder.Address
	}
	e.running++
	if c.short {
		e.short++
	}
	e.expect(c.urgency, c.reading)
	e.evidence.sent(now)
	e.cache.note(now, parts)
	return c
}

// Begun notes the first event of the answer: the prompt has been read.
func (c *Choice) ResponseStarted(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.begin(now)
}

func (c *Choice) begin(now time.Time) {
	if c.begun {
		return
	}
	c.begun = true
	c.e.expect(c.urgency, -c.reading)
	c.e.evidence.answered(now, now.Sub(c.started), c.reading)
	c.pool.unhindered.sample(now.Sub(c.started), c.reading)
}

// expect changes what is yet to be read at the endpoint.
func (e *endpoint) expect(priority, tokens int) {
	e.reading += tokens
	e.waiting.add(priority, tokens)
}

// Done notes how the attempt ended and takes its work off the endpoint.
func (c *Choice) Done(now time.Time, result Result) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.begun {
		c.begun = true
		c.e.expect(c.urgency, -c.reading)
	}
	c.e.running--
	if c.short {
		c.e.short--
	}
	c.e.evidence.ended(now, result)
	if result != Succeeded {
		c.e.cache.forget(c.parts)
	}
}

// Alive notes that the endpoint accepted a connection after one broke: it did not crash.
func (c *Choice) CrashProbeSucceeded(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.e.evidence.alive(now)
}

// Dead notes that the endpoint accepted no connection after one broke.
func (c *Choice) CrashProbeFailed(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.e.evidence.ended(now, Unreachable)
	c.e.cache.clear()
}

// State is a summary of a pool for metrics.
type Stats struct {
	// Endpoints may get work; Ejected of them are held back by evidence just now.
	Endpoints, Ejected int
	// Running and Reading are this daemon's requests and the prompt tokens that they wait for.
	Running, PendingTokens int
}

// State returns a summary as of now.
func (p *Pool) Stats(now time.Time) Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Endpoints: len(p.order)}
	for _, e := range p.order {
		if !e.evidence.open(now) {
			s.Ejected++
		}
		s.Running += e.running
		s.PendingTokens += e.reading
	}
	return s
}
