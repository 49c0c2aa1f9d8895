package gateway

import (
	"context"
	"net"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/reach"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

func (g *Gateway) newPaths() *reach.Paths { return reach.NewPaths(g.logPath) }

// newDialer returns a dialer that records which endpoints this gateway reaches.
func (g *Gateway) newDialer(i do.Injector) (*httpio.Dialer, error) {
	paths, err := do.Invoke[*reach.Paths](i)
	if err != nil {
		return nil, err
	}
	dial := g.directDial()
	return httpio.NewDialerWith(func(ctx context.Context, address, _ string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil && ctx.Err() == nil {
			paths.DirectFailed(time.Now(), address)
		} else if err == nil {
			paths.DirectConnected(time.Now(), address)
		}
		return conn, err
	}), nil
}

func (g *Gateway) directDial() func(ctx context.Context, address string) (net.Conn, error) {
	if g.options.Dial != nil {
		return g.options.Dial
	}
	return httpio.DialTCP(net.ParseIP(g.settings.Peers.Address))
}

// logPath logs and counts a change of the path to an endpoint.
func (g *Gateway) logPath(t reach.Transition) {
	g.log.WithFields(logrus.Fields{"event": "path", "address": t.Address, "from": t.From, "to": t.To, "lasted": t.Lasted}).Info("the path to an endpoint changed")
	scope := do.MustInvoke[*telemetry.Metrics](g.injector).Scope.SubScope("gateway")
	scope.Tagged(map[string]string{"from": string(t.From), "to": string(t.To)}).Counter("path_changes").Inc(1)
}
