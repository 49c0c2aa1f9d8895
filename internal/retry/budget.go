package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Config sets the bounds of a Budget. Zero fields take the defaults.
type Config struct {
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// Ratio is the number of retries earned by each first attempt.
	Ratio float64
	// Burst is the most retries that a workspace and pool can save up.
	Burst float64
	// MinPerSecond refills the budget of a quiet workspace and pool.
	MinPerSecond float64
	// HedgeRatio is the number of hedges earned by each first attempt.
	HedgeRatio float64
	// HedgeBurst is the most hedges that a pool can save up.
	HedgeBurst float64
	// MaxBuckets bounds the workspaces and pools remembered.
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

// shardCount is a power of two.
const shardCount = 16

// keySeparator can not occur in the name of a workspace or pool.
const keySeparator = "\x00"

// Budget holds one token bucket for each workspace and pool, and one for the
// hedges of each pool. It is bounded, sharded, and safe for concurrent use.
type Budget struct {
	cfg    Config
	shards [shardCount]shard
}

// shard holds the buckets whose keys hash to it, least recently used first out.
type shard struct {
	mu      sync.Mutex
	buckets *simplelru.LRU[string, *bucket]
}

// bucket holds tokens; each permits one retry or hedge.
type bucket struct {
	tokens  float64
	updated time.Time
}

// rules are the bounds of a bucket.
type rules struct {
	earned    float64 // tokens for each first attempt.
	burst     float64 // most tokens.
	perSecond float64 // tokens refilled each second.
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

// Started records the first attempt of a request; it earns a part of a retry and
// of a hedge. Call it once for each request.
func (b *Budget) Started(now time.Time, workspace, pool string) {
	b.earn(now, retryKey(workspace, pool), b.retryRules())
	b.earn(now, hedgeKey(pool), b.hedgeRules())
}

// Allow takes a token for one retry and reports whether there was one.
func (b *Budget) Allow(now time.Time, workspace, pool string) bool {
	return b.take(now, retryKey(workspace, pool), b.retryRules())
}

// Hedge describes a wish to run a second copy of a request.
type Hedge struct {
	Pool string
	// Repeatable is false for work that may not run twice; it is never hedged.
	Repeatable bool
	// Suspect work runs alone and is never hedged.
	Suspect bool
	// FirstToken is true once the first token has come; such work is never hedged.
	FirstTokenReceived bool
	// Waited is the time since the first copy was sent.
	Elapsed time.Duration
	// After is the delay that placement gave; zero means never.
	Delay time.Duration
}

// AllowHedge takes a token for one hedge and reports whether it may run.
func (b *Budget) AllowHedge(now time.Time, h Hedge) bool {
	if !h.Repeatable || h.Suspect || h.FirstTokenReceived {
		return false
	}
	if h.Delay <= 0 || h.Elapsed < h.Delay {
		return false
	}
	return b.take(now, hedgeKey(h.Pool), b.hedgeRules())
}

func (b *Budget) retryRules() rules {
	return rules{earned: b.cfg.Ratio, burst: b.cfg.Burst, perSecond: b.cfg.MinPerSecond}
}

func (b *Budget) hedgeRules() rules {
	return rules{earned: b.cfg.HedgeRatio, burst: b.cfg.HedgeBurst}
}

func retryKey(workspace, pool string) string {
	return "retry" + keySeparator + workspace + keySeparator + pool
}

func hedgeKey(pool string) string {
	return "hedge" + keySeparator + pool
}

func (b *Budget) earn(now time.Time, key string, r rules) {
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket(now, key, r).add(r.earned, r.burst)
}

func (b *Budget) take(now time.Time, key string, r rules) bool {
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := s.bucket(now, key, r)
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
func (s *shard) bucket(now time.Time, key string, r rules) *bucket {
	if found, ok := s.buckets.Get(key); ok {
		found.refill(now, r)
		return found
	}
	created := &bucket{tokens: r.burst, updated: now}
	s.buckets.Add(key, created)
	return created
}

func (b *bucket) refill(now time.Time, r rules) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.add(elapsed.Seconds()*r.perSecond, r.burst)
		b.updated = now
	}
}

func (b *bucket) add(tokens, burst float64) {
	b.tokens = min(b.tokens+tokens, burst)
}
