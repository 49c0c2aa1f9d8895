package claim

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/platform"
)

const (
	// DefaultShards is the number of shards of a new log.
	DefaultShards = 8
	// DefaultRetention is the least time for which a key is kept.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxDispatchDelay is how long after the call of Claim a granted claim may be
	// dispatched.
	DefaultMaxDispatchDelay = 30 * time.Second
	// DefaultTimeout bounds one call of Claim.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxRetryInterval bounds the wait between attempts while the platform fails.
	DefaultMaxRetryInterval = time.Second
	// DefaultAppendInterval is the least time between two appends to a shard.
	DefaultAppendInterval = 40 * time.Millisecond

	// minRetentionRatio is the least ratio of the retention to the dispatch delay.
	minRetentionRatio = 10
	// maxQueue bounds the requests queued for one shard.
	maxQueue = 8192
	// maxBatch bounds the requests of one append; even with the largest keys they fit into
	// the head.
	maxBatch = 512
	// MaxClaimBytes bounds the JSON of one claim.
	MaxClaimBytes = 1 << 10
	// segmentCacheSize is the number of decoded segments held in memory.
	segmentCacheSize = 16
	// minRetryInterval is the first wait after a failure of the platform.
	minRetryInterval = 50 * time.Millisecond
	// maxRateLimitDelay bounds the backoff after a rate limit or a stale read, unless the
	// platform asks for a longer wait.
	maxRateLimitDelay = 50 * time.Millisecond
	// conflictDelayStep and maxConflictDelay bound the random wait after an append that
	// lost to another writer's: each further conflict adds a step, up to the maximum.
	conflictDelayStep = 2 * time.Millisecond
	maxConflictDelay  = 30 * time.Millisecond
)

// Forwarder sends claims to the daemon that usually writes a shard, so that one daemon
// batches the claims of all. It is an optimisation: any daemon may append.
type Forwarder interface {
	// Local reports whether this daemon is the shard's usual writer.
	Local(shard int) bool
	// Forward has the usual writer decide the claims with Log.Serve, and returns a result
	// for each, in order. After an error the claims may be in the log or still in transit.
	Forward(ctx context.Context, shard int, claims []Claim) ([]Result, error)
}

// Options configure a Log.
type Options struct {
	Store platform.Store
	// Daemon and Incarnation identify this process. The incarnation must be new at each
	// start.
	Daemon      string
	Incarnation string
	// Shards is fixed when the log is first written; a daemon with another number refuses
	// to claim. Default: DefaultShards.
	Shards int
	// Retention is the least time for which a key is kept. Default: DefaultRetention.
	Retention time.Duration
	// MaxDispatchDelay is how long a granted claim stays fresh. At most a tenth of the
	// retention. Default: DefaultMaxDispatchDelay.
	MaxDispatchDelay time.Duration
	// Timeout bounds one call of Claim. Default: DefaultTimeout.
	Timeout time.Duration
	// AppendInterval is the least time between two appends to a shard by this daemon;
	// claims that arrive meanwhile share the next one. Default: DefaultAppendInterval.
	AppendInterval time.Duration
	// MaxRetryInterval bounds the wait between attempts while the platform fails; new
	// claims are refused meanwhile. Default: DefaultMaxRetryInterval.
	MaxRetryInterval time.Duration
	// Forwarder is optional.
	Forwarder Forwarder
	// Clock, Scope and Logger default to the real clock, no metrics, and logrus.
	Clock  clockwork.Clock
	Scope  tally.Scope
	Logger logrus.FieldLogger
}

// Log is the claim log. All methods are safe for concurrent use.
type Log struct {
	options  Options
	store    platform.Store
	shards   []*shard
	segments *lru.Cache[string, *segment]
	breaker  breaker
	layout   layout
	metrics  metrics
	nonce    atomic.Uint64
}

var _ Claims = (*Log)(nil)

// New returns a log whose goroutines run until ctx ends. It does not call the store.
func New(ctx context.Context, options Options) (*Log, error) {
	options = withDefaults(options)
	if err := validateOptions(options); err != nil {
		return nil, err
	}
	segments, err := lru.New[string, *segment](segmentCacheSize)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "claim log cache")
	}
	l := &Log{options: options, store: options.Store, segments: segments, layout: layout{turn: make(chan struct{}, 1)}, metrics: newMetrics(options.Scope)}
	for i := range options.Shards {
		s := newShard(l, i)
		l.shards = append(l.shards, s)
		go s.run(ctx)
	}
	return l, nil
}

func withDefaults(o Options) Options {
	o.Shards = lo.CoalesceOrEmpty(o.Shards, DefaultShards)
	o.Retention = lo.CoalesceOrEmpty(o.Retention, DefaultRetention)
	o.MaxDispatchDelay = lo.CoalesceOrEmpty(o.MaxDispatchDelay, DefaultMaxDispatchDelay)
	o.Timeout = lo.CoalesceOrEmpty(o.Timeout, DefaultTimeout)
	o.AppendInterval = lo.CoalesceOrEmpty(o.AppendInterval, DefaultAppendInterval)
	o.MaxRetryInterval = lo.CoalesceOrEmpty(o.MaxRetryInterval, DefaultMaxRetryInterval)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	return o
}

