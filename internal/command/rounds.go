package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/primrosewell/primrosewell/internal/rounds"
	"github.com/primrosewell/primrosewell/platform"
)

// roundsCommand shows the measured rounds of the journal.
type roundsCommand struct {
	std     streams
	journal string
	plot    string
	site    string
}

// Name implements subcommands.Command.
func (*roundsCommand) Name() string { return "rounds" }

// Synopsis implements subcommands.Command.
func (*roundsCommand) Synopsis() string { return "show the measured rounds of the journal" }

// Usage implements subcommands.Command.
func (*roundsCommand) Usage() string {
	return `bench rounds [-journal DIR] [-site NAME -plot FILE.png]: worth by day, version by version.

Example:
  primrosewell bench rounds -journal journal -site cis-tec -plot rounds.png
`
}

// SetFlags implements subcommands.Command.
func (c *roundsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.journal, "journal", "journal", "`directory` of the journal")
	f.StringVar(&c.site, "site", "", "`name` of the site to plot")
	f.StringVar(&c.plot, "plot", "", "write a plot to this PNG `file`")
}

// Execute implements subcommands.Command.
func (c *roundsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	all, err := platform.ReadRounds(c.journal)
	if err != nil {
		return c.std.fail(err)
	}
	if c.plot == "" {
		err = rounds.WriteTable(c.std.out, all)
	} else {
		err = rounds.WritePlot(c.plot, c.site, all)
	}
	if err != nil {
		return c.std.fail(err)
	}
	return exitOK
}
