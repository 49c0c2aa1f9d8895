package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/admin"
	"github.com/primrosewell/primrosewell/internal/broker"
	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/decisionlog"
	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/distribution"
	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/estimate"
	"github.com/primrosewell/primrosewell/internal/ingress"
	"github.com/primrosewell/primrosewell/internal/keptanswer"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/peer"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// tickInterval is the time between checks of the queues for time-driven changes: expiry
// and the end of conservative mode. Grants after a release don't wait for a tick.
const tickInterval = 40 * time.Millisecond

// provideAll registers the constructor of every component. The injector resolves
// dependencies, so the order here is for the reader only.
func (d *Daemon) provideAll(ctx context.Context) {
	i := d.injector
	do.ProvideValue(i, telemetry.NewMetrics())
	do.ProvideValue(i, quarantine.New(quarantine.Config{}))
	do.ProvideValue(i, retry.NewBudget(retry.Config{MaxAttempts: d.settings.Limits.MaxAttempts}))
	do.ProvideValue(i, estimate.New(estimate.Config{}))
	do.ProvideValue(i, endpoint.NewClient(endpoint.Options{Dial: d.dialEndpoint, Reports: d.account.NewQuota("reports", memory.ReportsShare)}))
	do.Provide(i, d.providePlatformStore)
	do.Provide(i, d.providePeerClient)
	do.Provide(i, func(i do.Injector) (*membership.Membership, error) { return d.provideMembership(ctx, i) })
	do.Provide(i, func(i do.Injector) (*distribution.Distributor, error) { return d.provideDistributor(ctx, i) })
	do.Provide(i, func(i do.Injector) (*poolFactory, error) {
		return newPoolFactory(do.MustInvoke[*estimate.Estimator](i), do.MustInvoke[*quarantine.Register](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*broker.Broker, error) { return d.provideBroker(ctx, i) })
	do.Provide(i, func(i do.Injector) (*claim.Log, error) { return d.provideClaimLog(ctx, i) })
	do.Provide(i, d.provideResponseStore)
	do.Provide(i, d.provideDispatcher)
	do.Provide(i, d.provideServers)
}

func (d *Daemon) scope(i do.Injector) tally.Scope {
	return do.MustInvoke[*telemetry.Metrics](i).Scope
}

func (d *Daemon) providePlatformStore(do.Injector) (platform.Store, error) {
	s := d.settings.Platform
	return platform.NewClient(platform.ClientOptions{
		BaseURL: s.URL, Token: s.Token, Timeout: s.Timeout, Dial: d.dialPlatform, Responses: d.account.NewQuota("platform", memory.PlatformShare),
	}), nil
}

func (d *Daemon) providePeerClient(do.Injector) (*peer.Client, error) {
	options := peer.ClientOptions{Key: d.settings.Peers.SharedKey, Responses: d.account.NewQuota("peers", memory.PeersShare)}
	if d.settings.Peers.TLS.Enabled() {
		config, err := tlsConfig("peers", d.settings.Peers.TLS)
		if err != nil {
			return nil, err
		}
		options.TLS = config
	}
	return peer.NewClient(options), nil
}

func (d *Daemon) provideMembership(ctx context.Context, i do.Injector) (*membership.Membership, error) {
	store, err := do.Invoke[platform.Store](i)
	if err != nil {
		return nil, err
	}
	client, err := do.Invoke[*peer.Client](i)
	if err != nil {
		return nil, err
	}
	return membership.New(ctx, membership.Options{
		Self: membership.Member{
			ID:           d.settings.VM.ID,
			Incarnation:  membership.NewIncarnation(time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
			PeerAddress:  lo.CoalesceOrEmpty(d.settings.Peers.Advertise, d.PeerAddress()),
			AdminAddress: d.AdminAddress(),
			DataCentre:   d.settings.VM.DataCentre,
		},
		Seeds:        d.settings.Peers.Seeds,
		Store:        store,
		Transport:    client,
		Interval:     d.settings.Peers.HeartbeatInterval,
		SuspectAfter: d.settings.Peers.SuspectAfter,
		OnSuspension: func(gap time.Duration) {
			d.logEvent("lapse").WithField("gap", gap).Warn("daemon resumed after a suspension")
		},
		OnSuperseded: func() {
			d.logEvent("superseded").Error("a newer daemon runs under this VM's ID; draining")
			d.Drain()
		},
		Logger: d.options.Log,
		Scope:  d.scope(i),
	}), nil
}

func (d *Daemon) provideDistributor(ctx context.Context, i do.Injector) (*distribution.Distributor, error) {
	store, err := do.Invoke[platform.Store](i)
	if err != nil {
		return nil, err
	}
	members := do.MustInvoke[*membership.Membership](i)
	return distribution.New(ctx, distribution.Options{
		Store:       store,
		Peers:       do.MustInvoke[*peer.Client](i),
		View:        members,
		RefreshView: members.Refresh,
		Logger:      d.options.Log,
		Scope:       d.scope(i),
	}), nil
}

func (d *Daemon) provideBroker(ctx context.Context, i do.Injector) (*broker.Broker, error) {
	store, err := do.Invoke[platform.Store](i)
	if err != nil {
		return nil, err
	}
	distributor := do.MustInvoke[*distribution.Distributor](i)
	factory := do.MustInvoke[*poolFactory](i)
	b := broker.New(ctx, broker.Options{
		View:         do.MustInvoke[*membership.Membership](i),
		Factory:      factory.newPool,
		Peers:        do.MustInvoke[*peer.Client](i),
		Config:       distributor,
		LoadReader:   newReportReader(do.MustInvoke[*endpoint.Client](i), distributor.Current, factory),
		Store:        store,
		Recorder:     decisionlog.New(d.options.Log, d.scope(i), d.settings.Log.Decisions),
		TickInterval: tickInterval,
		LoadInterval: d.settings.Limits.LoadInterval,
		VMInterval:   d.settings.Platform.VMListInterval,
		Logger:       d.options.Log,
		Scope:        d.scope(i),
	})
	return b, nil
}

func (d *Daemon) provideClaimLog(ctx context.Context, i do.Injector) (*claim.Log, error) {
	store, err := do.Invoke[platform.Store](i)
	if err != nil {
		return nil, err
	}
	view := do.MustInvoke[*membership.Membership](i)
	self := view.Self()
	return claim.New(ctx, claim.Options{
		Store:       store,
		Daemon:      self.ID,
		Incarnation: self.Incarnation,
		Shards:      d.settings.Claims.Shards,
		Retention:   d.settings.Claims.Retention,
		Forwarder:   &claimForwarder{view: view, client: do.MustInvoke[*peer.Client](i)},
		Scope:       d.scope(i),
		Logger:      d.options.Log,
	})
}

func (d *Daemon) provideResponseStore(i do.Injector) (*keptanswer.Store, error) {
	return keptanswer.New(keptanswer.Options{
		View:     do.MustInvoke[*membership.Membership](i),
		Peers:    do.MustInvoke[*peer.Client](i),
		MaxBytes: d.settings.Limits.StoredResponseBytes,
	})
}

func (d *Daemon) provideDispatcher(i do.Injector) (*dispatch.Dispatcher, error) {
	claims, err := do.Invoke[*claim.Log](i)
	if err != nil {
		return nil, err
	}
	self := do.MustInvoke[*membership.Membership](i).Self()
	return dispatch.New(dispatch.Options{
		Daemon:         self.ID,
		Incarnation:    self.Incarnation,
		Broker:         do.MustInvoke[*broker.Broker](i),
		Claims:         claims,
		EndpointClient: do.MustInvoke[*endpoint.Client](i),
		RetryPolicy:    do.MustInvoke[*retry.Budget](i),
		Quarantine:     do.MustInvoke[*quarantine.Register](i),
		ResponseStore:  do.MustInvoke[*keptanswer.Store](i),
		SilenceTimeout: d.settings.Limits.SilenceTimeout,
		Logger:         d.options.Log,
		Scope:          d.scope(i),
	}), nil
}

func (d *Daemon) provideServers(i do.Injector) (*servers, error) {
	dispatcher, err := do.Invoke[*dispatch.Dispatcher](i)
	if err != nil {
		return nil, err
	}
	distributor := do.MustInvoke[*distribution.Distributor](i)
	poolBroker := do.MustInvoke[*broker.Broker](i)
	do.MustInvoke[*membership.Membership](i).Attach(membership.Attachments{
		Exchange: membership.Exchanges{
			poolBroker,
			membership.NewQuarantineExchange(do.MustInvoke[*quarantine.Register](i), clockwork.NewRealClock()),
		},
		Revision:     distributor.Revision,
		ConfigDigest: distributor.ConfigDigest,
		AlwaysCall:   poolBroker.Brokers,
	})
	metrics := do.MustInvoke[*telemetry.Metrics](i)
	peers, err := d.peerServer(i)
	if err != nil {
		return nil, err
	}
	return &servers{
		peers: peers,
		callers: ingress.New(ingress.Options{
			Settings: d.settings.Callers,
			Catalog:  distributor.Current,
			Runner:   dispatcher,
			Ready:    d.Ready,
			Log:      d.options.Log,
			Scope:    metrics.Scope,
		}),
		admin: admin.New(admin.Options{
			Settings: d.settings.Admin,
			Objects:  distributor,
			Status:   d.status,
			Drain:    d.Drain,
			Ready:    d.Ready,
			Metrics:  metrics.Handler,
			Log:      d.options.Log,
		}),
	}, nil
}

func (d *Daemon) peerServer(i do.Injector) (*peer.Server, error) {
	options := peer.ServerOptions{
		Key:    d.settings.Peers.SharedKey,
		Logger: d.options.Log.WithFields(logrus.Fields{"listener": "peers"}),
		Handlers: peer.Handlers{
			Members:         do.MustInvoke[*membership.Membership](i),
			Config:          do.MustInvoke[*distribution.Distributor](i),
			Pools:           do.MustInvoke[*broker.Broker](i),
			StoredResponses: do.MustInvoke[*keptanswer.Store](i).EncodedRecord,
			Claims:          claimHandler(do.MustInvoke[*claim.Log](i)),
			Status:          d.peerStatus,
		},
	}
	if d.settings.Peers.TLS.Enabled() {
		config, err := tlsConfig("peers", d.settings.Peers.TLS)
		if err != nil {
			return nil, err
		}
		options.TLS = config
	}
	return peer.NewServer(options), nil
}

var _ routing.Broker = (*broker.Broker)(nil)
