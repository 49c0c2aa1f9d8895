// Package gateway implements the daemon that serves opaque routes: it watches the
// platform, exchanges deltas with its peers and forwards requests. It has no persistent
// state.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/adapter"
	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/gossip"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/resume"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

const (
	// sweepInterval is the interval between two sweeps of idle connections and missing entries.
	sweepInterval = 500 * time.Millisecond
	// memoryLimitShare is the part of the VM's memory that is set as the soft limit of the
	// garbage collector.
	memoryLimitShare = 0.6
	// peerWaitMin and peerWaitJitter bound how long a gateway that has received no data since
	// its start waits before it lists the platform itself. Peers send within half a second;
	// the jitter keeps gateways that are cut off from their peers from listing all at once.
	peerWaitMin, peerWaitJitter = time.Second, 2 * time.Second
	// usedBudgetShare is the part of the retry budget that may be spent; see
	// retry.SharedConfig.Margin.
	usedBudgetShare = 0.8
)

// Options are the parts of a gateway's configuration that don't come from its settings file.
type Options struct {
	Version string
	Adapter adapter.Adapter
	Log     *logrus.Logger
	// Dial opens direct connections to endpoints. Default: TCP from the VM's address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Gateway is a daemon that forwards requests on opaque routes. Create it with New.
type Gateway struct {
	// settings are those of the start, and inForce those that reloads have led to.
	settings  Settings
	inForce   atomic.Pointer[Settings]
	reloading sync.Mutex
	options   Options
	log       *logrus.Logger
	injector  *do.RootScope

	tableHolder  *tableHolder
	directory    *directory.Directory
	endpointList *endpointList
	pools        *pools
	// refreshing is held while the list of endpoints is observed.
	refreshing sync.Mutex
	streams    *resume.Tracker
	members    *gossip.Members
	fleet      fleet
	limitEnds  *balance.LimitEnds
	drill      drill
	blocks     *blockGate
	account    *memory.Account
	// refusalLines and rejectionLines limit the log lines on refused connections and requests.
	refusalLines, rejectionLines telemetry.LineLimit
	server                       *httpio.Server
	draining                     atomic.Bool
	// shuttingDown is set when a draining gateway stops accepting requests.
	shuttingDown atomic.Bool
	// stopAt is when a draining gateway ends the requests in progress; nil before the drain.
	stopAt         atomic.Pointer[time.Time]
	drainRequested chan struct{}
	started        time.Time
	// peerWait is how long after its start, and after its peers could read the platform, this
	// gateway waits for their data before it lists the platform itself.
	peerWait time.Duration
	// pushRequested triggers an immediate message to the peers.
	pushRequested chan struct{}
}

// New creates a gateway and its components. It opens no listener; Run does.
func New(settings Settings, options Options) (*Gateway, error) {
	g := &Gateway{
		settings: settings, options: options, log: options.Log, drainRequested: make(chan struct{}), pushRequested: make(chan struct{}, 1),
		started: time.Now(), peerWait: peerWaitMin + rand.N(peerWaitJitter),
		directory: directory.New(), streams: resume.NewTracker(),
		members: gossip.NewMembers(time.Now(), settings.Peers.Address, settings.Peers.seedAddresses()),
	}
	g.inForce.Store(&settings)
	g.fleet = fleet{self: settings.Peers.Address, members: g.members}
	g.pools = newPools(settings.VM.DataCentre, g.directory, g.fleet, g.noteTransition)
	g.tableHolder = &tableHolder{source: options.Adapter.Source, log: options.Log, onInstall: g.pushToPeers, beforeInstall: g.useTable}
	g.limitEnds = balance.NewLimitEnds(g.pools.EndLimits)
	g.endpointList = &endpointList{directory: g.directory, onChange: g.refreshPools, onNewVersion: g.pushToPeers, onAssign: g.streams.AssignVersion, onReading: g.noteReading, log: options.Log, platformUnavailable: true}
	g.blocks = newBlockGate(blockedCollections, options.Log)
	g.drill.set(settings.Drill.CutFromEndpoints)
	g.drill.setPeers(settings.Drill.CutFromPeers)
	g.injector = do.New()
	g.account = g.newAccount()
	provide(g)
	server, err := do.Invoke[*httpio.Server](g.injector)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "wiring")
	}
	g.server = server
	return g, nil
}