func validateOptions(o Options) error {
	switch {
	case o.Store == nil || o.Daemon == "" || o.Incarnation == "":
		return failure.New(failure.InvalidObject, "claim log: store, daemon and incarnation are required")
	case o.Shards < 1 || o.Shards > MaxShards:
		return failure.New(failure.InvalidObject, "claim log: shards must be 1 to 512")
	case o.Retention < minRetentionRatio*o.MaxDispatchDelay:
		return failure.New(failure.InvalidObject, "claim log: retention must be at least ten times the dispatch delay")
	}
	return nil
}

// Claim implements Claims. A granted claim carries its nonce and its deadline; the holder
// calls Fresh right before it sends the first byte. Every call is a separate claim: a
// second call for the same request gets Held.
func (l *Log) Claim(ctx context.Context, c Claim) (Outcome, Claim, error) {
	started := l.now()
	c.Daemon, c.Incarnation, c.Nonce = l.options.Daemon, l.options.Incarnation, math.MaxUint64 // The longest one, to validate.
	c.Deadline = time.Time{}
	if err := validateClaim(c); err != nil {
		return "", Claim{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	if err := l.admit(ctx); err != nil {
		return "", Claim{}, err
	}
	p := newPending(request{claim: c})
	result, err := l.await(ctx, p)
	if err != nil {
		return "", Claim{}, err
	}
	l.metrics.recordClaim(result.Outcome, l.now().Sub(started))
	if result.Outcome != Granted {
		return result.Outcome, result.Holder, nil
	}
	c = p.request.claim
	c.Deadline = started.Add(l.options.MaxDispatchDelay)
	if !c.Fresh(l.now()) {
		l.Release(c)
		return "", Claim{}, failure.New(failure.PlatformUnavailable, "the claim was granted too late to run")
	}
	return Granted, c, nil
}

// Release implements Claims. It takes the claim that Claim returned. If the queue is full
// or the process ends first, the release is dropped and the key stays held for the
// retention.
func (l *Log) Release(c Claim) {
	if c.Incarnation != l.options.Incarnation {
		return
	}
	c.Deadline = time.Time{}
	l.shardOf(c).enqueue(newPending(request{claim: c, release: true}))
}

// admit refuses claims while the platform fails, and checks the layout once.
func (l *Log) admit(ctx context.Context) error {
	if wait, refused := l.breaker.open(l.now()); refused {
		l.metrics.refused.Inc(1)
		return unavailableFailure(nil, wait)
	}
	return l.checkLayout(ctx)
}

// await queues a request and waits for its result.
func (l *Log) await(ctx context.Context, p *pending) (Result, error) {
	if !l.shardOf(p.request.claim).enqueue(p) {
		return Result{}, failure.New(failure.Overloaded, "too many claims wait").WithRetryAfter(l.options.MaxRetryInterval)
	}
	select {
	case r := <-p.done:
		return l.resolve(r)
	case <-ctx.Done():
	}
	if !p.abandon() {
		return l.resolve(<-p.done)
	}
	return Result{}, l.abandonedFailure(ctx)
}

// abandonedFailure is the failure of a claim whose context ended before it was decided.
func (l *Log) abandonedFailure(ctx context.Context) error {
	l.metrics.abandoned.Inc(1)
	if errors.Is(ctx.Err(), context.Canceled) {
		return failure.Wrap(ctx.Err(), failure.ClientGone, "the caller left before the claim was decided").WithOutcome(failure.NotRun)
	}
	return unavailableFailure(ctx.Err(), l.options.MaxRetryInterval)
}

// resolve converts a reply into a result or a failure.
func (l *Log) resolve(r reply) (Result, error) {
	if !r.refused {
		return r.result, nil
	}
	l.metrics.refused.Inc(1)
	wait, _ := l.breaker.open(l.now())
	return Result{}, unavailableFailure(nil, wait)
}

// unavailableFailure is the failure of a claim that could not be decided and will not be dispatched.
func unavailableFailure(cause error, wait time.Duration) *failure.Failure {
	const message = "the platform can not record the request, so it was not run"
	f := failure.New(failure.PlatformUnavailable, message)
	if cause != nil {
		f = failure.Wrap(cause, failure.PlatformUnavailable, message)
	}
	return f.WithOutcome(failure.NotRun).WithRetryAfter(max(wait, minRetryInterval))
}

func validateClaim(c Claim) error {
	encoded, err := json.Marshal(c)
	if err != nil || c.Key == "" || c.RequestID == "" || len(encoded) > MaxClaimBytes {
		return failure.New(failure.InvalidRequest, "a claim needs a key and a request id, in at most 1024 bytes of JSON")
	}
	return nil
}

func (l *Log) shardOf(c Claim) *shard {
	return l.shards[xxhash.Sum64String(c.keyID())%uint64(len(l.shards))]
}

func (l *Log) now() time.Time { return l.options.Clock.Now() }

// epochLength is the share of the retention that one epoch covers; entries expire by
// epochs.
func (l *Log) epochLength() time.Duration { return l.options.Retention / retentionEpochs }

// sleep waits for d or until ctx ends.
func (l *Log) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := l.options.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

func (l *Log) newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = min(minRetryInterval, l.options.MaxRetryInterval), l.options.MaxRetryInterval
	return b
}

// conflictDelay returns a random wait after n conflicts in a row, to spread the writers of
// a shard; after the first it is zero.
func conflictDelay(n int) time.Duration {
	limit := min(time.Duration(n-1)*conflictDelayStep, maxConflictDelay)
	if limit <= 0 {
		return 0
	}
	return rand.N(limit)
}
