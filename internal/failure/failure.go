// Package failure defines the only error type that is returned to callers, operators and other
// daemons: a code, whether the request ran, and a retry-after delay.
package failure

import (
	"errors"
	"time"

	"github.com/samber/oops"
)

// Outcome states whether a request ran.
type Outcome string

const (
	// Completed means that the complete response was produced.
	Completed Outcome = "completed"
	// NotRun means that no byte of the request reached an endpoint, or that the endpoint
	// refused the request before it started to run it.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run, partly or completely.
	Unknown Outcome = "unknown"
)

// Failure is the final error of a request, call or operation. Treat it as immutable: the
// With methods return copies.
type Failure struct {
	// Code is the kind of failure.
	Code Code
	// Outcome states whether the request ran.
	Outcome Outcome
	// Message is a sentence for the recipient. It names what was found and what is allowed.
	Message string
	// RetryAfter is the delay after which a retry makes sense; zero means that none is given.
	RetryAfter time.Duration
	// cause is the wrapped error with its oops attributes. It is only logged.
	cause error
}

// New returns a failure with the default outcome of its code.
func New(code Code, message string) *Failure {
	return &Failure{Code: code, Outcome: code.defaultOutcome(), Message: message}
}

// Wrap returns a failure that keeps cause for logs. The cause is never sent to a caller.
func Wrap(cause error, code Code, message string) *Failure {
	f := New(code, message)
	f.cause = oops.Code(string(code)).Wrap(cause)
	return f
}

// WithOutcome returns a copy of f with the given outcome.
func (f *Failure) WithOutcome(outcome Outcome) *Failure {
	c := *f
	c.Outcome = outcome
	return &c
}

// WithRetryAfter returns a copy of f with the given retry-after delay.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	c := *f
	c.RetryAfter = d
	return &c
}

// Error implements error. The text includes the cause.
func (f *Failure) Error() string {
	text := string(f.Code) + ": " + f.Message
	if f.cause != nil {
		text += ": " + f.cause.Error()
	}
	return text
}

// Unwrap returns the wrapped cause, or nil.
func (f *Failure) Unwrap() error { return f.cause }

// Is reports whether target is a failure with the same code.
func (f *Failure) Is(target error) bool {
	var other *Failure
	return errors.As(target, &other) && other.Code == f.Code
}

// From returns the failure in err's chain. It returns nil for a nil err, and for any
// other error a failure with code Internal and outcome Unknown that wraps err.
func From(err error) *Failure {
	if err == nil {
		return nil
	}
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return Wrap(err, Internal, "unexpected error").WithOutcome(Unknown)
}

// CodeOf returns the code of From(err), or the empty code for nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	return From(err).Code
}
