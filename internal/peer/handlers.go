package peer

import (
	"context"

	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/distribution"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// ClaimResult is the answer to one forwarded claim.
type ClaimResult struct {
	Outcome claim.Outcome
	Holder  claim.Claim
	// Err is a *failure.Failure, or nil.
	Err error
}

// Members answers heartbeats; *membership.Membership implements it.
type Members interface {
	Receive(ctx context.Context, message membership.Heartbeat) (membership.Heartbeat, error)
}

// ConfigSource answers for configuration; *distribution.Distributor implements it.
type ConfigSource interface {
	FetchConfig(ctx context.Context, since int64) (distribution.Delta, error)
}

// Pools answers for the pools brokered here; *broker.Broker implements it.
type Pools interface {
	AcquireFor(ctx context.Context, ask routing.PermitRequest) (routing.Grant, error)
	ReleaseFor(ctx context.Context, reports []routing.Report) error
	ProgressFor(ctx context.Context, daemon, pool string, running []routing.Progress) error
}

// Answers returns the encoded kept answer of a keyed request.
type StoredResponses func(ctx context.Context, workspace, key string) (answer []byte, found bool, err error)

// Claims appends forwarded claims; one result for each, in order.
type Claims func(ctx context.Context, claims []claim.Claim) []ClaimResult

// Status returns the JSON status of this daemon.
type Status func(ctx context.Context) ([]byte, error)

// Handlers are the parts of a daemon that answer calls. A call on a nil part is
// refused with NotFound.
type Handlers struct {
	Members         Members
	Config          ConfigSource
	Pools           Pools
	StoredResponses StoredResponses
	Claims          Claims
	Status          Status
}
