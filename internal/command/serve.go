package command

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/daemon"
	"github.com/primrosewell/primrosewell/internal/settings"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// serveCommand runs the entry daemon.
type serveCommand struct {
	std  streams
	file string
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run the daemon of an entry VM" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return `serve -settings FILE: run the daemon until it is drained.

The first SIGTERM or SIGINT drains: nothing in progress is cut off. The second
ends the process at once, and the log says what that cut.

Example:
  primrosewell serve -settings settings.json
`
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings `file`")
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.file == "" {
		return c.std.usage("serve -settings FILE; `primrosewell settings example` prints one to start from")
	}
	s, err := settings.Load(c.file)
	if err != nil {
		return c.std.fail(err)
	}
	d, err := daemon.New(ctx, s, daemon.Options{
		Version: Version,
		Log:     telemetry.NewLogger(c.std.err, s.Log.Level),
	})
	if err != nil {
		return c.std.fail(err)
	}
	return c.std.runDaemon(ctx, d)
}

// runDaemon runs d until it has drained. The first SIGTERM or SIGINT starts the drain; the
// second returns at once and logs the requests that this cuts off.
func (s streams) runDaemon(ctx context.Context, d *daemon.Daemon) subcommands.ExitStatus {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	for {
		select {
		case err := <-done:
			if err != nil {
				return s.fail(err)
			}
			return exitOK
		case sig := <-signals:
			if d.Draining() {
				d.Log().WithFields(logrus.Fields{
					"event":     "forced_exit",
					"signal":    sig,
					"in_flight": d.InFlight(),
					"cut":       d.InFlightIDs(),
				}).Error("second signal; requests in progress are cut off")
				return exitOther
			}
			d.Log().WithFields(logrus.Fields{"event": "signal", "signal": sig}).Info("draining")
			d.Drain()
		}
	}
}
