package placement

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/limit"
	"github.com/primrosewell/primrosewell/internal/quarantine"
)

// Config sets the policies of a Fleet. Zero fields take the defaults.
type Config struct {
	// Health and Limit set the thresholds of ejection and of the endpoints' limits.
	Health health.Config
	Limit  limit.Config
	// Quarantine is the daemon's register; nil gives the fleet one of its own.
	Quarantine *quarantine.Register
	// Weights of the scorers; nil takes DefaultWeights.
	Weights *Weights
	// Sample is the number of open endpoints drawn at random for one decision.
	Sample int
	// MaxBlocks bounds the prompt blocks that are remembered for affinity.
	MaxBlocks int
	// MaxSuspects bounds the suspects that run at once, each alone on its endpoint.
	MaxSuspects int
	// ReserveFor is how long an endpoint is kept free for a suspect after its last ask.
	ReserveFor time.Duration
}

// Weights say how much each scorer counts. A weight of zero switches a scorer off.
type Weights struct {
	Load     float64
	Affinity float64
	Speed    float64
}

// Defaults of Config.
const (
	DefaultSample      = 8
	DefaultMaxBlocks   = 65536
	DefaultMaxSuspects = 1
	DefaultReserveFor  = 2 * time.Second
)

// DefaultWeights returns the weights that are used when Config.Weights is nil.
func DefaultWeights() Weights { return Weights{Load: 1, Affinity: 0.5, Speed: 0.5} }

func (c Config) withDefaults() Config {
	if c.Quarantine == nil {
		c.Quarantine = quarantine.New(quarantine.Config{})
	}
	if c.Weights == nil {
		weights := DefaultWeights()
		c.Weights = &weights
	}
	if c.Sample <= 0 {
		c.Sample = DefaultSample
	}
	if c.MaxBlocks <= 0 {
		c.MaxBlocks = DefaultMaxBlocks
	}
	if c.MaxSuspects <= 0 {
		c.MaxSuspects = DefaultMaxSuspects
	}
	if c.ReserveFor <= 0 {
		c.ReserveFor = DefaultReserveFor
	}
	return c
}
