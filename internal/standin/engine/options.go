// Package engine is a small stand-in for a model engine. It speaks the OpenAI HTTP
// API with the extensions of published engines (priority, continue_final_message),
// batches continuously, caches prompt prefixes, reports its load with a lag, records
// what it ran, and fails on demand. It is meant for tests and for `primrosewell dev`.
package engine

import "time"

// Options shape the engine. The zero value gives a fast engine with model "standin".
type Options struct {
	// Name labels the engine in chunk ids and metrics.
	Name string
	// Models are the model names that the engine lists. Default: standin.
	Models []string
	// MaxBatch is how many sequences run at once. Default 16.
	MaxBatch int
	// MaxWaiting is how many sequences wait before the engine refuses with 503. Default 1024.
	MaxWaiting int
	// StepTime is the time of one decoding step. Default 1 ms.
	StepTime time.Duration
	// PrefillPerToken is the time to read one uncached prompt token. Default 0.
	PrefillPerToken time.Duration
	// MinTokens and MaxTokens bound the length of an answer. Defaults 8 and 32.
	MinTokens int
	MaxTokens int
	// CacheBlocks is the capacity of the prefix cache in blocks. Default 4096.
	CacheBlocks int
	// ReportLag is how old the load report may be. Default 0: always fresh.
	ReportLag time.Duration
	// EventDelay is how late cache events are published. Default 0.
	EventDelay time.Duration
	// EventGapEvery drops every n-th cache event; zero drops none.
	EventGapEvery int
}

const (
	defaultModel       = "standin"
	defaultMaxBatch    = 16
	defaultMaxWaiting  = 1024
	defaultStepTime    = time.Millisecond
	defaultMinTokens   = 8
	defaultMaxTokens   = 32
	defaultCacheBlocks = 4096
	maxBodyBytes       = 16 << 20
)

func (o Options) withDefaults() Options {
	setDefault(&o.Name, "engine")
	setDefault(&o.MaxBatch, defaultMaxBatch)
	setDefault(&o.MaxWaiting, defaultMaxWaiting)
	setDefault(&o.StepTime, defaultStepTime)
	setDefault(&o.MinTokens, defaultMinTokens)
	setDefault(&o.MaxTokens, max(defaultMaxTokens, o.MinTokens))
	setDefault(&o.CacheBlocks, defaultCacheBlocks)
	if len(o.Models) == 0 {
		o.Models = []string{defaultModel}
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
