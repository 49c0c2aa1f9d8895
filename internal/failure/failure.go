// Package failure defines the one error type that callers, operators and peers
// are answered with: a code, whether the request ran, and when to come back.
package failure

import (
	"errors"
	"time"

	"github.com/samber/oops"
)

// Outcome states whether a request ran.
type Outcome string

const (
	// Completed means that the whole answer was produced.
	Completed Outcome = "completed"
	// NotRun means that no byte of the request reached an endpoint, or that the
	// endpoint itself refused it before starting.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run, in part or as a whole.
	Unknown Outcome = "unknown"
)

// Failure is a typed, final answer. It is immutable once returned.
type Failure struct {
	// Code names the kind of failure; see codes.go.
	Code Code
	// Outcome says whether the request ran.
	Outcome Outcome
	// Message is a sentence for the reader, naming what was found and what is allowed.
	Message string
	// RetryAfter is when to come back; zero means that no time is given.
	RetryAfter time.Duration
	// cause carries the wrapped error with its attributes.
	cause error
}

// New returns a failure with the default outcome of its code.
func New(code Code, message string) *Failure {
	return &Failure{Code: code, Outcome: code.defaultOutcome(), Message: message}
}

// Wrap returns a failure that keeps cause for logs; cause never reaches a caller.
func Wrap(cause error, code Code, message string) *Failure {
	f := New(code, message)
	f.cause = oops.Code(string(code)).Wrap(cause)
	return f
}

// WithOutcome returns a copy of f with another outcome.
func (f *Failure) WithOutcome(outcome Outcome) *Failure {
	c := *f
	c.Outcome = outcome
	return &c
}

// WithRetryAfter returns a copy of f that tells the caller when to come back.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	c := *f
	c.RetryAfter = d
	return &c
}

// Error implements error.
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

// From returns the failure inside err, or an internal failure of unknown outcome.
// It returns nil for a nil err.
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

// CodeOf returns the code of the failure inside err, or the empty code.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	return From(err).Code
}
