// Package engine is a stand-in for a model engine. It implements the OpenAI HTTP API
// with the extensions of published engines (priority, continue_final_message),
// continuous batching and a prefix cache, reports its load with a configurable lag,
// records the requests it ran and injects faults. It serves tests and `primrosewell dev`.
package engine

import "time"

// Options configure the engine. The zero value gives a fast engine with model "standin".
type Options struct {
	// Name is the owner of the models in the model list. Default: engine.
	Name string
	// Models are the model names that the engine lists. Default: standin.
	Models []string
	// MaxBatch is the maximum number of running sequences. Default 16.
	MaxBatch int
	// MaxWaiting is the queue length at which requests are refused with 503. Default 1024.
	MaxWaiting int
	// StepTime is the duration of one decoding step. Default 1 ms.
	StepTime time.Duration
	// PrefillPerToken is the prefill time of one uncached prompt token. Default 0.
	PrefillPerToken time.Duration
	// MinTokens and MaxTokens bound the length of a response. Defaults 8 and 32;
	// MaxTokens is at least MinTokens by default.
	MinTokens int
	MaxTokens int
	// CacheBlocks is the capacity of the prefix cache in blocks. Default 4096.
	CacheBlocks int
	// ReportLag is the maximum age of the load report. Default 0: always current.
	ReportLag time.Duration
	// EventDelay is the delay before a cache event is published. Default 0.
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
