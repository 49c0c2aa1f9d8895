// Package claim keeps the claim log: durable records, written by conditional update, that
// let a request marked as not repeatable run at most once.
package claim

import (
	"context"
	"time"
)

// Claim records which attempt holds an idempotency key.
type Claim struct {
	Workspace string `json:"w"`
	Key       string `json:"k"`
	// Digest identifies the request body.
	Digest string `json:"d"`
	// RequestID is the request that holds the key.
	RequestID string `json:"r"`
	// Daemon and Incarnation identify the only process that may dispatch the request.
	Daemon      string `json:"m"`
	Incarnation string `json:"i"`
	// Nonce is unique to one call of Log.Claim within the incarnation, and rises in the order in
	// which the claims of a shard are decided or forwarded. A forwarded claim keeps it.
	Nonce uint64 `json:"n,omitempty"`
	// Deadline is set on a granted claim: the dispatch must begin before it, by the
	// holder's own clock. It is neither stored nor forwarded.
	Deadline time.Time `json:"-"`
}

// Fresh reports whether a granted claim may still be dispatched. Call it right before the
// first byte is sent: a process that was suspended for longer than the retention may resume
// after its key was granted to another. Both the monotonic and the wall clock must be
// before the deadline, since either may stop during a suspension.
func (c Claim) Fresh(now time.Time) bool {
	return now.Before(c.Deadline) && now.Round(0).Before(c.Deadline.Round(0))
}

// sameCall reports whether c and other come from the same call of Log.Claim.
func (c Claim) sameCall(other Claim) bool {
	return c.Incarnation == other.Incarnation && c.RequestID == other.RequestID && c.Nonce == other.Nonce
}

// Outcome says whether a claim was granted.
type Outcome string

const (
	// Granted means that this claim holds the key; the holder may dispatch once.
	Granted Outcome = "granted"
	// Held means that another claim with the same digest holds the key.
	Held Outcome = "held"
	// Mismatched means that another claim with another digest holds the key.
	Mismatched Outcome = "mismatched"
)

// Result is the outcome of one claim, and the claim that holds the key.
type Result struct {
	Outcome Outcome
	Holder  Claim
}

// Claims is the claim log. All methods are safe for concurrent use.
type Claims interface {
	// Claim appends c unless its key is held, and returns the holder. Every error is a
	// *failure.Failure of outcome not_run: the caller must not dispatch.
	Claim(ctx context.Context, c Claim) (Outcome, Claim, error)
	// Release frees the key of a granted claim whose request certainly did not reach an
	// endpoint, so that a resend may run. It is best effort and does not block.
	Release(c Claim)
}
