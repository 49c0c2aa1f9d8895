package gateway

import (
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/forward"
	"github.com/primrosewell/primrosewell/internal/gossip"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// provide registers the constructors of a gateway's components with its injector.
func provide(g *Gateway) {
	do.ProvideValue(g.injector, telemetry.NewMetrics())
	do.ProvideValue(g.injector, g.newPaths())
	do.Provide(g.injector, g.newConnector)
	do.Provide(g.injector, g.newDialer)
	do.Provide(g.injector, g.newTunnelServer)
	do.ProvideValue(g.injector, g.newLedgers())
	do.Provide(g.injector, g.newBudget)
	do.Provide(g.injector, g.newPlatformClient)
	do.Provide(g.injector, g.newWatcher)
	do.Provide(g.injector, g.newBlockStores)
	do.Provide(g.injector, g.newVersionStore)
	do.Provide(g.injector, g.newVersionReader)
	do.Provide(g.injector, g.newPeerSync)
	do.Provide(g.injector, g.newDutyKinds)
	do.Provide(g.injector, g.newDutyAgent)
	do.Provide(g.injector, g.newDutyLease)
	do.Provide(g.injector, g.newDutyCaller)
	do.Provide(g.injector, g.newUsageReports)
	do.Provide(g.injector, g.newForwarder)
	do.Provide(g.injector, g.newServer)
	do.Provide(g.injector, g.newOrderer)
	do.Provide(g.injector, func(i do.Injector) (budgetSharer, error) { return do.Invoke[*retry.SharedBudget](i) })
}

func (g *Gateway) newBudget(do.Injector) (*retry.SharedBudget, error) {
	r := g.settings.Retries
	return retry.NewSharedBudget(retry.SharedBudgetConfig{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window, Margin: usedBudgetShare}, len(g.settings.Peers.Seeds)+1), nil
}

func (g *Gateway) newPlatformClient(i do.Injector) (*platform.Client, error) {
	metrics, err := do.Invoke[*telemetry.Metrics](i)
	if err != nil {
		return nil, err
	}
	calls := metrics.Scope.SubScope("platform")
	return platform.NewClient(platform.ClientOptions{
		BaseURL: g.settings.Platform.URL, Token: g.settings.Platform.Token, Timeout: g.settings.Platform.Timeout, PollWait: g.settings.Platform.PollWait,
		Dial: g.accountedDial(httpio.DialTCP(nil, memory.LimitOutbound)), Responses: g.account.NewQuota("platform", memory.PlatformShare),
		Dialect: g.options.Adapter.Dialect, Observe: observeCalls(calls),
		OnEra: func(previous, era int64) {
			g.log.WithFields(logrus.Fields{"event": "platform_era", "era": era, "previous": previous}).Warn("the platform has come back from an older copy of its data; its collections are listed again")
			calls.Counter("era_changes").Inc(1)
			do.MustInvoke[*watcher](g.injector).RelistBefore(era)
		},
	}), nil
}

func (g *Gateway) newWatcher(i do.Injector) (*watcher, error) {
	client, err := do.Invoke[*platform.Client](i)
	if err != nil {
		return nil, err
	}
	return &watcher{store: client, source: g.options.Adapter.Source, log: g.log, shouldWatch: g.shouldWatch, onTakeover: g.pushToPeers, started: g.started}, nil
}

func (g *Gateway) newBlockStores(i do.Injector) (blockStores, error) {
	w, err := do.Invoke[*watcher](i)
	if err != nil {
		return nil, err
	}
	l := do.MustInvoke[ledgers](i)
	return blockStores{
		{collection: partCollection, ledger: l.parts, store: w.store, storesPart: g.isChosen, onLoad: g.blocks.markRead, log: g.log, stored: map[storedTurn]bool{}},
		{collection: contentCollection, ledger: l.contents, store: w.store, storesPart: g.isChosen, onLoad: g.blocks.markRead, log: g.log, stored: map[storedTurn]bool{}},
	}, nil
}

func (g *Gateway) newVersionStore(i do.Injector) (*versionStore, error) {
	w, err := do.Invoke[*watcher](i)
	if err != nil {
		return nil, err
	}
	return &versionStore{store: w.store, streams: g.streams, chosen: g.isChosen, log: g.log, stored: map[string]foundVersions{}}, nil
}

func (g *Gateway) newVersionReader(i do.Injector) (*versionReader, error) {
	w, err := do.Invoke[*watcher](i)
	if err != nil {
		return nil, err
	}
	return &versionReader{store: w.store, source: w.source, fleetSize: g.fleet.Size, log: g.log}, nil
}

func (g *Gateway) newPeerSync(i do.Injector) (*peerSync, error) {
	w, err := do.Invoke[*watcher](i)
	if err != nil {
		return nil, err
	}
	metrics, err := do.Invoke[*telemetry.Metrics](i)
	if err != nil {
		return nil, err
	}
	fetches, fetched := metrics.Scope.SubScope("gateway").Counter("fetches"), metrics.Scope.SubScope("gateway").Counter("fetched_bytes")
	onFetched := func(bytes int) {
		fetches.Inc(1)
		fetched.Inc(int64(bytes))
	}
	return &peerSync{onPeerEra: w.RelistBefore, onFetched: onFetched, tableHolder: g.tableHolder, endpointList: g.endpointList, members: g.members, fetcher: gossip.NewFetcher(g.peerDial()), port: g.settings.Peers.FetchPort, log: g.log}, nil
}

func (g *Gateway) newForwarder(i do.Injector) (*forward.Forwarder, error) {
	metrics, err := do.Invoke[*telemetry.Metrics](i)
	if err != nil {
		return nil, err
	}
	counts, err := do.Invoke[*usageReports](i)
	if err != nil {
		return nil, err
	}
	var began func(at time.Time, workspace string)
	if counts != nil {
		began = counts.Began
	}
	return forward.New(forward.Options{
		Headers: g.options.Adapter.Headers,

		MakeRequestIDs:   g.options.Adapter.MakeRequestIDs,
		Table:            g.tableHolder.Table,
		Pools:            g.pools.Pool,
		EndpointsVersion: g.endpointList.PlatformVersion,
		EndpointsAge:     g.endpointList.Age,
		ShuttingDown:     g.shuttingDown.Load,
		PlannedStop:      g.plannedStop,
		Dialer:           do.MustInvoke[*httpio.Dialer](i),
		Budget:           do.MustInvoke[*retry.SharedBudget](i),

		Streams:     g.streams,
		BlocksKnown: g.blocks.Known,
		Began:       began,

		Contents: do.MustInvoke[ledgers](i).contents,
		Parts:    do.MustInvoke[ledgers](i).parts,
		Log:      g.log,
		Scope:    metrics.Scope,
	}), nil
}

func (g *Gateway) newServer(i do.Injector) (*httpio.Server, error) {
	forwarder, err := do.Invoke[*forward.Forwarder](i)
	if err != nil {
		return nil, err
	}
	return httpio.NewServer(httpio.Options{
		Account:  g.account,
		Handler:  forwarder.Handle,
		Limits:   func() httpio.Limits { return g.limits() },
		OnReject: g.rejectRequest,
	}), nil
}

// limits returns the limits of the table in force, or the defaults before the first table.
func (g *Gateway) limits() httpio.Limits {
	limits := routetable.Limits{}.WithDefaults()
	if t := g.tableHolder.Table(); t != nil {
		limits = t.Limits()
	}
	return httpio.Limits{
		HeaderBytes: limits.HeaderBytes, BodyBytes: limits.BodyBytes,
		HeaderTimeout: limits.HeaderTimeout, BodyTimeout: limits.BodyTimeout, IdleTimeout: limits.IdleTimeout,
	}
}
