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

// ReasonOf returns the reason of the *Error in err's chain, Uncertain if there is none, and the
// empty reason if err is nil.
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

// IsSilent reports whether err is that of a call whose connection was open, and on which no whole
// response came in time.
func IsSilent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Silent
}
