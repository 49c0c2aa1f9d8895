package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/primrosewell/primrosewell/internal/gateway"
	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/standin/opaque"
	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// gatewayDevCommand runs a gateway and its surroundings in one process.
type gatewayDevCommand struct {
	std    streams
	listen string
}

// Name implements subcommands.Command.
func (*gatewayDevCommand) Name() string { return "gateway-dev" }

// Synopsis implements subcommands.Command.
func (*gatewayDevCommand) Synopsis() string {
	return "run a gateway with stand-ins on loopback, for a first try"
}

// Usage implements subcommands.Command.
func (*gatewayDevCommand) Usage() string {
	return `gateway-dev [-listen ADDR]: run a gateway, a platform stand-in and two endpoint stand-ins in one
process, and print commands that work.

Example:
  primrosewell gateway-dev
`
}

// SetFlags implements subcommands.Command.
func (c *gatewayDevCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:8090", "loopback `address` for callers")
}

// Execute implements subcommands.Command.
func (c *gatewayDevCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if !isLoopback(c.listen) {
		return c.std.usage("-listen: gateway-dev binds to loopback only, such as 127.0.0.1:8090")
	}
	s, err := c.surroundings(ctx)
	if err != nil {
		return c.std.fail(err)
	}
	g, err := gateway.New(s, gateway.Options{Version: Version, Adapter: gateway.NativeAdapter(), Log: telemetry.NewLogger(c.std.err, "info")})
	if err != nil {
		return c.std.fail(err)
	}
	c.printHints(s)
	if err := g.Run(ctx); err != nil {
		return c.std.fail(err)
	}
	return exitOK
}

// surroundings starts a platform with one route and two endpoints, and returns settings for it.
func (c *gatewayDevCommand) surroundings(ctx context.Context) (gateway.Settings, error) {
	store := platformstandin.New(platformstandin.Options{})
	address, err := serveLoopback(ctx, func(l net.Listener) error { return store.Serve(ctx, l) })
	if err != nil {
		return gateway.Settings{}, err
	}
	for _, id := range []string{"endpoint-1", "endpoint-2"} {
		standin := opaque.Endpoint{ID: id, Names: headers.Default()}
		at, err := serveLoopback(ctx, func(l net.Listener) error { return standin.Serve(ctx, l) })
		if err != nil {
			return gateway.Settings{}, err
		}
		row := map[string]any{"service": "demo", "address": at, "data_centre": devDataCentre, "slots": 8, "born": time.Now().UnixMilli()}
		if err := put(ctx, store.Store(), "endpoints", id, row); err != nil {
			return gateway.Settings{}, err
		}
	}
	if err := put(ctx, store.Store(), "routes", "table", devTable()); err != nil {
		return gateway.Settings{}, err
	}
	return c.devSettings(ctx, "http://"+address)
}

func devTable() routetable.Spec {
	return routetable.Spec{
		Version: 1, KeysRequired: true,
		Routes: []routetable.Route{{
			Name: "demo", Host: "demo.example", PathPrefix: "/demo/", Kind: routetable.Streaming, Resumable: true, MaxAttempts: 2,
			Timeout: 10 * time.Second, Target: time.Second, Backends: []routetable.Backend{{Service: "demo", Weight: 1}},
		}},
		Workspaces: []routetable.Workspace{{Name: "harbour", Keys: []string{"demo-key"}}},
	}
}

func (c *gatewayDevCommand) devSettings(ctx context.Context, platformURL string) (gateway.Settings, error) {
	var free [4]string
	for i := range free {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp4", loopbackAny)
		if err != nil {
			return gateway.Settings{}, err
		}
		defer func() { _ = l.Close() }()
		free[i] = l.Addr().String()
	}
	text := fmt.Sprintf(`{"vm":{"id":"dev","data_centre":%q},"callers":{"listen":%q},"readiness":{"listen":%q},"metrics":{"listen":%q},
"peers":{"address":"127.0.0.1","gossip_port":%s,"fetch_port":%s},"platform":{"url":%q}}`,
		devDataCentre, c.listen, free[0], free[1], port(free[2]), port(free[3]), platformURL)
	return gateway.ParseSettings([]byte(text))
}

func port(address string) string {
	_, p, err := net.SplitHostPort(address)
	if err != nil {
		return "0" // Listeners have a port; the settings refuse this one.
	}
	return p
}

func (c *gatewayDevCommand) printHints(s gateway.Settings) {
	names := headers.Default()
	curl := fmt.Sprintf("curl -N -H 'Host: demo.example' -H '%s: demo-key' -H '%s: r1'", names.APIKey, names.RequestID)
	fmt.Fprintf(c.std.out, "Try:\n  %s http://%s/demo/hello\n  %s http://%s/demo/stream\nReadiness: http://%s/readyz   Metrics: http://%s/metrics\n",
		curl, c.listen, curl, c.listen, s.Readiness.Listen, s.Metrics.Listen)
}

// serveLoopback serves on a free loopback port and returns its address.
func serveLoopback(ctx context.Context, serve func(net.Listener) error) (string, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", loopbackAny)
	if err != nil {
		return "", err
	}
	go func() { _ = serve(listener) }() // Ends with the command.
	return listener.Addr().String(), nil
}

func put(ctx context.Context, store platform.Store, collection, name string, content any) error {
	data, err := json.Marshal(content)
	if err != nil {
		return err
	}
	_, err = store.Create(ctx, platform.Object{Collection: collection, Name: name, Data: data})
	return err
}
