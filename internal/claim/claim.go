// Package claim keeps the claim log: the durable, conditional record that lets a
// request marked as not to be repeated run at most once.
package claim

import "context"

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
}

// Verdict is the answer to a claim.
type Verdict string

const (
	// Granted means that this claim holds the key; the holder may dispatch once.
	Granted Verdict = "granted"
	// Held means that another claim with the same digest holds the key.
	Held Verdict = "held"
	// Mismatched means that another claim with another digest holds the key.
	Mismatched Verdict = "mismatched"
)

// Claims is the claim log. All methods may be called concurrently.
type Claims interface {
	// Claim appends c unless its key is held, and returns the holder. An error is a
	// *failure.Failure of outcome not_run: the caller must not dispatch.
	Claim(ctx context.Context, c Claim) (Verdict, Claim, error)
	// Release gives back a granted claim whose request certainly did not reach an
	// endpoint, so that a resend may run. It is best effort and does not block.
	Release(c Claim)
}
