package scheduling

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Config holds the settings of a Pool. Zero fields are replaced by their defaults;
// DefaultConfig returns all of them.
type Config struct {
	// ConservativeShare is the share of the free slots that a new broker may grant
	// while it rebuilds its counts of running requests, 0 to 1. Default 0.25.
	ConservativeShare float64
	// ConservativeRamp is the time after conservative mode in which the share grows
	// linearly to 1. Default 5 s.
	ConservativeRamp time.Duration
	// MinRetryAfter is the shortest retry-after delay of a refusal. Default 1 s.
	MinRetryAfter time.Duration
	// MaxRetryAfter is the longest retry-after delay of a refusal. Default 60 s.
	MaxRetryAfter time.Duration
	// RetryJitter is the largest random share added to a retry-after delay. Default 0.25.
	RetryJitter float64
	// DrainWindow is the time constant of the exponentially decaying rates, such as
	// the drain rate. Default 2 s.
	DrainWindow time.Duration
	// AdmissionShare is the share of a new request's remaining time that its expected
	// wait may take, 0 to 1. Default 0.8.
	AdmissionShare float64
	// MaxQueueLength bounds the number of waiting requests, to limit memory. Default 20000.
	MaxQueueLength int
	// MaxWait bounds the queueing time of a request that states no bound, and of a
	// repeated attempt whose own bound is shorter. Default 30 s.
	MaxWait time.Duration
	// SizeQuantile is the quantile of the response length used as its estimate. Default 0.5.
	SizeQuantile float64
	// Rand is the source of jitter; nil means no jitter. It is used under the pool's lock.
	Rand *rand.Rand
	// Recorder receives each decision; nil records nothing.
	Recorder Recorder
}

// Defaults of Config.
const (
	DefaultConservativeShare = 0.25
	DefaultConservativeRamp  = 5 * time.Second
	DefaultMinRetryAfter     = time.Second
	DefaultMaxRetryAfter     = time.Minute
	DefaultRetryJitter       = 0.25
	DefaultDrainWindow       = 2 * time.Second
	DefaultMaxQueueLength    = 20_000
	DefaultMaxWait           = 30 * time.Second
	DefaultSizeQuantile      = 0.5
	// DefaultAdmissionShare leaves a fifth of the remaining time as a margin for
	// prediction errors.
	DefaultAdmissionShare = 0.8
)

// DefaultConfig returns the defaults, without jitter and without a recorder.
func DefaultConfig() Config {
	return Config{
		ConservativeShare: DefaultConservativeShare,
		ConservativeRamp:  DefaultConservativeRamp,
		MinRetryAfter:     DefaultMinRetryAfter,
		MaxRetryAfter:     DefaultMaxRetryAfter,
		RetryJitter:       DefaultRetryJitter,
		DrainWindow:       DefaultDrainWindow,
		MaxQueueLength:    DefaultMaxQueueLength,
		MaxWait:           DefaultMaxWait,
		SizeQuantile:      DefaultSizeQuantile,
		AdmissionShare:    DefaultAdmissionShare,
	}
}

// withDefaults returns c with its zero fields replaced by the defaults.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.ConservativeShare = cmp.Or(c.ConservativeShare, d.ConservativeShare)
	c.ConservativeRamp = cmp.Or(c.ConservativeRamp, d.ConservativeRamp)
	c.MinRetryAfter = cmp.Or(c.MinRetryAfter, d.MinRetryAfter)
	c.MaxRetryAfter = cmp.Or(c.MaxRetryAfter, d.MaxRetryAfter)
	c.RetryJitter = cmp.Or(c.RetryJitter, d.RetryJitter)
	c.DrainWindow = cmp.Or(c.DrainWindow, d.DrainWindow)
	c.AdmissionShare = cmp.Or(c.AdmissionShare, d.AdmissionShare)
	c.MaxQueueLength = cmp.Or(c.MaxQueueLength, d.MaxQueueLength)
	c.MaxWait = cmp.Or(c.MaxWait, d.MaxWait)
	c.SizeQuantile = cmp.Or(c.SizeQuantile, d.SizeQuantile)
	return c
}
