package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/samber/do/v2"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/gossip"
	"github.com/primrosewell/primrosewell/internal/quarantine"
)

func (g *Gateway) startPeers(ctx context.Context) error {
	address, err := netip.ParseAddr(g.settings.Peers.Address)
	if err != nil {
		return failure.Wrap(err, failure.InvalidObject, "peers.address")
	}
	news := do.MustInvoke[*peerNews](g.parts)
	budget := do.MustInvoke[budgetSharer](g.parts)
	exchange, err := gossip.Listen(gossip.Options{
		Node: g.settings.VM.ID, Address: address, Port: g.settings.Peers.GossipPort, Members: g.members,
		Table: g.holder.Version, Listing: g.listing.Number, Loads: g.pools.Own, Log: g.log,
		Following: g.follows, Blind: g.listing.Away, Leaving: g.draining.Load,
		Register: do.MustInvoke[*quarantine.Register](g.parts),
		OnHeard: func(now time.Time) {
			g.pools.SetElsewhere(g.members.Elsewhere(now))
			budget.SetDaemons(g.members.Counted(now))
			news.Check(ctx)
		},
	})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "peers' datagram socket")
	}
	go exchange.Run(ctx)
	listener, err := listen(ctx, joinPort(g.settings.Peers.Address, g.settings.Peers.FetchPort))
	if err != nil {
		return failure.Wrap(err, failure.Internal, "peers' listener")
	}
	g.serveHTTP(gossip.NewFetchServer(g.encodeSnapshot), listener, "peers")
	return nil
}

// budgetSharer is told how many daemons share the retry budget.
type budgetSharer interface{ SetDaemons(n int) }
