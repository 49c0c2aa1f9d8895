// Package command is the command line: one file for each command.
package command

import (
	"context"
	"flag"
	"path/filepath"

	"github.com/google/subcommands"
)

// Main runs the command named by args and returns the exit code of the process.
func Main(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet(filepath.Base(args[0]), flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, flags.Name())
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	if err := flags.Parse(args[1:]); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}
