// Package health judges endpoints by the evidence of the requests sent to them.
//
// Three things are told apart. A crashed endpoint breaks or refuses connections;
// it is ejected after a few failures in a row, for a short time that doubles. A
// straggler answers, but slower than the pool's median by a factor; it is ejected
// only while the ejected stragglers stay within a share of the pool. A lagging
// load report is no evidence of either. After the back-off an endpoint is half
// open: one probe decides. The decisions are pure; the caller holds the lock.
package health

import "time"

// State is the judgement of an endpoint.
type State string

const (
	// Healthy endpoints take work.
	Healthy State = "healthy"
	// Ejected endpoints take none until the back-off has passed.
	Ejected State = "ejected"
	// HalfOpen endpoints take one probe.
	HalfOpen State = "half_open"
)

// Cause says why an endpoint was ejected.
type Cause string

const (
	// CauseFailing means that connections broke, were refused or fell silent.
	CauseFailing Cause = "failing"
	// CauseSlow means that the endpoint is slow against the pool's median.
	CauseSlow Cause = "slow"
)

// Config sets the thresholds of a Pool. Zero fields take the defaults.
type Config struct {
	// SlowFactor is how many times the pool's median a straggler takes.
	SlowFactor float64
	// MinSamples is the number of samples before an endpoint counts as a straggler.
	MinSamples int
	// MaxSlowShare bounds the stragglers that are ejected, as a share of the pool.
	MaxSlowShare float64
	// MaxFailingShare bounds the failing endpoints that are ejected, as a share of the pool.
	MaxFailingShare float64
	// FailuresInRow ejects when they were seen by two daemons or more.
	FailuresInRow int
	// FailuresOneDaemon ejects when one daemon alone saw them.
	FailuresOneDaemon int
	// FailingBackOff and SlowBackOff are the first back-offs; each doubles up to MaxBackOff.
	FailingBackOff time.Duration
	SlowBackOff    time.Duration
	MaxBackOff     time.Duration
	// ProbeTimeout is how long a probe may run before another may follow.
	ProbeTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultSlowFactor        = 3.0
	DefaultMinSamples        = 5
	DefaultMaxSlowShare      = 1.0 / 3
	DefaultMaxFailingShare   = 1.0
	DefaultFailuresInRow     = 2
	DefaultFailuresOneDaemon = 4
	DefaultFailingBackOff    = 500 * time.Millisecond
	DefaultSlowBackOff       = 5 * time.Second
	DefaultMaxBackOff        = 30 * time.Second
	DefaultProbeTimeout      = 10 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.SlowFactor, DefaultSlowFactor)
	setDefault(&c.MinSamples, DefaultMinSamples)
	setDefault(&c.MaxSlowShare, DefaultMaxSlowShare)
	setDefault(&c.MaxFailingShare, DefaultMaxFailingShare)
	setDefault(&c.FailuresInRow, DefaultFailuresInRow)
	setDefault(&c.FailuresOneDaemon, DefaultFailuresOneDaemon)
	setDefault(&c.FailingBackOff, DefaultFailingBackOff)
	setDefault(&c.SlowBackOff, DefaultSlowBackOff)
	setDefault(&c.MaxBackOff, DefaultMaxBackOff)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Pool holds what the endpoints of one pool share: the medians and the count of
// ejected endpoints. It is not safe for concurrent use.
type Pool struct {
	cfg     Config
	typical *Typical
	members int
	ejected map[Cause]int
}

// NewPool returns a pool without endpoints.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg.withDefaults(), typical: newTypical(), ejected: map[Cause]int{}}
}

// Typical returns the medians of the pool.
func (p *Pool) Typical() *Typical { return p.typical }

// Add returns a healthy endpoint that counts towards the pool.
func (p *Pool) Add() *Endpoint {
	p.members++
	return &Endpoint{pool: p, state: Healthy}
}

// Remove takes an endpoint out of the pool's counts. It may not be used afterwards.
func (p *Pool) Remove(e *Endpoint) {
	e.setState(Healthy, e.cause)
	p.members--
}

// mayEject reports whether one more endpoint may be ejected for cause.
func (p *Pool) mayEject(cause Cause) bool {
	share := p.cfg.MaxFailingShare
	if cause == CauseSlow {
		share = p.cfg.MaxSlowShare
	}
	return float64(p.ejected[cause]+1) <= share*float64(p.members)
}

// allOut reports whether no endpoint of the pool is healthy.
func (p *Pool) allOut() bool {
	return p.ejected[CauseFailing]+p.ejected[CauseSlow] >= p.members
}
