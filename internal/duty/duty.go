// Package duty lets one gateway at a time make certain calls to the platform. The holder of a duty
// has a lease, which lies in the platform's store, and an epoch that grows with each new holder.
package duty

import (
	"context"
	"time"

	"github.com/primrosewell/primrosewell/internal/adapter"
)

// Grant is the right to make the calls of a duty.
type Grant struct {
	// Holder is the ID of the VM that holds the duty.
	Holder string
	// Epoch is greater than that of every earlier holder.
	Epoch int64
}

// Lease tells whether this gateway holds a duty.
type Lease interface {
	// Held returns the grant that is in force at now, or false. A grant that is in force now may end
	// before a call does; Caller checks that.
	Held(now time.Time) (Grant, bool)
}

// Caller makes the calls of a duty.
type Caller interface {
	// Call sends a call with the grant that is in force and returns the platform's refusal as a
	// *RefusedError. It returns ErrNotHeld, and sends nothing, unless the lease lasts for longer than
	// the call can. After any other error the platform may have received the call.
	Call(ctx context.Context, call adapter.DutyCall) error
}
