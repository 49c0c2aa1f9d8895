package endpoint

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/routing"
)

// Cause says how a call on an endpoint failed.
type Cause string

const (
	// NotReached means that no byte of the request was written.
	NotReached Cause = "not_reached"
	// Refused means that the endpoint answered that it would not start the request.
	Refused Cause = "refused"
	// Rejected means that the endpoint found fault with the request itself.
	Rejected Cause = "rejected"
	// Broken means that the connection broke after bytes of the request were written.
	ConnectionBroken Cause = "broken"
	// Failed means that the endpoint answered with an error after it may have started.
	Failed Cause = "failed"
	// Malformed means that the answer broke the protocol: half, crossed, doubled or no answer at all.
	Malformed Cause = "malformed"
	// Silent means that the endpoint sent nothing for longer than allowed.
	Silent Cause = "silent"
	// Cancelled means that the caller's context ended.
	Cancelled Cause = "cancelled"
)

// Error is the failure of a call on an endpoint. It is immutable once returned.
type Error struct {
	Cause    Cause
	Endpoint string
	// Status is the HTTP status of the endpoint's answer; zero if there was none.
	Status int
	// Message says what was found.
	Message string
	// RetryAfter is the endpoint's own word on when to come back; zero if none.
	RetryAfter time.Duration
	// Sent is true if a byte of the request may have reached the endpoint.
	Sent bool

	wrapped error
}

// Error implements error.
func (e *Error) Error() string {
	text := "endpoint " + e.Endpoint + ": " + string(e.Cause) + ": " + e.Message
	if e.wrapped != nil {
		text += ": " + e.wrapped.Error()
	}
	return text
}

// Unwrap returns the wrapped error, or nil.
func (e *Error) Unwrap() error { return e.wrapped }

// MayHaveStarted reports whether the endpoint may have begun to run the request.
func (e *Error) MayHaveStarted() bool {
	switch e.Cause {
	case NotReached, Refused, Rejected:
		return false
	case Cancelled:
		return e.Sent
	default:
		return true
	}
}

// Result classifies the failure for the broker.
func (e *Error) Result() routing.Result {
	switch e.Cause {
	case NotReached, Refused:
		return routing.ResultNotStarted
	case Rejected:
		return routing.ResultRejected
	case Silent:
		return routing.ResultTimedOut
	case Cancelled:
		return routing.ResultCancelled
	default:
		return routing.ResultCrashed
	}
}
