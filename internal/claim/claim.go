// Package claim keeps the claim log: the durable, conditional record that lets a
// request marked as not to be repeated run at most once.
package claim

import (
	"context"
	"time"
)

// Claim says which attempt holds an idempotency key.
type Claim struct {
	Workspace string `json:"w"`
	Key       string `json:"k"`
	// Digest identifies the request body.
	Digest string `json:"d"`
	// RequestID is the request that holds the key.
	RequestID string `json:"r"`
	// Daemon and Incarnation name the process that may dispatch it.
	Daemon      string `json:"m"`
	Incarnation string `json:"i"`
	// Nonce is unique to one call of Claim within the incarnation. It travels with a
	// forwarded claim.
	Nonce uint64 `json:"n,omitempty"`
	// Deadline is set on a granted claim: the dispatch must have begun by then, on the
	// holder's own clock. It is neither stored nor forwarded.
	Deadline time.Time `json:"-"`
}

// Fresh reports whether a granted claim may still be dispatched. It must be asked
// right before the first byte is sent: a process that was frozen for longer than the
// retention may wake to find its key given to another. Both the monotonic and the
// wall clock have to be before the deadline, since either may stand still in a pause.
func (c Claim) Fresh(now time.Time) bool {
	return now.Before(c.Deadline) && now.Round(0).Before(c.Deadline.Round(0))
}

// owns reports whether c and other are the same call of Claim.
func (c Claim) owns(other Claim) bool {
	return c.Incarnation == other.Incarnation && c.RequestID == other.RequestID && c.Nonce == other.Nonce
}

// Verdict is the answer to a claim.
type Outcome string

const (
	// Granted means that this claim holds the key; the holder may dispatch once.
	Granted Outcome = "granted"
	// Held means that another claim with the same digest holds the key.
	Held Outcome = "held"
	// Mismatched means that another claim with another digest holds the key.
	Mismatched Outcome = "mismatched"
)

// Answer is the verdict on one claim and the claim that holds the key.
type Result struct {
	Outcome Outcome
	Holder  Claim
}

// Claims is the claim log. All methods may be called concurrently.
type Claims interface {
	// Claim appends c unless its key is held, and returns the holder. An error is a
	// *failure.Failure of outcome not_run: the caller must not dispatch.
	Claim(ctx context.Context, c Claim) (Outcome, Claim, error)
	// Release gives back a granted claim whose request certainly did not reach an
	// endpoint, so that a resend may run. It is best effort and does not block.
	Release(c Claim)
}
