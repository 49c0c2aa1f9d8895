// Package routing defines the messages of a routing decision: the permit request of
// an entry daemon, the grant of the pool's broker, and the report on the attempt's
// result. It contains no logic.
package routing

import (
	"context"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

// PermitRequest asks for a permit to run one attempt of a request on a pool. Durations
// are measured on the requesting daemon's monotonic clock, so that no wall clocks are
// compared.
type PermitRequest struct {
	// ID identifies the attempt; RequestID is the same for all attempts of a request.
	ID        string
	RequestID string
	// Daemon is the requesting entry daemon.
	Daemon string
	// Pool is the name of the service.
	Pool      string
	Workspace string
	// Weight is the workspace's relative share within its class, at least 1.
	Weight  int
	Profile string
	Class   string
	Tier    catalog.Tier
	// FloorPercent is the class's guaranteed share of dispatches, 0 to 100.
	FloorPercent float64
	// Waited is the time since the request arrived, over all its attempts.
	Waited time.Duration
	// Target is the latency target of the profile.
	Target catalog.Target
	// MaxWait bounds the time in the queue, counted from the request's arrival.
	MaxWait time.Duration
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxOutputTokens limits the length of the response; zero means not stated.
	MaxOutputTokens int
	// Prefix holds the chained hashes of the prompt's blocks, longest prefix last.
	Prefix []uint64
	// Digest identifies the request's content for the quarantine.
	Digest string
	// Repeatable allows hedging, and retries after an attempt may have started.
	Repeatable bool
	// Suspect marks a request that was running on an endpoint when it crashed; it is
	// isolated from other requests.
	Suspect bool
	// Avoid lists the endpoints that this request has already tried.
	Avoid []string
	// Attempt is the number of the attempt, from 1.
	Attempt int
}

// Grant is the permit for one attempt on one endpoint.
type Grant struct {
	AttemptID string
	Endpoint  catalog.Endpoint
	// Priority is the scheduling priority sent to the engine; lower runs first.
	Priority int
	// Broker identifies the granting daemon and its incarnation.
	Broker string
	// QueueWait is the time that the request spent in the broker's queue.
	QueueWait time.Duration
	// Alternatives counts the endpoints that could have been chosen.
	Alternatives int
	// Reason says in one word why this endpoint was chosen.
	Reason string
	// HedgeAfter is when a repeatable request may be hedged; zero means never.
	HedgeAfter time.Duration
}

// Result is the way in which an attempt ended.
type Result string

const (
	// ResultCompleted means that the complete response was received.
	ResultCompleted Result = "completed"
	// ResultNotStarted means that the endpoint was not reached, or refused the request
	// before running it.
	ResultNotStarted Result = "not_started"
	// ResultCrashed means that the connection broke after the request was sent.
	ResultCrashed Result = "crashed"
	// ResultTimedOut means that the endpoint stopped sending.
	ResultTimedOut Result = "timed_out"
	// ResultCancelled means that the caller disconnected, or that the other attempt of a
	// hedged request won.
	ResultCancelled Result = "cancelled"
	// ResultRejected means that the endpoint rejected the request as invalid.
	ResultRejected Result = "rejected"
)

// Report is the result of an attempt and ends its grant. Each grant gets exactly one.
type Report struct {
	AttemptID string
	RequestID string
	Pool      string
	Endpoint  string
	Workspace string
	Profile   string
	Class     string
	Result    Result
	Digest    string
	// FirstToken is the time from sending the request to the first token; zero if none
	// was received.
	FirstToken time.Duration
	// TokenGap is the mean time between tokens.
	TokenGap time.Duration
	// Elapsed is the time from sending the request to the end of the attempt.
	Elapsed      time.Duration
	PromptTokens int
	OutputTokens int
	// CachedTokens is the number of prompt tokens that the engine had in its cache.
	CachedTokens int
}

// Progress describes a running grant.
type Progress struct {
	AttemptID    string
	Endpoint     string
	Elapsed      time.Duration
	OutputTokens int
	// Request repeats the permit request, so that a new broker can rebuild its counts.
	Request PermitRequest
}

// Load is the load that an engine reports about itself; it lags behind.
type Load struct {
	Endpoint string
	Running  int
	Waiting  int
	// CacheUsed is the share of the engine's KV cache in use, 0 to 1.
	CacheUsed float64
	// Leaving is set if the engine reports that it is shutting down.
	Leaving bool
	// Age is the age of the report.
	Age time.Duration
}

// Broker issues permits for pools. Acquire blocks until the grant, or returns a
// *failure.Failure; cancelling ctx removes the request from the queue at once.
// Release ends a grant. All methods may be called concurrently.
type Broker interface {
	Acquire(ctx context.Context, request PermitRequest) (Grant, error)
	Release(report Report)
}

// Placement is an endpoint with a slot reserved for a request.
type Placement struct {
	Endpoint catalog.Endpoint
	// Alternatives counts the endpoints that could have been chosen.
	Alternatives int
	// Reason says in one word why this endpoint was chosen.
	Reason string
	// HedgeAfter is when a repeatable request may be hedged; zero means never.
	HedgeAfter time.Duration
}

// Capacity is the current capacity of a pool.
type Capacity struct {
	// Slots is the number of requests that the pool's limits allow concurrently.
	Slots int
	// Busy is the number of running requests.
	Busy int
	// Endpoints is the number of endpoints that accept new requests.
	Endpoints int
	// TokensPerSecond is the pool's measured output rate, which accounts for engines of
	// unequal speed; zero if unknown.
	TokensPerSecond float64
	// FirstToken is the median time to the first token; zero if unknown.
	FirstToken time.Duration
}

// LoadReader reads the load report of an endpoint.
type LoadReader interface {
	Load(ctx context.Context, endpoint catalog.Endpoint) (Load, error)
}
