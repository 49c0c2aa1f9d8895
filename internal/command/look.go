package command

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"strconv"

	"github.com/google/subcommands"

	"github.com/primrosewell/primrosewell/internal/admin"
	"github.com/primrosewell/primrosewell/internal/settings"
)

// statusCommand prints the members, queues and endpoints that a daemon reports.
type statusCommand struct {
	std     streams
	connect adminFlags
	output  outputFlag
}

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string {
	return "show members, the revision in force on each, endpoints and queues"
}

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return `status [-o json]: show members, the revision in force on each, endpoints, and queues by class.

Example:
  primrosewell status -admin http://192.0.2.1:8081
`
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.connect.register(f)
	c.output.register(f)
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.output.valid() {
		return c.std.usage(outputUsage)
	}
	client, err := c.connect.client()
	if err != nil {
		return c.std.fail(err)
	}
	status, err := client.Status(ctx)
	if err != nil {
		return c.std.fail(err)
	}
	if c.output.format == "json" {
		return c.std.printJSON(status)
	}
	c.std.printStatus(status)
	return exitOK
}

func (s streams) printStatus(status admin.Status) {
	fmt.Fprintf(s.out, "vm %s (%s) in %s: revision %d, ready %t, draining %t, in flight %d\n\n",
		status.VM, status.Version, status.DataCentre, status.Revision, status.Ready, status.Draining, status.InFlight)
	var members [][]string
	for _, m := range status.Members {
		members = append(members, []string{m.ID, m.DataCentre, m.State, strconv.FormatInt(m.Revision, 10), strconv.FormatBool(m.InForce)})
	}
	s.printTable([]string{"MEMBER", "DATA CENTRE", "STATE", "REVISION", "IN FORCE"}, members)
	fmt.Fprintln(s.out)
	var queues [][]string
	for _, p := range status.Pools {
		for _, c := range p.Classes {
			queues = append(queues, []string{
				p.Pool, p.Broker, c.Class, strconv.Itoa(c.Tier), strconv.Itoa(c.Waiting), strconv.Itoa(c.Running),
				strconv.FormatInt(c.Granted, 10), strconv.FormatInt(c.Refused, 10), c.OldestWait.String(),
			})
		}
	}
	s.printTable([]string{"POOL", "BROKER", "CLASS", "TIER", "WAITING", "RUNNING", "GRANTED", "REFUSED", "OLDEST WAIT"}, queues)
	fmt.Fprintln(s.out)
	var endpoints [][]string
	for _, e := range status.Endpoints {
		endpoints = append(endpoints, []string{e.Service, e.Name, e.Address, e.State, strconv.Itoa(e.Running), strconv.Itoa(e.Limit)})
	}
	s.printTable([]string{"SERVICE", "ENDPOINT", "ADDRESS", "STATE", "RUNNING", "LIMIT"}, endpoints)
	for _, d := range status.Quarantine {
		fmt.Fprintf(s.out, "\n%s digest %s after %v, for another %s\n", d.State, d.Digest, d.Endpoints, d.ExpiresIn)
	}
}

// drainCommand starts the graceful shutdown of a daemon.
type drainCommand struct {
	std     streams
	connect adminFlags
}

// Name implements subcommands.Command.
func (*drainCommand) Name() string { return "drain" }

// Synopsis implements subcommands.Command.
func (*drainCommand) Synopsis() string { return "shut a daemon down without cutting off any request" }

// Usage implements subcommands.Command.
func (*drainCommand) Usage() string {
	return `drain -admin URL: the daemon fails its readiness check, hands over its roles, finishes every request in progress and exits.

Example:
  primrosewell drain -admin http://192.0.2.1:8081
`
}

// SetFlags implements subcommands.Command.
func (c *drainCommand) SetFlags(f *flag.FlagSet) { c.connect.register(f) }

// Execute implements subcommands.Command.
func (c *drainCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.connect.client()
	if err != nil {
		return c.std.fail(err)
	}
	result, err := client.Drain(ctx)
	if err != nil {
		return c.std.fail(err)
	}
	fmt.Fprintf(c.std.out, "vm %s is draining; %d requests in progress will be finished first\n", result.VM, result.InFlight)
	return exitOK
}

// versionCommand prints the versions of the program and of Go.
type versionCommand struct{ std streams }

// Name implements subcommands.Command.
func (*versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*versionCommand) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*versionCommand) Usage() string { return "version: print the version.\n" }

// SetFlags implements subcommands.Command.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Fprintf(c.std.out, "primrosewell %s %s\n", Version, runtime.Version())
	return exitOK
}

// settingsGroup returns the commands "settings check" and "settings example".
func settingsGroup(std streams) subcommands.Command {
	return &group{
		name:     "settings",
		synopsis: "check a settings file, or print an example",
		std:      std,
		members:  []subcommands.Command{&checkCommand{std: std}, &exampleCommand{std: std}},
	}
}

// checkCommand validates a settings file.
type checkCommand struct{ std streams }

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a settings file without starting anything" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return "settings check FILE: report every problem of a settings file at once.\n\nExample:\n  primrosewell settings check settings.json\n"
}

// SetFlags implements subcommands.Command.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.std.usage("settings check FILE")
	}
	if _, err := settings.Load(f.Arg(0)); err != nil {
		return c.std.fail(err)
	}
	fmt.Fprintln(c.std.out, "settings are valid")
	return exitOK
}

// exampleCommand prints an example settings file.
type exampleCommand struct{ std streams }

// Name implements subcommands.Command.
func (*exampleCommand) Name() string { return "example" }

// Synopsis implements subcommands.Command.
func (*exampleCommand) Synopsis() string { return "print a settings file to start from" }

// Usage implements subcommands.Command.
func (*exampleCommand) Usage() string {
	return "settings example: print a settings file to start from.\n\nExample:\n  primrosewell settings example > settings.json\n"
}

// SetFlags implements subcommands.Command.
func (*exampleCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *exampleCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, err := c.std.out.Write(settings.Example())
	if err != nil {
		return c.std.fail(err)
	}
	return exitOK
}
