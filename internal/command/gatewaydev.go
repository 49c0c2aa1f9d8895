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

// gatewayDevCommand runs a gateway with stand-ins of the platform and of endpoints, in one process.
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
	s, err := c.startEnvironment(ctx)
	if err != nil {
		return c.std.fail(err)
	}
	g, err := gateway.New(s, gateway.Options{Version: Version, Adapter: gateway.NativeAdapter(), Log: telemetry.NewLogger(c.std.err, "info")})
	if err != nil {
		return c.std.fail(err)
	}
	c.printExamples(s)
	if err := g.Run(ctx); err != nil {
		return c.std.fail(err)
	}
	return exitOK
}

// startEnvironment starts a platform stand-in with one route and two endpoint stand-ins,
// and returns gateway settings that use them.
func (c *gatewayDevCommand) startEnvironment(ctx context.Context) (gateway.Settings, error) {
	store := platformstandin.New(platformstandin.Options{})
	address, err := serveLoopback(ctx, func(l net.Listener) error { return store.Serve(ctx, l) })
	if err != nil {
		return gateway.Settings{}, err
	}
	for _, id := range []string{"endpoint-1", "endpoint-2"} {
		standin := opaque.Endpoint{ID: id, Names: headers.Default()}
		endpointAddress, err := serveLoopback(ctx, func(l net.Listener) error { return standin.Serve(ctx, l) })
		if err != nil {
			return gateway.Settings{}, err
		}
		entry := map[string]any{"service": "demo", "address": endpointAddress, "data_centre": devDataCentre, "slots": 8, "born": time.Now().UnixMilli()}
		if err := createObject(ctx, store.Store(), "endpoints", id, entry); err != nil {
			return gateway.Settings{}, err
		}
	}
	if err := createObject(ctx, store.Store(), "routes", "table", devRouteTable()); err != nil {
		return gateway.Settings{}, err
	}
	return c.devSettings(ctx, "http://"+address)
}

// devRouteTable returns the route table of gateway-dev.
func devRouteTable() routetable.Spec {
	return routetable.Spec{
		Version: 1, KeysRequired: true,
		Routes: []routetable.Route{{
			Name: "demo", Host: "demo.example", PathPrefix: "/demo/", Kind: routetable.Streaming, Resumable: true, MaxAttempts: 2,
			Timeout: 10 * time.Second, Target: time.Second, Backends: []routetable.Backend{{Service: "demo", Weight: 1}},
		}},
		Workspaces: []routetable.Workspace{{Name: "harbour", Keys: []string{"demo-key"}}},
	}
}

// devSettings returns gateway settings with listeners on free loopback ports. All ports
// are reserved together, so that they differ, and released when it returns.
func (c *gatewayDevCommand) devSettings(ctx context.Context, platformURL string) (gateway.Settings, error) {
	var addresses [4]string
	for i := range addresses {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp4", loopbackFreePort)
		if err != nil {
			return gateway.Settings{}, err
		}
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().String()
	}
	text := fmt.Sprintf(`{"vm":{"id":"dev","data_centre":%q},"callers":{"listen":%q},"readiness":{"listen":%q},"metrics":{"listen":%q},
"peers":{"address":"127.0.0.1","gossip_port":%s,"fetch_port":%s},"platform":{"url":%q}}`,
		devDataCentre, c.listen, addresses[0], addresses[1], portOf(addresses[2]), portOf(addresses[3]), platformURL)
	return gateway.ParseSettings([]byte(text))
}

// portOf returns the port of an address, as text.
func portOf(address string) string {
	_, p, err := net.SplitHostPort(address)
	if err != nil {
		return "0" // Not reached for a listener's address; the settings reject port 0.
	}
	return p
}

func (c *gatewayDevCommand) printExamples(s gateway.Settings) {
	names := headers.Default()
	curl := fmt.Sprintf("curl -N -H 'Host: demo.example' -H '%s: demo-key' -H '%s: r1'", names.APIKey, names.RequestID)
	fmt.Fprintf(c.std.out, "Try:\n  %s http://%s/demo/hello\n  %s http://%s/demo/stream\nReadiness: http://%s/readyz   Metrics: http://%s/metrics\n",
		curl, c.listen, curl, c.listen, s.Readiness.Listen, s.Metrics.Listen)
}

// serveLoopback starts serve on a free loopback port and returns the address.
func serveLoopback(ctx context.Context, serve func(net.Listener) error) (string, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", loopbackFreePort)
	if err != nil {
		return "", err
	}
	go func() { _ = serve(listener) }() // Runs until the process exits.
	return listener.Addr().String(), nil
}

// createObject stores content as JSON in an object of the platform stand-in.
func createObject(ctx context.Context, store platform.Store, collection, name string, content any) error {
	data, err := json.Marshal(content)
	if err != nil {
		return err
	}
	_, err = store.Create(ctx, platform.Object{Collection: collection, Name: name, Data: data})
	return err
}
