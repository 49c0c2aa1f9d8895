package placement

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/limit"
	"github.com/primrosewell/primrosewell/internal/quarantine"
)

// Config configures a Fleet. Zero fields take the defaults.
type Config struct {
	// Health configures ejection; Limit configures the endpoints' concurrency limits.
	Health health.Config
	Limit  limit.Config
	// Quarantine is the daemon's shared register; nil creates a private one.
	Quarantine *quarantine.Register
	// Weights holds the scorer weights; nil takes DefaultWeights.
	Weights *Weights
	// SampleSize is the number of available endpoints drawn at random for one decision.
	SampleSize int
	// MaxBlocks is the maximum number of prompt blocks in the affinity index.
	MaxBlocks int
	// MaxSuspects is the maximum number of suspect requests that run at once, each
	// isolated on its endpoint.
	MaxSuspects int
	// ReservationTimeout is how long an endpoint stays reserved after the last permit
	// request of a suspect.
	ReservationTimeout time.Duration
}

// Weights holds the factor of each scorer. A weight of zero disables the scorer.
type Weights struct {
	Load     float64
	Affinity float64
	Speed    float64
}

// Default values of Config.
const (
	DefaultSampleSize         = 8
	DefaultMaxBlocks          = 65536
	DefaultMaxSuspects        = 1
	DefaultReservationTimeout = 2 * time.Second
)

// DefaultWeights returns the weights used when Config.Weights is nil.
func DefaultWeights() Weights { return Weights{Load: 1, Affinity: 0.5, Speed: 0.5} }

func (c Config) withDefaults() Config {
	if c.Quarantine == nil {
		c.Quarantine = quarantine.New(quarantine.Config{})
	}
	if c.Weights == nil {
		weights := DefaultWeights()
		c.Weights = &weights
	}
	if c.SampleSize <= 0 {
		c.SampleSize = DefaultSampleSize
	}
	if c.MaxBlocks <= 0 {
		c.MaxBlocks = DefaultMaxBlocks
	}
	if c.MaxSuspects <= 0 {
		c.MaxSuspects = DefaultMaxSuspects
	}
	if c.ReservationTimeout <= 0 {
		c.ReservationTimeout = DefaultReservationTimeout
	}
	return c
}
