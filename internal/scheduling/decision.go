// Package scheduling holds the one queue of a pool: who runs next, who waits, and
// who is refused. It is decision code only: no network, no goroutines, and time
// is passed in. docs/design/scheduling.md states the rule.
package scheduling

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Placer chooses endpoints. It is called under the pool's lock.
type Placer interface {
	// Place reserves one slot for ask, or reports false if none is free.
	Place(now time.Time, ask routing.PermitRequest) (routing.Placement, bool)
	// Done frees the slot of a grant.
	Done(now time.Time, report routing.Report)
	// Restore counts a grant that an earlier broker made.
	Restore(now time.Time, progress routing.Progress)
	// Capacity describes what the pool can take now.
	Capacity(now time.Time) routing.Capacity
}

// Constrainer is implemented by placers that may refuse an ask for a reason of its
// own while others would be placed. Such an ask does not hold up the queue. For
// other placers these are the suspects and the asks with endpoints to avoid.
type Constrainer interface {
	Constrained(now time.Time, ask routing.PermitRequest) bool
}

// Quarantine is implemented by placers that know the requests that are refused for good.
type Quarantine interface {
	Refuses(now time.Time, digest string) bool
}

// Kind tells a grant from a refusal.
type Kind string

const (
	// Granted means that the ask holds a slot; Grant is set.
	Granted Kind = "granted"
	// Refused means that the ask has left the queue; Failure is set.
	Refused Kind = "refused"
)

// Reasons of refusals.
const (
	// ReasonLateOnArrival means that the expected wait exceeds what the target leaves.
	ReasonLateOnArrival = "late_on_arrival"
	// ReasonExpired means that the ask waited for as long as it may.
	ReasonExpired = "expired"
	// ReasonShed means that the ask gave way to another when the queue was full.
	ReasonShed = "shed"
	// ReasonQueueFull means that the queue holds MaxWaiting asks.
	ReasonQueueFull = "queue_full"
	// ReasonQuarantined means that the request crashed endpoints.
	ReasonQuarantined = "quarantined"
	// ReasonNoEndpoint means that no endpoint takes work.
	ReasonNoEndpoint = "no_endpoint"
	// ReasonCancelled means that the caller left.
	ReasonCancelled = "cancelled"
	// ReasonDaemonGone means that the asking daemon is gone.
	ReasonDaemonGone = "daemon_gone"
	// ReasonDuplicate means that an ask with the same ID is known already.
	ReasonDuplicate = "duplicate"
)

// Decision ends the wait of one ask. An ask that is submitted once gets exactly one.
type Decision struct {
	// At is when the decision was made.
	At      time.Time
	Kind    Kind
	Request routing.PermitRequest
	// Grant is set for Granted.
	Grant routing.Grant
	// Failure is set for Refused; its outcome is not_run.
	Failure *failure.Failure
	// Reason says in one word why.
	Reason string
	// Parked is true if the ask was set aside at some time, because the placer held it
	// back for a reason of the ask's own.
	Parked bool
	// QueueWait is the time since Submit.
	QueueWait time.Duration
	// Alternatives counts the endpoints that could have been chosen.
	Alternatives int
}

// Recorder receives each decision, under the pool's lock, in order.
type Recorder interface {
	Record(decision Decision)
}

// SubmissionRecorder is implemented by recorders that also want each ask as it
// enters the pool, under the pool's lock, in order with the decisions.
type SubmissionRecorder interface {
	Submitted(at time.Time, ask routing.PermitRequest)
}

// ClassStats describes one class of a pool.
type ClassStats struct {
	Class   string
	Tier    int
	Waiting int
	Running int
	// Granted and Refused count since the pool was made.
	Granted int64
	Refused int64
	// OldestWait is the longest present wait since Submit.
	OldestWait time.Duration
	// DrainRate is the measured rate of dispatches, per second.
	DrainRate float64
}

// Stats describes a pool.
type Stats struct {
	Pool     string
	Waiting  int
	Running  int
	Cautious bool
	// DrainRate is the measured rate of dispatches, per second.
	DrainRate float64
	// Classes are sorted by tier, then by name.
	Classes []ClassStats
}
