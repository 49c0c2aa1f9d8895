package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Config configures a Budget. Zero fields take the defaults.
type Config struct {
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Burst is the most retries that the budget of a workspace and pool holds.
	Burst float64
	// MinPerSecond is the number of retries added each second, also without requests.
	MinPerSecond float64
	// HedgeRatio is the number of hedges that each request adds to the budget.
	HedgeRatio float64
	// HedgeBurst is the most hedges that the budget of a pool holds.
	HedgeBurst float64
	// MaxBuckets bounds the number of token buckets; the least recently used are dropped.
	MaxBuckets int
}

// Defaults of Config.
const (
	DefaultMaxAttempts  = 4
	DefaultRatio        = 0.1
	DefaultBurst        = 128.0
	DefaultMinPerSecond = 0.5
	DefaultHedgeRatio   = 0.02
	DefaultHedgeBurst   = 10.0
	DefaultMaxBuckets   = 16384
)

func (c Config) withDefaults() Config {
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	setDefault(&c.Ratio, DefaultRatio)
	setDefault(&c.Burst, DefaultBurst)
	setDefault(&c.MinPerSecond, DefaultMinPerSecond)
	setDefault(&c.HedgeRatio, DefaultHedgeRatio)
	setDefault(&c.HedgeBurst, DefaultHedgeBurst)
	setDefault(&c.MaxBuckets, DefaultMaxBuckets)
	return c
}

func setDefault[T int | float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// shardCount must be a power of two, since the shard index is a bit mask of the hash.
const shardCount = 16

// keySeparator cannot occur in the name of a workspace or pool.
const keySeparator = "\x00"

// Budget holds one token bucket for the retries of each workspace and pool, and one for
// the hedges of each pool. It is bounded, sharded, and safe for concurrent use.
type Budget struct {
	cfg    Config
	shards [shardCount]shard
}

// shard holds the buckets whose keys hash to it and evicts the least recently used.
type shard struct {
	mu      sync.Mutex
	buckets *simplelru.LRU[string, *bucket]
}

// bucket is a token bucket; each token permits one retry or hedge.
type bucket struct {
	tokens  float64
	updated time.Time
}

// bucketLimits are the rates and the size of a bucket.
type bucketLimits struct {
	perRequest float64 // tokens added by each request.
	burst      float64 // maximum number of tokens.
	perSecond  float64 // tokens added each second.
}

// NewBudget returns a budget with every bucket full.
func NewBudget(cfg Config) *Budget {
	b := &Budget{cfg: cfg.withDefaults()}
	for i := range b.shards {
		// The size is positive, which is the only thing that NewLRU checks.
		b.shards[i].buckets, _ = simplelru.NewLRU[string, *bucket](max(1, b.cfg.MaxBuckets/shardCount), nil)
	}
	return b
}

// Started records the first attempt of a request, which adds a fraction of a retry and of
// a hedge to the budgets. Call it once for each request.
func (b *Budget) Started(now time.Time, workspace, pool string) {
	b.deposit(now, retryKey(workspace, pool), b.retryLimits())
	b.deposit(now, hedgeKey(pool), b.hedgeLimits())
}

// Allow takes a token for one retry and reports whether one was available.
func (b *Budget) Allow(now time.Time, workspace, pool string) bool {
	return b.tryWithdraw(now, retryKey(workspace, pool), b.retryLimits())
}

// Hedge describes a request of which a second copy should run.
type Hedge struct {
	Pool string
	// Repeatable is false for a request that may not run twice; it is never hedged.
	Repeatable bool
	// Suspect is true for a quarantine suspect, which runs isolated and is never hedged.
	Suspect bool
	// FirstTokenReceived is true once the first token has arrived; such a request is never hedged.
	FirstTokenReceived bool
	// Elapsed is the time since the first copy was sent.
	Elapsed time.Duration
	// Delay is the least Elapsed for a hedge, set by placement; zero means never.
	Delay time.Duration
}

// AllowHedge reports whether a hedge may run, and takes a token for it if so.
func (b *Budget) AllowHedge(now time.Time, h Hedge) bool {
	if !h.Repeatable || h.Suspect || h.FirstTokenReceived {
		return false
	}
	if h.Delay <= 0 || h.Elapsed < h.Delay {
		return false
	}
	return b.tryWithdraw(now, hedgeKey(h.Pool), b.hedgeLimits())
}

func (b *Budget) retryLimits() bucketLimits {
	return bucketLimits{perRequest: b.cfg.Ratio, burst: b.cfg.Burst, perSecond: b.cfg.MinPerSecond}
}

func (b *Budget) hedgeLimits() bucketLimits {
	return bucketLimits{perRequest: b.cfg.HedgeRatio, burst: b.cfg.HedgeBurst}
}

func retryKey(workspace, pool string) string {
	return "retry" + keySeparator + workspace + keySeparator + pool
}

func hedgeKey(pool string) string {
	return "hedge" + keySeparator + pool
}

func (b *Budget) deposit(now time.Time, key string, limits bucketLimits) {
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket(now, key, limits).deposit(limits.perRequest, limits.burst)
}

func (b *Budget) tryWithdraw(now time.Time, key string, limits bucketLimits) bool {
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := s.bucket(now, key, limits)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

func (b *Budget) shard(key string) *shard {
	return &b.shards[xxhash.Sum64String(key)&(shardCount-1)]
}

// bucket returns the refilled bucket of key; a new one is full.
func (s *shard) bucket(now time.Time, key string, limits bucketLimits) *bucket {
	if found, ok := s.buckets.Get(key); ok {
		found.refill(now, limits)
		return found
	}
	created := &bucket{tokens: limits.burst, updated: now}
	s.buckets.Add(key, created)
	return created
}

func (b *bucket) refill(now time.Time, limits bucketLimits) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.deposit(elapsed.Seconds()*limits.perSecond, limits.burst)
		b.updated = now
	}
}

func (b *bucket) deposit(tokens, burst float64) {
	b.tokens = min(b.tokens+tokens, burst)
}
