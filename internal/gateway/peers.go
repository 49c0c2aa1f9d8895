package gateway

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/gossip"
	"github.com/primrosewell/primrosewell/internal/quarantine"
)

// elsewhereEvery is the least time between two sums of the other daemons' work. In a
// large fleet a message comes each few milliseconds, and a sum costs as much as 60 of them.
const elsewhereEvery = 10 * time.Millisecond

// countEvery is the least time between two counts of the daemons that share budgets, short
// beside the seconds for which a budget is kept.
const countEvery = 100 * time.Millisecond

func (g *Gateway) startPeers(ctx context.Context) error {
	address, err := netip.ParseAddr(g.settings.Peers.Address)
	if err != nil {
		return failure.Wrap(err, failure.InvalidObject, "peers.address")
	}
	fetched := do.MustInvoke[*peerNews](g.parts)
	budget := do.MustInvoke[budgetSharer](g.parts)
	news := &teller{holder: g.holder, listing: g.listing, log: g.log}
	summed, counted := &pace{every: elsewhereEvery}, &pace{every: countEvery}
	exchange, err := gossip.Listen(gossip.Options{
		Node: g.settings.VM.ID, DataCentre: g.settings.VM.DataCentre, Address: address, Port: g.settings.Peers.GossipPort, Members: g.members,
		TableVersion: g.holder.Version, ListVersion: g.listing.Number, Loads: g.pools.Own, Log: g.log,
		Watching: g.follows, PlatformUnreachable: g.listing.Blind, Leaving: g.draining.Load,
		Register: do.MustInvoke[*quarantine.Register](g.parts),
		Delta:    func() []byte { return news.Recent(time.Now()) }, OnDelta: fetched.Told, Changed: g.changed,
		OnUpdate: func(now time.Time, newer bool) {
			if summed.Due(now) {
				live, _ := g.members.Live(now)
				g.pools.SetElsewhere(g.members.RemoteLoads(now), live+1)
			}
			if counted.Due(now) {
				budget.SetDaemons(g.members.BudgetSharers(now))
			}
			if newer {
				fetched.Check(ctx)
			}
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
	g.serveHTTP(gossip.NewFetchServer(news.Tell), listener, "peers")
	return nil
}

// budgetSharer is told how many daemons share the retry budget.
type budgetSharer interface{ SetDaemons(n int) }

// pace lets something happen at most once in a span of time. It is safe for concurrent use.
type pace struct {
	every time.Duration
	last  atomic.Int64
}

// Due reports whether the span has passed since it last reported so.
func (p *pace) Due(now time.Time) bool {
	last := p.last.Load()
	return now.UnixNano()-last >= int64(p.every) && p.last.CompareAndSwap(last, now.UnixNano())
}
