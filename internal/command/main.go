// Package command implements the command line of primrosewell.
package command

import (
	"context"
	"flag"
	"io"
	"os"
	"path/filepath"

	"github.com/google/subcommands"
)

// Version is the version of the program, set at build time.
var Version = "dev"

// Headings under which the help text groups the commands.
const (
	groupRun     = "running"
	groupObjects = "configuration"
	groupInspect = "looking"
)

// Main runs the command named by args and returns the exit code of the process.
func Main(ctx context.Context, args []string) int {
	return run(ctx, args, streams{in: os.Stdin, out: os.Stdout, err: os.Stderr})
}

// streams are the standard input, output and error of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

func run(ctx context.Context, args []string, std streams) int {
	flags := flag.NewFlagSet(filepath.Base(args[0]), flag.ContinueOnError)
	flags.SetOutput(std.err)
	commander := newCommander(flags, flags.Name(), std)
	commander.Register(&serveCommand{std: std}, groupRun)
	commander.Register(&gatewayCommand{std: std}, groupRun)
	commander.Register(&gatewayDevCommand{std: std}, groupRun)
	commander.Register(&devCommand{std: std}, groupRun)
	commander.Register(standinGroup(std), groupRun)
	for _, group := range objectGroups(std) {
		commander.Register(group, groupObjects)
	}
	commander.Register(settingsGroup(std), groupObjects)
	commander.Register(&statusCommand{std: std}, groupInspect)
	commander.Register(&drainCommand{std: std}, groupRun)
	commander.Register(benchGroup(std), groupInspect)
	commander.Register(&versionCommand{std: std}, groupInspect)
	return execute(ctx, commander, flags, args[1:])
}

// newCommander returns a commander that writes to std and has the help command.
func newCommander(flags *flag.FlagSet, name string, std streams) *subcommands.Commander {
	commander := subcommands.NewCommander(flags, name)
	commander.Output = std.out
	commander.Error = std.err
	commander.Register(commander.HelpCommand(), "")
	return commander
}

// execute parses the arguments, runs the command that they name and returns its exit code.
func execute(ctx context.Context, commander *subcommands.Commander, flags *flag.FlagSet, args []string) int {
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	return int(commander.Execute(ctx))
}

// group is a command that consists of subcommands, such as "profile" with "profile apply".
type group struct {
	name     string
	synopsis string
	members  []subcommands.Command
	std      streams
}

// Name implements subcommands.Command.
func (g *group) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *group) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *group) Usage() string {
	text := g.name + " COMMAND [flags]: " + g.synopsis + "\n\n"
	for _, m := range g.members {
		text += "  " + g.name + " " + m.Name() + ": " + m.Synopsis() + "\n"
	}
	return text
}

// SetFlags implements subcommands.Command.
func (g *group) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	flags := flag.NewFlagSet(g.name, flag.ContinueOnError)
	flags.SetOutput(g.std.err)
	commander := newCommander(flags, g.name, g.std)
	for _, m := range g.members {
		commander.Register(m, "")
	}
	return subcommands.ExitStatus(execute(ctx, commander, flags, f.Args()))
}
