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

// claimForwarder sends claims to the daemon that usually writes their shard, chosen
// by rendezvous hash, so that one daemon does the batching for all.
type claimForwarder struct {
	view   membership.View
	client *peer.Client
}

// Local implements claim.Forwarder.
func (f *claimForwarder) Local(shard int) bool {
	writer, ok := f.writer(shard)
	return !ok || writer.ID == f.view.Self().ID
}

// Forward implements claim.Forwarder.
func (f *claimForwarder) Forward(ctx context.Context, shard int, claims []claim.Claim) ([]claim.Result, error) {
	writer, ok := f.writer(shard)
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

func (f *claimForwarder) writer(shard int) (membership.Member, bool) {
	return lo.First(membership.Rank("claims/"+strconv.Itoa(shard), f.view.Members()))
}

// serveClaims answers peers that forward claims.
func serveClaims(log *claim.Log) peer.Claims {
	return func(ctx context.Context, claims []claim.Claim) []peer.ClaimResult {
		answers, err := log.Serve(ctx, claims)
		return lo.Map(claims, func(_ claim.Claim, i int) peer.ClaimResult {
			if err != nil {
				return peer.ClaimResult{Err: failure.From(err)}
			}
			return peer.ClaimResult{Outcome: answers[i].Outcome, Holder: answers[i].Holder}
		})
	}
}
