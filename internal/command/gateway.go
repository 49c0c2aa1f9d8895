package command

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/adapter"
	"github.com/primrosewell/primrosewell/internal/gateway"
	"github.com/primrosewell/primrosewell/internal/telemetry"
	"github.com/primrosewell/primrosewell/platform"
)

// logFlushTimeout limits how long the process waits at exit for the last log lines to be written.
const logFlushTimeout = 200 * time.Millisecond

// adapters maps the values of -adapter to the platform adapters.
var adapters = map[string]func() adapter.Adapter{
	"native":   gateway.NativeAdapter,
	"platform": platform.Adapter,
}

// gatewayCommand runs a gateway, the daemon that serves opaque routes.
type gatewayCommand struct {
	std     streams
	file    string
	adapter string
}

// Name implements subcommands.Command.
func (*gatewayCommand) Name() string { return "gateway" }

// Synopsis implements subcommands.Command.
func (*gatewayCommand) Synopsis() string { return "run the daemon that serves opaque routes" }

// Usage implements subcommands.Command.
func (*gatewayCommand) Usage() string {
	return `gateway [-settings FILE] [-adapter NAME]: forward opaque routes until drained.

Routes, workspaces and endpoints come from the platform's object API. Without
-settings, the adapter's environment variable names the file. SIGTERM drains.

Example:
  primrosewell gateway -settings gateway.json
`
}

// SetFlags implements subcommands.Command.
func (c *gatewayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings `file`")
	f.StringVar(&c.adapter, "adapter", "native", "`name` of the platform: native or platform")
}

// Execute implements subcommands.Command.
func (c *gatewayCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	newAdapter, known := adapters[c.adapter]
	if !known {
		return c.std.usage("-adapter is native or platform, not " + c.adapter)
	}
	file := c.file
	if file == "" {
		file = os.Getenv(newAdapter().SettingsVariable)
	}
	if file == "" {
		return c.std.usage("gateway -settings FILE, or set " + newAdapter().SettingsVariable)
	}
	settings, err := gateway.LoadSettings(file)
	if err != nil {
		return c.std.fail(err)
	}
	lines := telemetry.NewLineWriter(c.std.out)
	defer lines.Close(logFlushTimeout)
	g, err := gateway.New(settings, gateway.Options{
		Version: Version, Adapter: newAdapter(), Log: telemetry.NewLogger(lines, settings.Log.Level),
	})
	if err != nil {
		return c.std.fail(err)
	}
	return c.run(ctx, g, file)
}

// run runs the gateway until it has drained. SIGTERM and SIGINT start the drain, SIGHUP
// reloads the settings file.
func (c *gatewayCommand) run(ctx context.Context, g *gateway.Gateway, file string) subcommands.ExitStatus {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	go g.WatchSettings(ctx, file)
	for {
		select {
		case err := <-done:
			if err != nil {
				return c.std.fail(err)
			}
			return exitOK
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				g.Reload(file)
				continue
			}
			g.Log().WithFields(logrus.Fields{"event": "signal", "signal": sig}).Info("draining")
			g.Reload(file) // The file may have changed without a signal.
			g.Drain()
		}
	}
}