// Run serves requests until the gateway has drained or ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if mb := g.settings.VM.MemoryMB; mb > 0 {
		setMemoryLimit(mb)
	}
	g.log.WithFields(telemetry.BuildFields()).WithFields(logrus.Fields{
		"event": "start", "version": g.options.Version, "vm": g.settings.VM.ID, "data_centre": g.settings.VM.DataCentre, "callers": g.settings.Callers.Listen,
	}).Info("gateway starting")
	if err := g.startPeers(ctx); err != nil {
		return err
	}
	g.startWatchers(ctx)
	g.startUsage(ctx)
	if err := g.startMonitoring(); err != nil {
		return err
	}
	listener, err := listen(ctx, g.settings.Callers.Listen, memory.Callers)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "callers' listener")
	}
	served := make(chan error, 1)
	go func() { served <- g.server.Serve(listener) }()
	go g.sweep(ctx)
	select {
	case <-g.drainRequested:
		g.awaitDrain(ctx, listener)
		g.flushUsage(ctx)
	case <-ctx.Done():
	case err := <-served:
		return failure.Wrap(err, failure.Internal, "callers' listener")
	}
	g.log.WithFields(logrus.Fields{"event": "stop", "in_flight": g.server.Active()}).Info("gateway stopped")
	return nil
}

func (g *Gateway) startWatchers(ctx context.Context) {
	w := do.MustInvoke[*watcher](g.injector)
	go w.watchTable(ctx, g.tableHolder)
	go w.watchEndpoints(ctx, g.endpointList)
	do.MustInvoke[blockStores](g.injector).Run(ctx)
	go do.MustInvoke[*versionStore](g.injector).Run(ctx)
	go watchSuspensions(ctx, bootTime, g.log, w.Relist)
	g.startDuties(ctx)
	if o := do.MustInvoke[*orderer](g.injector); o != nil {
		go o.Run(ctx)
	}
}

// shouldWatch reports whether this gateway must read the platform itself: it is one of the
// few that do so for the whole fleet, it is its turn to probe a platform that too few can read,
// or it still has no table or no endpoint list after peerWait, in which others could read it. As
// long as others can't, gateways without data read the platform in their turns only: a fleet that
// restarted in an outage would otherwise list it from all gateways at once, in the outage and
// at its end.
func (g *Gateway) shouldWatch() bool {
	now := time.Now()
	if g.members.ShouldWatch(now) {
		return true
	}
	return (g.tableHolder.Table() == nil || g.endpointList.Version().Number == 0) && now.Sub(g.started) > g.peerWait && g.members.EnoughWatchersFor(now) > g.peerWait
}

// announces reports whether this gateway tells its peers that it watches the platform for them.
func (g *Gateway) announces() bool { return g.members.Announces(time.Now()) }

// noteReading records whether a read of the platform's endpoints succeeded.
func (g *Gateway) noteReading(succeeded bool) {
	if g.members.NoteReading(time.Now(), succeeded) {
		g.log.WithFields(logrus.Fields{"event": "watcher_found"}).Info("this gateway can read the platform, which too few others can; it watches it for them")
		g.pushToPeers()
	}
}

// refreshPools updates what depends on the list of endpoints. An entry of a service that no route
// table names has no effect.
func (g *Gateway) refreshPools() {
	g.refreshing.Lock() // What is observed last must not be the earlier list.
	defer g.refreshing.Unlock()
	named := func(e routetable.Endpoint, _ int) bool { return g.pools.Names(e.Service) }
	g.streams.Observe(time.Now(), lo.Filter(g.directory.Endpoints(), named))
	g.pools.Refresh()
}

// useTable updates what depends on the routes and services of a table.
func (g *Gateway) useTable(table *routetable.Table) {
	g.pools.Name(table.Services())
	g.refreshPools() // A list whose change has no version yet gets one from its own reader.
	g.streams.ObserveRoutes(time.Now(), table.ResumableServices())
}

// pushToPeers triggers an immediate message to the peers.
func (g *Gateway) pushToPeers() {
	select {
	case g.pushRequested <- struct{}{}:
	default: // A push is already pending.
	}
}

// untilSweep returns the time until the next sweep: the end of the grace period of missing entries, as
// an endpoint that has left must not be used longer, or sweepInterval.
func (g *Gateway) untilSweep(now time.Time) time.Duration {
	if in, due := g.directory.ExpiresIn(now); due {
		return min(in, sweepInterval)
	}
	return sweepInterval
}

// sweep periodically closes idle connections, removes entries that did not return after an
// outage and updates the gauges.
func (g *Gateway) sweep(ctx context.Context) {
	dialer := do.MustInvoke[*httpio.Dialer](g.injector)
	metrics, budget := do.MustInvoke[*telemetry.Metrics](g.injector), do.MustInvoke[*retry.SharedBudget](g.injector)
	l := do.MustInvoke[ledgers](g.injector)
	for ctx.Err() == nil {
		sleep(ctx, g.untilSweep(time.Now()))
		g.updateGauges(metrics.Scope, budget, l, time.Now())
		dialer.CloseExpired()
		g.endpointList.Expire(time.Now())
		g.streams.Expire(time.Now())
		l.parts.Expire(time.Now())
		l.contents.Expire(time.Now())
	}
}
