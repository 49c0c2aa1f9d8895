// Package health judges endpoints by the evidence of the requests sent to them:
// crashed, too slow against the pool, or fit for work.
package health

// State is the judgement of an endpoint.
type State string

const (
	// Healthy endpoints take work.
	Healthy State = "healthy"
	// Ejected endpoints take none until the back-off has passed.
	Ejected State = "ejected"
	// HalfOpen endpoints take one probe.
	HalfOpen State = "half_open"
)
