// Package estimate predicts answer lengths, in tokens, from the lengths seen so
// far for each profile and workspace.
package estimate

// Config sets the bounds of an Estimator. Zero fields take their defaults.
type Config struct {
	// MaxPairs bounds the remembered (profile, workspace) pairs. Default 4096.
	MaxPairs int
	// MinSamples is how many observations a series needs before it is used. Default 8.
	MinSamples int
	// Prior is the length assumed before anything was seen, in tokens. Default 256.
	Prior int
}

// Estimator predicts answer lengths. All methods may be called concurrently.
type Estimator struct {
	cfg Config
}

// New returns an empty estimator.
func New(cfg Config) *Estimator { return &Estimator{cfg: cfg} }

// Observe records the length of a completed answer, in tokens.
func (e *Estimator) Observe(profile, workspace string, tokens int) {}

// Quantile returns the length, in tokens, that a share q (0 to 1) of answers does not exceed.
func (e *Estimator) Quantile(profile, workspace string, q float64) int { return e.cfg.Prior }

// Remaining returns the expected number of tokens still to come, given that an
// answer has produced tokens already; it is at least 1.
func (e *Estimator) Remaining(profile, workspace string, produced int) int { return e.cfg.Prior }
