package scheduling

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Config holds the settings of a Pool. Start from DefaultConfig; a zero Config
// is given the defaults field by field.
type Config struct {
	// CautiousShare is the share of the free slots that a new broker grants until
	// it has rebuilt its counts, 0 to 1. Default 0.25.
	CautiousShare float64
	// CautiousRamp is the time after caution in which the share grows to the whole.
	// Default 5 s.
	CautiousRamp time.Duration
	// MinRetryAfter is the shortest time that a refused caller is asked to wait. Default 1 s.
	MinRetryAfter time.Duration
	// MaxRetryAfter is the longest time that a refused caller is asked to wait. Default 60 s.
	MaxRetryAfter time.Duration
	// RetryJitter spreads RetryAfter by up to this share, upwards. Default 0.25.
	RetryJitter float64
	// DrainWindow is the time constant of the measured drain rate. Default 2 s.
	DrainWindow time.Duration
	// AdmissionShare is the share of the time left that the expected wait of a new ask
	// may take, 0 to 1. Default 0.8.
	AdmissionShare float64
	// MaxWaiting bounds the waiting asks, as a guard on memory. Default 20000.
	MaxWaiting int
	// MaxWait bounds the time in the queue of an ask that states no bound, and of a
	// further attempt whose own bound is shorter. Default 30 s.
	MaxWait time.Duration
	// SizeQuantile is the quantile of the answer length that is planned for. Default 0.5.
	SizeQuantile float64
	// Rand is the source of jitter; nil means no jitter. The pool uses it under its own lock.
	Rand *rand.Rand
	// Recorder receives each decision; nil records nothing.
	Recorder Recorder
}

// Defaults of Config.
const (
	DefaultCautiousShare = 0.25
	DefaultCautiousRamp  = 5 * time.Second
	DefaultMinRetryAfter = time.Second
	DefaultMaxRetryAfter = time.Minute
	DefaultRetryJitter   = 0.25
	DefaultDrainWindow   = 2 * time.Second
	DefaultMaxWaiting    = 20_000
	DefaultMaxWait       = 30 * time.Second
	DefaultSizeQuantile  = 0.5
	// DefaultAdmissionShare leaves a fifth of the time left for error of the prediction.
	DefaultAdmissionShare = 0.8
)

// DefaultConfig returns the defaults, without jitter and without a recorder.
func DefaultConfig() Config {
	return Config{
		CautiousShare:  DefaultCautiousShare,
		CautiousRamp:   DefaultCautiousRamp,
		MinRetryAfter:  DefaultMinRetryAfter,
		MaxRetryAfter:  DefaultMaxRetryAfter,
		RetryJitter:    DefaultRetryJitter,
		DrainWindow:    DefaultDrainWindow,
		MaxWaiting:     DefaultMaxWaiting,
		MaxWait:        DefaultMaxWait,
		SizeQuantile:   DefaultSizeQuantile,
		AdmissionShare: DefaultAdmissionShare,
	}
}

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.CautiousShare = cmp.Or(c.CautiousShare, d.CautiousShare)
	c.CautiousRamp = cmp.Or(c.CautiousRamp, d.CautiousRamp)
	c.MinRetryAfter = cmp.Or(c.MinRetryAfter, d.MinRetryAfter)
	c.MaxRetryAfter = cmp.Or(c.MaxRetryAfter, d.MaxRetryAfter)
	c.RetryJitter = cmp.Or(c.RetryJitter, d.RetryJitter)
	c.DrainWindow = cmp.Or(c.DrainWindow, d.DrainWindow)
	c.AdmissionShare = cmp.Or(c.AdmissionShare, d.AdmissionShare)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, d.MaxWaiting)
	c.MaxWait = cmp.Or(c.MaxWait, d.MaxWait)
	c.SizeQuantile = cmp.Or(c.SizeQuantile, d.SizeQuantile)
	return c
}
