package endpoint

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/routing"
)

// Cause classifies the failure of a call to an endpoint.
type Cause string

const (
	// NotReached means that no byte of the request was written.
	NotReached Cause = "not_reached"
	// Refused means that the endpoint declined to start the request.
	Refused Cause = "refused"
	// Rejected means that the endpoint considers the request invalid.
	Rejected Cause = "rejected"
	// ConnectionBroken means that the connection failed after bytes of the request were
	// written.
	ConnectionBroken Cause = "broken"
	// Failed means that the endpoint returned an error after it may have started the
	// request.
	Failed Cause = "failed"
	// Malformed means that the response violated the protocol: it was truncated, mixed
	// with another response, duplicated, or not a response of the expected type.
	Malformed Cause = "malformed"
	// TimedOut means that the endpoint sent nothing for longer than allowed.
	TimedOut Cause = "silent"
	// Cancelled means that the caller's context ended.
	Cancelled Cause = "cancelled"
)

// Error is the failure of a call to an endpoint. It is immutable once returned.
type Error struct {
	Cause    Cause
	Endpoint string
	// Status is the HTTP status of an error response; zero if there was none.
	Status int
	// Message describes the failure.
	Message string
	// RetryAfter is the retry-after delay sent by the endpoint; zero if none.
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

// MayHaveStarted reports whether the endpoint may have started to run the request.
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
	case TimedOut:
		return routing.ResultTimedOut
	case Cancelled:
		return routing.ResultCancelled
	default:
		return routing.ResultCrashed
	}
}
