// Package routing holds the messages that the stages of a routing decision
// exchange: the ask of an entry daemon, the grant or refusal of the pool's
// broker, and the report on what came of it. It holds no logic.
package routing

import (
	"context"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

// Ask is one request's wish to run on a pool. Durations are measured on the
// asking daemon's monotonic clock, so that no wall clocks are compared.
type PermitRequest struct {
	// ID is unique to one attempt; RequestID stays the same over attempts.
	ID        string
	RequestID string
	// Daemon is the asking entry daemon.
	Daemon string
	// Pool is the service.
	Pool      string
	Workspace string
	// Weight is the workspace's share within its class, at least 1.
	Weight  int
	Profile string
	Class   string
	Tier    catalog.Tier
	// FloorPercent is the class's guaranteed share of dispatches, in percent.
	FloorPercent float64
	// Waited is how long the request has been in the system already.
	Waited time.Duration
	// Target is the latency target of the profile.
	Target catalog.Target
	// MaxWait bounds the time in the queue from arrival.
	MaxWait time.Duration
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxOutputTokens caps the answer; zero means not stated.
	MaxOutputTokens int
	// Prefix holds the chained hashes of the prompt's blocks, longest match last.
	Prefix []uint64
	// Digest identifies the request's content for quarantine.
	Digest string
	// Repeatable work may be hedged and retried after it may have started.
	Repeatable bool
	// Suspect work was running on an endpoint that crashed; it runs alone.
	Suspect bool
	// Avoid lists endpoints that this request has tried.
	Avoid []string
	// Attempt counts from 1.
	Attempt int
}

// Grant permits one attempt on one endpoint.
type Grant struct {
	AttemptID string
	Endpoint  catalog.Endpoint
	// Priority is what the engine is told; lower runs first.
	Priority int
	// Broker is the daemon that granted, and its incarnation.
	Broker string
	// QueueWait is the time spent in the broker's queue.
	QueueWait time.Duration
	// Alternatives counts the endpoints that could have been chosen.
	Alternatives int
	// Reason says in one word why this endpoint was chosen.
	Reason string
	// HedgeAfter is when a repeatable request may be hedged; zero means never.
	HedgeAfter time.Duration
}

// Result says how an attempt ended.
type Result string

const (
	// ResultCompleted means that the whole answer came.
	ResultCompleted Result = "completed"
	// ResultNotStarted means that the endpoint was not reached, or refused before it started.
	ResultNotStarted Result = "not_started"
	// ResultCrashed means that the connection broke after the request was sent.
	ResultCrashed Result = "crashed"
	// ResultTimedOut means that the endpoint fell silent.
	ResultTimedOut Result = "timed_out"
	// ResultCancelled means that the caller left, or a hedge won.
	ResultCancelled Result = "cancelled"
	// ResultRejected means that the endpoint answered with an error about the request itself.
	ResultRejected Result = "rejected"
)

// Report ends a grant. Exactly one report follows each grant.
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
	// FirstToken is the time from sending to the first token; zero if none came.
	FirstToken time.Duration
	// Gap is the mean time between tokens.
	TokenGap time.Duration
	// Elapsed is the time from sending to the end.
	Elapsed      time.Duration
	PromptTokens int
	OutputTokens int
	// CachedTokens is how much of the prompt the engine had cached.
	CachedTokens int
}

// Progress describes a grant that is still running.
type Progress struct {
	AttemptID    string
	Endpoint     string
	Elapsed      time.Duration
	OutputTokens int
	// Ask restates the ask, so that a new broker can rebuild its counts.
	Request PermitRequest
}

// Load is an engine's own, lagging load report.
type Load struct {
	Endpoint string
	Running  int
	Waiting  int
	// CacheUsed is the used share of the engine's KV cache, 0 to 1.
	CacheUsed float64
	// Leaving is the engine's own word that it is going away.
	Leaving bool
	// Age is how old the report is.
	Age time.Duration
}

// Broker hands out permits for a pool. Acquire blocks until a grant or a
// *failure.Failure; cancelling ctx takes the ask out of the queue at once.
// All methods may be called concurrently.
type Broker interface {
	Acquire(ctx context.Context, ask PermitRequest) (Grant, error)
	Release(report Report)
}

// Placement is an endpoint reserved for an ask.
type Placement struct {
	Endpoint catalog.Endpoint
	// Alternatives counts the endpoints that could have been chosen.
	Alternatives int
	// Reason says in one word why this endpoint was chosen.
	Reason string
	// HedgeAfter is when a repeatable request may be hedged; zero means never.
	HedgeAfter time.Duration
}

// Capacity describes what a pool can take now.
type Capacity struct {
	// Slots is the number of requests that the pool's limits allow at once.
	Slots int
	// Busy is the number of requests that are running.
	Busy int
	// Endpoints counts those that take new work.
	Endpoints int
	// Unequal engines: TokensPerSecond is the pool's measured output rate; zero if unknown.
	TokensPerSecond float64
	// FirstToken is the median time to the first token; zero if unknown.
	FirstToken time.Duration
}

// LoadReader reads the load report of one endpoint.
type LoadReader interface {
	Load(ctx context.Context, endpoint catalog.Endpoint) (Load, error)
}
