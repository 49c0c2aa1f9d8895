package daemon

import (
	"context"
	"strconv"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/peer"
)

// claimForwarder forwards claims to the preferred writer of their shard, which is
// chosen by rendezvous hashing, so that one daemon batches the appends of all daemons.
type claimForwarder struct {
	view   membership.View
	client *peer.Client
}

// Local implements claim.Forwarder.
func (f *claimForwarder) Local(shard int) bool {
	writer, ok := f.preferredWriter(shard)
	return !ok || writer.ID == f.view.Self().ID
}

// Forward implements claim.Forwarder.
func (f *claimForwarder) Forward(ctx context.Context, shard int, claims []claim.Claim) ([]claim.Result, error) {
	writer, ok := f.preferredWriter(shard)
	if !ok {
		return nil, failure.New(failure.PeerUnreachable, "no usual writer of the claim log shard is known")
	}
	results, err := f.client.ForwardClaims(ctx, writer.PeerAddress, claims)
	if err != nil {
		return nil, err
	}
	for _, r := range results {
		if r.Err != nil {
			return nil, r.Err
		}
	}
	return lo.Map(results, func(r peer.ClaimResult, _ int) claim.Result {
		return claim.Result{Outcome: r.Outcome, Holder: r.Holder}
	}), nil
}

// preferredWriter returns the preferred writer of a shard, and false if no member is known.
func (f *claimForwarder) preferredWriter(shard int) (membership.Member, bool) {
	return lo.First(membership.Rank("claims/"+strconv.Itoa(shard), f.view.Members()))
}

// claimHandler returns the handler of the claims that peers forward to this daemon.
func claimHandler(claimLog *claim.Log) peer.Claims {
	return func(ctx context.Context, claims []claim.Claim) []peer.ClaimResult {
		results, err := claimLog.Serve(ctx, claims)
		return lo.Map(claims, func(_ claim.Claim, i int) peer.ClaimResult {
			if err != nil {
				return peer.ClaimResult{Err: failure.From(err)}
			}
			return peer.ClaimResult{Outcome: results[i].Outcome, Holder: results[i].Holder}
		})
	}
}
