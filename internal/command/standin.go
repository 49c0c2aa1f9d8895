package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/standin/engine"
	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
	"github.com/primrosewell/primrosewell/internal/standin/service"
)

// standinGroup returns the commands that run a stand-in: "standin platform", "standin engine"
// and "standin service".
func standinGroup(std streams) subcommands.Command {
	return &group{
		name:     "standin",
		synopsis: "run a small fake of an outside system, for trials and tests",
		std:      std,
		members: []subcommands.Command{
			&standinPlatform{standinServer: standinServer{std: std}},
			&standinEngine{standinServer: standinServer{std: std}},
			&standinService{standinServer: standinServer{std: std}},
		},
	}
}

// standinServer has the -listen flag of a stand-in and serves on that address.
type standinServer struct {
	std    streams
	listen string
}

func (l *standinServer) register(f *flag.FlagSet) {
	f.StringVar(&l.listen, "listen", "127.0.0.1:0", "`address` to listen on; port 0 picks a free one")
}

// serve prints the address and serves until SIGTERM or SIGINT.
func (l *standinServer) serve(ctx context.Context, serve func(context.Context, net.Listener) error) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", l.listen)
	if err != nil {
		return l.std.fail(failure.Wrap(err, failure.InvalidRequest, "-listen"))
	}
	fmt.Fprintln(l.std.out, "listening on", socket.Addr())
	if err := serve(ctx, socket); err != nil && ctx.Err() == nil {
		return l.std.fail(err)
	}
	return exitOK
}

// standinPlatform runs the stand-in for the platform's object API.
type standinPlatform struct {
	standinServer
	token string
	vms   string
}

// Name implements subcommands.Command.
func (*standinPlatform) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*standinPlatform) Synopsis() string { return "an object API with versions, watches and faults" }

// Usage implements subcommands.Command.
func (*standinPlatform) Usage() string {
	return `standin platform [-listen ADDR] [-token TOKEN] [-vms JSON]: an object API kept in memory.

POST /control/faults injects faults; PUT /control/vms sets the list of VMs.

Example:
  primrosewell standin platform -listen 127.0.0.1:7000 -token trial
`
}

// SetFlags implements subcommands.Command.
func (c *standinPlatform) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.StringVar(&c.token, "token", "", "`token` that clients must send; empty lets all in")
	f.StringVar(&c.vms, "vms", "[]", "list of VMs as `JSON`")
}

// Execute implements subcommands.Command.
func (c *standinPlatform) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var vms []platform.VM
	if err := json.Unmarshal([]byte(c.vms), &vms); err != nil {
		return c.std.usage("-vms: " + err.Error())
	}
	server := platformstandin.New(platformstandin.Options{Token: c.token})
	server.SetVMs(vms, 0)
	return c.serve(ctx, server.Serve)
}

// standinEngine runs the stand-in for a model engine.
type standinEngine struct {
	standinServer
	options engine.Options
	models  string
}

// Name implements subcommands.Command.
func (*standinEngine) Name() string { return "engine" }

// Synopsis implements subcommands.Command.
func (*standinEngine) Synopsis() string { return "a model engine that speaks the OpenAI HTTP API" }

// Usage implements subcommands.Command.
func (*standinEngine) Usage() string {
	return `standin engine [-listen ADDR] [-models A,B] [-step 5ms] [-batch 16]: a model engine with made-up answers.

POST /control/faults injects faults; GET /control/runs lists what it ran.

Example:
  primrosewell standin engine -listen 127.0.0.1:9001 -models bulletin
`
}

// SetFlags implements subcommands.Command.
func (c *standinEngine) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.StringVar(&c.options.Name, "name", "engine", "`name` in chunk ids and metrics")
	f.StringVar(&c.models, "models", "standin", "comma-separated model `names`")
	f.DurationVar(&c.options.StepTime, "step", 5*time.Millisecond, "`time` of one decoding step")
	f.DurationVar(&c.options.PrefillPerToken, "prefill", 0, "`time` to read one uncached prompt token")
	f.DurationVar(&c.options.ReportLag, "report-lag", 0, "how old the load report may be")
	f.IntVar(&c.options.MaxBatch, "batch", 16, "`sequences` that run at once")
	f.IntVar(&c.options.MinTokens, "min-tokens", 8, "least `tokens` in an answer")
	f.IntVar(&c.options.MaxTokens, "max-tokens", 64, "most `tokens` in an answer")
}

// Execute implements subcommands.Command.
func (c *standinEngine) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Models = strings.Split(c.models, ",")
	return c.serve(ctx, engine.New(c.options).Serve)
}

// standinService runs the stand-in for a plain HTTP service.
type standinService struct {
	standinServer
	options service.Options
}

// Name implements subcommands.Command.
func (*standinService) Name() string { return "service" }

// Synopsis implements subcommands.Command.
func (*standinService) Synopsis() string { return "a plain HTTP service that counts what it ran" }

// Usage implements subcommands.Command.
func (*standinService) Usage() string {
	return `standin service [-listen ADDR] [-delay 5ms]: a plain HTTP service that echoes.

Example:
  primrosewell standin service -listen 127.0.0.1:9101
`
}

// SetFlags implements subcommands.Command.
func (c *standinService) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.DurationVar(&c.options.Delay, "delay", 5*time.Millisecond, "`time` of one call")
}

// Execute implements subcommands.Command.
func (c *standinService) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.serve(ctx, service.New(c.options).Serve)
}
