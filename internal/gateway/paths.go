package gateway

import (
	"net"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/quarantine/parts"
	"github.com/primrosewell/primrosewell/internal/reach"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/telemetry"
	"github.com/primrosewell/primrosewell/internal/tunnel"
)

// crashDowntime is how long an endpoint that crashed may be down: it takes some seconds to come back.
const crashDowntime = 10 * time.Second

func (g *Gateway) newPaths() *reach.Paths { return reach.NewPaths(g.logPath) }

// newConnector returns what opens connections to endpoints, directly or through peers.
func (g *Gateway) newConnector(i do.Injector) (*tunnel.Connector, error) {
	paths, err := do.Invoke[*reach.Paths](i)
	if err != nil {
		return nil, err
	}
	return tunnel.NewConnector(tunnel.ConnectorOptions{
		VM: g.settings.VM.ID, DataCentre: g.settings.VM.DataCentre, Port: g.settings.Peers.FetchPort,
		Direct: g.directDial(), DialPeer: g.peerDial(),
		Candidates: g.members.Carriers, Leaving: g.members.IsLeaving,
		Find: func(address string) (reach.Target, bool) {
			e, found := g.directory.Find(address)
			return targetOf(e), found
		},
		Targets: func() []reach.Target {
			return lo.Map(g.directory.Endpoints(), func(e routetable.Endpoint, _ int) reach.Target { return targetOf(e) })
		},
		Crashed: func(target reach.Target) bool {
			return do.MustInvoke[ledgers](g.injector).contents.CrashedSince(time.Now().Add(-crashDowntime), parts.EndpointKeyOf(target.ID))
		},
		Paths: paths,
		// The dialer is built on this connector, so that it is looked up when it is used.
		Keep:    func(address string, conn net.Conn) { do.MustInvoke[*httpio.Dialer](g.injector).Adopt(address, conn) },
		Abandon: func(address string) { do.MustInvoke[*httpio.Dialer](g.injector).CloseIdle(address) },
		Log:     g.log, Scope: g.tunnelScope(),
	}), nil
}

func targetOf(e routetable.Endpoint) reach.Target {
	return reach.Target{Address: e.Address, ID: e.ID, Service: e.Service, DataCentre: e.DataCentre}
}

func (g *Gateway) newDialer(i do.Injector) (*httpio.Dialer, error) {
	connector, err := do.Invoke[*tunnel.Connector](i)
	if err != nil {
		return nil, err
	}
	dialer := httpio.NewDialerWith(connector.Dial)
	dialer.KeepNoneWhile(g.account.Crowded)
	return dialer, nil
}

// newTunnelServer returns what carries connections of peers.
func (g *Gateway) newTunnelServer(i do.Injector) (*tunnel.Server, error) {
	connector, err := do.Invoke[*tunnel.Connector](i)
	if err != nil {
		return nil, err
	}
	return tunnel.NewServer(tunnel.ServerOptions{IsPeer: g.members.Has, Draining: g.draining.Load, Connector: connector, Log: g.log, Scope: g.tunnelScope()}), nil
}

func (g *Gateway) tunnelScope() tally.Scope {
	return do.MustInvoke[*telemetry.Metrics](g.injector).Scope.SubScope("gateway")
}

func (g *Gateway) directDial() dialFunc {
	if g.options.Dial != nil {
		return g.drill.wrap(g.options.Dial)
	}
	return g.drill.wrap(g.accountedDial(httpio.DialTCP(net.ParseIP(g.settings.Peers.Address), memory.LimitOutbound)))
}

// peerDial opens connections to peers.
func (g *Gateway) peerDial() dialFunc {
	return g.drill.wrapPeers(g.accountedDial(httpio.DialTCP(net.ParseIP(g.settings.Peers.Address), memory.LimitOutbound)))
}

// logPath logs and counts a change of the path to an endpoint.
func (g *Gateway) logPath(t reach.Transition) {
	g.log.WithFields(logrus.Fields{"event": "path", "address": t.Address, "from": t.From, "to": t.To, "lasted": t.Lasted}).Info("the path to an endpoint changed")
	g.tunnelScope().Tagged(map[string]string{"from": string(t.From), "to": string(t.To)}).Counter("path_changes").Inc(1)
}
