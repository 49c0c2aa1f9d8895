// Package health detects crashed and slow endpoints from the outcomes of the requests
// sent to them (passive health checks with outlier ejection).
//
// It distinguishes three cases. A crashed endpoint breaks or refuses connections; it is
// ejected after a few consecutive failures, with a short back-off that doubles. A
// straggler responds, but slower than the pool's median by a factor; it is ejected only
// while the ejected stragglers stay within a share of the pool. A lagging load report
// indicates neither. After the back-off an endpoint is half open: one probe decides.
// The package does no I/O and reads no clock; the caller must synchronise all calls.
package health

import "time"

// State is the health state of an endpoint.
type State string

const (
	// Healthy endpoints take new requests.
	Healthy State = "healthy"
	// Ejected endpoints take no requests until the back-off has passed.
	Ejected State = "ejected"
	// HalfOpen endpoints take one request at a time, as a probe.
	HalfOpen State = "half_open"
)

// Cause is the reason for an ejection.
type Cause string

const (
	// CauseFailing means that connections broke, were refused or timed out.
	CauseFailing Cause = "failing"
	// CauseSlow means that the endpoint is much slower than the pool's median.
	CauseSlow Cause = "slow"
)

// Config holds the thresholds of a Pool. Zero fields take the defaults.
type Config struct {
	// SlowFactor is the ratio to the pool's median latency from which an endpoint is a straggler.
	SlowFactor float64
	// MinSamples is the minimum number of samples to classify an endpoint as a straggler.
	MinSamples int
	// MaxSlowShare is the maximum share of the pool's endpoints ejected as stragglers.
	MaxSlowShare float64
	// MaxFailingShare is the maximum share of the pool's endpoints ejected as failing.
	MaxFailingShare float64
	// FailureThreshold is the number of consecutive failures that ejects an endpoint, if
	// at least two daemons observed them.
	FailureThreshold int
	// SingleDaemonFailureThreshold is the number of consecutive failures that ejects an
	// endpoint, if only one daemon observed them.
	SingleDaemonFailureThreshold int
	// FailingBackOff and SlowBackOff are the initial back-offs; each doubles up to MaxBackOff.
	FailingBackOff time.Duration
	SlowBackOff    time.Duration
	MaxBackOff     time.Duration
	// ProbeTimeout is the minimum time before a probe without a result counts as lost.
	ProbeTimeout time.Duration
}

// Default values of Config.
const (
	DefaultSlowFactor                   = 3.0
	DefaultMinSamples                   = 5
	DefaultMaxSlowShare                 = 1.0 / 3
	DefaultMaxFailingShare              = 1.0
	DefaultFailureThreshold             = 2
	DefaultSingleDaemonFailureThreshold = 4
	DefaultFailingBackOff               = 500 * time.Millisecond
	DefaultSlowBackOff                  = 5 * time.Second
	DefaultMaxBackOff                   = 30 * time.Second
	DefaultProbeTimeout                 = 10 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.SlowFactor, DefaultSlowFactor)
	setDefault(&c.MinSamples, DefaultMinSamples)
	setDefault(&c.MaxSlowShare, DefaultMaxSlowShare)
	setDefault(&c.MaxFailingShare, DefaultMaxFailingShare)
	setDefault(&c.FailureThreshold, DefaultFailureThreshold)
	setDefault(&c.SingleDaemonFailureThreshold, DefaultSingleDaemonFailureThreshold)
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

// Pool holds the state that the endpoints of one pool share: the latency baseline and
// the counts of ejected endpoints. It is not safe for concurrent use.
type Pool struct {
	cfg      Config
	baseline *Baseline
	members  int
	ejected  map[Cause]int
}

// NewPool returns a pool without endpoints.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg.withDefaults(), baseline: newBaseline(), ejected: map[Cause]int{}}
}

// Baseline returns the latency statistics of the pool.
func (p *Pool) Baseline() *Baseline { return p.baseline }

// Add adds a healthy endpoint to the pool and returns it.
func (p *Pool) Add() *Endpoint {
	p.members++
	return &Endpoint{pool: p, state: Healthy}
}

// Remove removes e from the pool. The caller must not use e afterwards.
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

// allEjected reports whether the pool has no healthy endpoint.
func (p *Pool) allEjected() bool {
	return p.ejected[CauseFailing]+p.ejected[CauseSlow] >= p.members
}
