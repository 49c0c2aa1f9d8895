// Package estimate predicts answer lengths, in tokens, from the lengths seen so
// far for each profile and workspace.
//
// A pair with too few observations falls back to its profile, then to all
// observations, then to a configured prior. Memory is bounded by an LRU cache.
package estimate

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Config sets the bounds of an Estimator. Zero fields take their defaults.
type Config struct {
	// MaxPairs bounds the remembered (profile, workspace) pairs. Default 4096.
	MaxPairs int
	// MinSamples is how many observations a series needs before it is used. Default 8.
	MinSamples int
	// Prior is the length assumed before anything was seen, in tokens. Default 256.
	Prior int
}

// Defaults of Config.
const (
	DefaultMaxPairs   = 4096
	DefaultMinSamples = 8
	DefaultPrior      = 256
)

const shardCount = 16

// Estimator predicts answer lengths. All methods may be called concurrently.
type Estimator struct {
	cfg    Config
	shards [shardCount]*shard
}

// key names a series. An empty workspace stands for the whole profile, an empty
// profile for all observations.
type key struct{ profile, workspace string }

// shard holds a part of the series under one lock.
type shard struct {
	mu     sync.Mutex
	series *simplelru.LRU[key, *series]
}

// New returns an empty estimator.
func New(cfg Config) *Estimator {
	cfg = cfg.withDefaults()
	e := &Estimator{cfg: cfg}
	perShard := max(1, (cfg.MaxPairs+shardCount-1)/shardCount)
	for i := range e.shards {
		cache, err := simplelru.NewLRU[key, *series](perShard, nil)
		if err != nil {
			panic(err) // The size is positive, which is all that NewLRU asks for.
		}
		e.shards[i] = &shard{series: cache}
	}
	return e
}

func (c Config) withDefaults() Config {
	if c.MaxPairs <= 0 {
		c.MaxPairs = DefaultMaxPairs
	}
	if c.MinSamples <= 0 {
		c.MinSamples = DefaultMinSamples
	}
	if c.Prior <= 0 {
		c.Prior = DefaultPrior
	}
	return c
}

// Observe records the length of a completed answer, in tokens.
func (e *Estimator) Observe(profile, workspace string, tokens int) {
	if tokens <= 0 {
		return
	}
	for _, k := range fallbacks(profile, workspace) {
		e.shardOf(k).observe(k, tokens)
	}
}

// Quantile returns the length, in tokens, that a share q (0 to 1) of answers does
// not exceed. It is at least 1.
func (e *Estimator) Quantile(profile, workspace string, q float64) int {
	tokens, ok := e.lookup(profile, workspace, func(s *series) int { return s.quantile(q) })
	if !ok {
		return e.cfg.Prior
	}
	return max(1, tokens)
}

// Remaining returns the median number of tokens still to come, given that an
// answer has produced tokens already. It is at least 1.
func (e *Estimator) Remaining(profile, workspace string, produced int) int {
	tokens, ok := e.lookup(profile, workspace, func(s *series) int { return s.remaining(produced) })
	if !ok {
		tokens = e.cfg.Prior - produced
	}
	return max(1, tokens)
}

// lookup reads the most specific series that has enough observations.
func (e *Estimator) lookup(profile, workspace string, read func(*series) int) (int, bool) {
	for _, k := range fallbacks(profile, workspace) {
		if tokens, ok := e.shardOf(k).read(k, e.cfg.MinSamples, read); ok {
			return tokens, true
		}
	}
	return 0, false
}

// fallbacks lists the series of a pair, the most specific first.
func fallbacks(profile, workspace string) [3]key {
	return [3]key{{profile, workspace}, {profile: profile}, {}}
}

func (e *Estimator) shardOf(k key) *shard {
	sum := xxhash.Sum64String(k.profile)*31 + xxhash.Sum64String(k.workspace)
	return e.shards[sum%shardCount]
}

func (s *shard) observe(k key, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.series.Get(k)
	if !ok {
		found = newSeries()
		s.series.Add(k, found)
	}
	found.observe(tokens)
}

func (s *shard) read(k key, minSamples int, read func(*series) int) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.series.Get(k)
	if !ok || found.count() < minSamples {
		return 0, false
	}
	return read(found), true
}

// Len returns the number of remembered series.
func (e *Estimator) Len() int {
	total := 0
	for _, s := range e.shards {
		s.mu.Lock()
		total += s.series.Len()
		s.mu.Unlock()
	}
	return total
}
