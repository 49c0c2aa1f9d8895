// Package estimate predicts response lengths, in tokens, from the lengths observed for each
// profile and workspace.
//
// A pair with too few observations falls back to its profile, then to all observations, then
// to a configured prior. An LRU cache bounds the memory.
package estimate

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Config sets the parameters of an Estimator. Zero fields take their defaults.
type Config struct {
	// MaxSeries bounds the number of series kept, of which there is one per (profile,
	// workspace) pair, one per profile and one for all observations. Default 4096.
	MaxSeries int
	// MinSamples is the number of observations from which a series is used. Default 8.
	MinSamples int
	// Prior is the length predicted without enough observations, in tokens. Default 256.
	Prior int
}

// Defaults of Config.
const (
	DefaultMaxSeries  = 4096
	DefaultMinSamples = 8
	DefaultPrior      = 256
)

const shardCount = 16

// Estimator predicts response lengths. It is safe for concurrent use.
type Estimator struct {
	cfg    Config
	shards [shardCount]*shard
}

// seriesKey identifies a series. An empty workspace stands for all workspaces of the profile,
// and an empty profile for all observations.
type seriesKey struct{ profile, workspace string }

// shard holds a part of the series under a lock of its own.
type shard struct {
	mu     sync.Mutex
	series *simplelru.LRU[seriesKey, *series]
}

// New returns an empty estimator.
func New(cfg Config) *Estimator {
	cfg = cfg.withDefaults()
	e := &Estimator{cfg: cfg}
	perShard := max(1, (cfg.MaxSeries+shardCount-1)/shardCount)
	for i := range e.shards {
		cache, err := simplelru.NewLRU[seriesKey, *series](perShard, nil)
		if err != nil {
			panic(err) // NewLRU fails only for a size below 1.
		}
		e.shards[i] = &shard{series: cache}
	}
	return e
}

func (c Config) withDefaults() Config {
	if c.MaxSeries <= 0 {
		c.MaxSeries = DefaultMaxSeries
	}
	if c.MinSamples <= 0 {
		c.MinSamples = DefaultMinSamples
	}
	if c.Prior <= 0 {
		c.Prior = DefaultPrior
	}
	return c
}

// Observe records the length of a completed response, in tokens.
func (e *Estimator) Observe(profile, workspace string, tokens int) {
	if tokens <= 0 {
		return
	}
	for _, k := range fallbacks(profile, workspace) {
		e.shardOf(k).observe(k, tokens)
	}
}

// Quantile returns the length, in tokens, that a share q (0 to 1) of the responses does not
// exceed. The result is at least 1.
func (e *Estimator) Quantile(profile, workspace string, q float64) int {
	tokens, ok := e.lookup(profile, workspace, func(s *series) int { return s.quantile(q) })
	if !ok {
		return e.cfg.Prior
	}
	return max(1, tokens)
}

// Remaining returns the median number of tokens still to come of a response that has produced
// some already. The result is at least 1.
func (e *Estimator) Remaining(profile, workspace string, produced int) int {
	tokens, ok := e.lookup(profile, workspace, func(s *series) int { return s.remaining(produced) })
	if !ok {
		tokens = e.cfg.Prior - produced
	}
	return max(1, tokens)
}

// lookup applies query to the most specific series with at least MinSamples observations.
func (e *Estimator) lookup(profile, workspace string, query func(*series) int) (int, bool) {
	for _, k := range fallbacks(profile, workspace) {
		if tokens, ok := e.shardOf(k).read(k, e.cfg.MinSamples, query); ok {
			return tokens, true
		}
	}
	return 0, false
}

// fallbacks returns the keys of the series to consult for a pair, the most specific first.
func fallbacks(profile, workspace string) [3]seriesKey {
	return [3]seriesKey{{profile, workspace}, {profile: profile}, {}}
}

func (e *Estimator) shardOf(k seriesKey) *shard {
	sum := xxhash.Sum64String(k.profile)*31 + xxhash.Sum64String(k.workspace)
	return e.shards[sum%shardCount]
}

func (s *shard) observe(k seriesKey, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.series.Get(k)
	if !ok {
		found = newSeries()
		s.series.Add(k, found)
	}
	found.observe(tokens)
}

func (s *shard) read(k seriesKey, minSamples int, query func(*series) int) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.series.Get(k)
	if !ok || found.count() < minSamples {
		return 0, false
	}
	return query(found), true
}

// Len returns the number of series kept.
func (e *Estimator) Len() int {
	total := 0
	for _, s := range e.shards {
		s.mu.Lock()
		total += s.series.Len()
		s.mu.Unlock()
	}
	return total
}
