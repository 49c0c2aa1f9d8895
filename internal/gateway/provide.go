package gateway

import (
	"net"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/forward"
	"github.com/primrosewell/primrosewell/internal/gossip"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// quarantineConfig holds content back after its third crash, and only for a while: an
// endpoint's other requests break with it, and content that repeats may be one of them.
// Content that completed in the last half minute is tried again each second: a crashed
// endpoint is back, or left out, within a few. Three crashes more are the end of that.
var quarantineConfig = quarantine.Config{
	SuspectFor: 60 * time.Second, BlockFor: 60 * time.Second, BlockThreshold: 3,
	CompletionTTL: 30 * time.Second, ProbeInterval: time.Second, MaxFailedProbes: 3,
}

// provide registers how the parts of a gateway are made.
func provide(g *Gateway) {
	do.ProvideValue(g.parts, telemetry.NewMetrics())
	do.ProvideValue(g.parts, httpio.NewDialer())
	do.ProvideValue(g.parts, quarantine.New(quarantineConfig))
	do.Provide(g.parts, g.newBudget)
	do.Provide(g.parts, g.newWatcher)
	do.Provide(g.parts, g.newPeerNews)
	do.Provide(g.parts, g.newForwarder)
	do.Provide(g.parts, g.newServer)
	do.Provide(g.parts, func(i do.Injector) (budgetSharer, error) { return do.Invoke[*retry.SharedBudget](i) })
}

func (g *Gateway) newBudget(do.Injector) (*retry.SharedBudget, error) {
	r := g.settings.Retries
	return retry.NewSharedBudget(retry.SharedBudgetConfig{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window, Margin: budgetMargin}, len(g.settings.Peers.Seeds)+1), nil
}

func (g *Gateway) newWatcher(i do.Injector) (*watcher, error) {
	metrics, err := do.Invoke[*telemetry.Metrics](i)
	if err != nil {
		return nil, err
	}
	calls := metrics.Scope.SubScope("platform")
	client := platform.NewClient(platform.ClientOptions{
		BaseURL: g.settings.Platform.URL, Token: g.settings.Platform.Token, Timeout: g.settings.Platform.Timeout, PollWait: g.settings.Platform.PollWait,
		Dialect: g.options.Adapter.Dialect, Observe: observeCalls(calls),
	})
	return &watcher{store: client, source: g.options.Adapter.Source, log: g.log, onDuty: g.follows, tookOver: g.tellPeers, started: g.started}, nil
}

func (g *Gateway) newPeerNews(do.Injector) (*peerNews, error) {
	return &peerNews{holder: g.holder, listing: g.listing, members: g.members, fetcher: gossip.NewFetcher(), port: g.settings.Peers.FetchPort, log: g.log}, nil
}

func (g *Gateway) newForwarder(i do.Injector) (*forward.Forwarder, error) {
	metrics, err := do.Invoke[*telemetry.Metrics](i)
	if err != nil {
		return nil, err
	}
	return forward.New(forward.Options{
		Headers: g.options.Adapter.Headers,

		MakeRequestIDs:   g.options.Adapter.MakeRequestIDs,
		Table:            g.holder.Table,
		Pools:            g.pools.Pool,
		EndpointsVersion: g.listing.Version,
		ShuttingDown:     g.closing.Load,
		Dialer:           do.MustInvoke[*httpio.Dialer](i),
		Budget:           do.MustInvoke[*retry.SharedBudget](i),

		Register: do.MustInvoke[*quarantine.Register](i),
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
		Handler: forwarder.Handle,
		Limits:  func() httpio.Limits { return g.limits() },
		OnReject: func(remote net.Addr, status int, reason httpio.RejectReason) {
			g.log.WithFields(logrus.Fields{"event": "rejected", "remote": remote, "status": status, "reason": reason}).Info("a request could not be read")
		},
	}), nil
}

// limits are those of the table in force, or the defaults before the first.
func (g *Gateway) limits() httpio.Limits {
	limits := routetable.Limits{}.WithDefaults()
	if t := g.holder.Table(); t != nil {
		limits = t.Limits()
	}
	return httpio.Limits{
		HeaderBytes: limits.HeaderBytes, BodyBytes: limits.BodyBytes,
		HeaderTimeout: limits.HeaderTimeout, BodyTimeout: limits.BodyTimeout, IdleTimeout: limits.IdleTimeout,
	}
}
