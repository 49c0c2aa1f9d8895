// Package scheduling implements the queue of a pool: it decides which request runs
// next, which wait and which are refused. It uses no network and no goroutines, and
// time is passed in. docs/design/scheduling.md describes the scheduling policy.
package scheduling

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Placer chooses endpoints for requests. It is called under the pool's lock.
type Placer interface {
	// Place reserves a slot for a request, or reports false if no endpoint can take it.
	Place(now time.Time, request routing.PermitRequest) (routing.Placement, bool)
	// Done frees the slot of a grant.
	Done(now time.Time, report routing.Report)
	// Restore accounts for a running grant of a previous broker.
	Restore(now time.Time, progress routing.Progress)
	// Capacity returns the pool's current capacity.
	Capacity(now time.Time) routing.Capacity
}

// Constrainer is implemented by placers that may be unable to place one request while
// they could place others. Such a request does not block the queue. With other placers,
// suspect requests and those with endpoints to avoid are taken to be constrained.
type Constrainer interface {
	Constrained(now time.Time, request routing.PermitRequest) bool
}

// Quarantine is implemented by placers that refuse requests with quarantined content.
type Quarantine interface {
	Refuses(now time.Time, digest string) bool
}

// Kind is the kind of a decision.
type Kind string

const (
	// Granted means that the request holds a slot; Grant is set.
	Granted Kind = "granted"
	// Refused means that the request was rejected or removed from the queue; Failure is set.
	Refused Kind = "refused"
)

// Reasons of refusals.
const (
	// ReasonLateOnArrival means that the request's expected wait on arrival is too long
	// to meet its target.
	ReasonLateOnArrival = "late_on_arrival"
	// ReasonExpired means that the request reached the limit of its wait.
	ReasonExpired = "expired"
	// ReasonShed means that the request was evicted from a full queue by another.
	ReasonShed = "shed"
	// ReasonQueueFull means that the queue is full and the request may not evict another.
	ReasonQueueFull = "queue_full"
	// ReasonQuarantined means that the request's content crashed endpoints.
	ReasonQuarantined = "quarantined"
	// ReasonNoEndpoint means that no endpoint accepts work.
	ReasonNoEndpoint = "no_endpoint"
	// ReasonCancelled means that the caller disconnected.
	ReasonCancelled = "cancelled"
	// ReasonDaemonGone means that the requesting daemon is no longer a member.
	ReasonDaemonGone = "daemon_gone"
	// ReasonDuplicate means that a request with the same ID was already granted or has ended.
	ReasonDuplicate = "duplicate"
)

// Decision is the grant or refusal of one request. A request that is submitted once
// gets exactly one.
type Decision struct {
	// At is when the decision was made.
	At      time.Time
	Kind    Kind
	Request routing.PermitRequest
	// Grant is set for Granted.
	Grant routing.Grant
	// Failure is set for Refused; its outcome is not_run.
	Failure *failure.Failure
	// Reason is the placement's reason for a grant, or one of the Reason constants.
	Reason string
	// Parked is true if the request was parked at some time, because the free endpoints
	// could take other requests but not this one.
	Parked bool
	// QueueWait is the time since Submit.
	QueueWait time.Duration
	// Alternatives is the number of endpoints that could have been chosen.
	Alternatives int
}

// Recorder receives each decision, in order and under the pool's lock.
type Recorder interface {
	Record(decision Decision)
}

// SubmissionRecorder is implemented by recorders that also receive each submitted
// request, in order with the decisions and under the pool's lock.
type SubmissionRecorder interface {
	Submitted(at time.Time, request routing.PermitRequest)
}

// ClassStats holds the statistics of one class of a pool.
type ClassStats struct {
	Class   string
	Tier    int
	Waiting int
	Running int
	// Granted and Refused count the decisions since the pool was created.
	Granted int64
	Refused int64
	// OldestWait is how long the oldest waiting request has waited since Submit.
	OldestWait time.Duration
	// DrainRate is the measured rate of dispatches, per second.
	DrainRate float64
}

// Stats holds the statistics of a pool.
type Stats struct {
	Pool         string
	Waiting      int
	Running      int
	Conservative bool
	// DrainRate is the measured rate of dispatches, per second.
	DrainRate float64
	// Classes is sorted by tier, then by name.
	Classes []ClassStats
}
