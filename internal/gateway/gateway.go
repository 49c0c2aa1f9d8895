// Package gateway is the daemon that serves opaque routes: it follows the platform,
// exchanges news with its peers, and forwards requests. It keeps nothing that must last.
package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/adapter"
	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/gossip"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

const (
	// sweepInterval is the time between two looks at idle connections and lapsed entries.
	sweepInterval = 500 * time.Millisecond
	// memoryShare is the part of the VM's memory at which the collector works harder.
	memoryShare = 0.6
	// untoldAfter and untoldSpread are when a gateway that was told nothing since its start
	// lists the platform itself: peers tell within half a second, and not all that are cut
	// off from them list at once.
	untoldAfter, untoldSpread = time.Second, 2 * time.Second
	// budgetMargin is the part of the retry budget that is used.
	budgetMargin = 0.8
)

// Options are what a gateway is made of besides its settings.
type Options struct {
	Version string
	Adapter adapter.Adapter
	Log     *logrus.Logger
}

// Gateway is one daemon.
type Gateway struct {
	settings Settings
	options  Options
	log      *logrus.Logger
	parts    *do.RootScope

	holder    *tableHolder
	directory *directory.Directory
	listing   *listing
	pools     *pools
	members   *gossip.Members
	server    *httpio.Server
	draining  atomic.Bool
	// closing is set once a draining gateway takes no more requests.
	closing atomic.Bool
	drain   chan struct{}
	started time.Time
	// patience is how long after its start this gateway relies on peers that follow the
	// platform, though it was told nothing yet.
	patience time.Duration
	// changed makes this gateway tell its peers at once.
	changed chan struct{}
}

// New wires a gateway; it listens to nothing yet.
func New(settings Settings, options Options) (*Gateway, error) {
	g := &Gateway{
		settings: settings, options: options, log: options.Log, drain: make(chan struct{}), changed: make(chan struct{}, 1),
		started: time.Now(), patience: untoldAfter + rand.N(untoldSpread),
		directory: directory.New(),
		members:   gossip.NewMembers(time.Now(), settings.Peers.Address, settings.Peers.seedAddresses()),
	}
	g.holder = &tableHolder{source: options.Adapter.Source, log: options.Log, installed: g.tellPeers}
	g.pools = newPools(settings.VM.DataCentre, g.directory)
	g.listing = &listing{directory: g.directory, changed: g.pools.Refresh, renumbered: g.tellPeers, log: options.Log, away: true}
	g.parts = do.New()
	provide(g)
	server, err := do.Invoke[*httpio.Server](g.parts)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "wiring")
	}
	g.server = server
	return g, nil
}

// Run serves until the gateway has drained or ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if mb := g.settings.VM.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb) * memoryShare * math.Pow(2, 20)))
	}
	g.log.WithFields(logrus.Fields{
		"event": "start", "version": g.options.Version, "vm": g.settings.VM.ID, "data_centre": g.settings.VM.DataCentre, "callers": g.settings.Callers.Listen,
	}).Info("gateway starts")
	if err := g.startPeers(ctx); err != nil {
		return err
	}
	g.startWatches(ctx)
	if err := g.startPages(); err != nil {
		return err
	}
	listener, err := listen(ctx, g.settings.Callers.Listen)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "callers' listener")
	}
	served := make(chan error, 1)
	go func() { served <- g.server.Serve(listener) }()
	go g.sweep(ctx)
	select {
	case <-g.drain:
		g.finish(ctx, listener)
	case <-ctx.Done():
	case err := <-served:
		return failure.Wrap(err, failure.Internal, "callers' listener")
	}
	g.log.WithFields(logrus.Fields{"event": "stop", "in_flight": g.server.Active()}).Info("gateway stops")
	return nil
}

func (g *Gateway) startWatches(ctx context.Context) {
	w := do.MustInvoke[*watcher](g.parts)
	go w.followTable(ctx, g.holder)
	go w.followEndpoints(ctx, g.listing)
	go watchFreezes(ctx, bootTime, g.log, w.Renew)
}

// follows reports whether this gateway follows the platform itself: it is one of the few
// that do so for all, or nobody has told it anything for some time after its start.
func (g *Gateway) follows() bool {
	now := time.Now()
	if g.members.ShouldWatch(now) {
		return true
	}
	return (g.holder.Table() == nil || g.listing.Number() == 0) && now.Sub(g.started) > g.patience
}

// tellPeers makes the next message to peers go out at once.
func (g *Gateway) tellPeers() {
	select {
	case g.changed <- struct{}{}:
	default: // It goes out already.
	}
}

// sweep drops what has lapsed.
func (g *Gateway) sweep(ctx context.Context) {
	dialer := do.MustInvoke[*httpio.Dialer](g.parts)
	metrics, budget := do.MustInvoke[*telemetry.Metrics](g.parts), do.MustInvoke[*retry.SharedBudget](g.parts)
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		g.report(metrics.Scope, budget, time.Now())
		dialer.CloseExpired()
		g.listing.Expire(time.Now())
	}
}
