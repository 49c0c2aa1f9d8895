package duty

import (
	"errors"
	"fmt"
)

// ErrNotHeld means that this gateway does not hold the duty for as long as a call takes.
var ErrNotHeld = errors.New("the duty is not held")

// RefusedError is the platform's response to a call that it did not carry out.
type RefusedError struct {
	// Status is the HTTP status: 409 if the platform can't carry out an order at the moment, 429
	// above its rate.
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the platform refused the call with status %d", e.Status)
}
