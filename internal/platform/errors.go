package platform

import "errors"

// Error implements error.
func (e *Error) Error() string {
	text := "platform " + e.Op + " " + e.Key + ": " + string(e.Reason)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// ReasonOf returns the reason inside err; an error of another type is Uncertain,
// and nil has the empty reason.
func ReasonOf(err error) Reason {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return Uncertain
}
