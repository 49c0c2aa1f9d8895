package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/primrosewell/primrosewell/internal/rounds"
	"github.com/primrosewell/primrosewell/platform"
)

// dayCommand prints or plots the course of one day from a benchmark report.
type dayCommand struct {
	std    streams
	report string
	plot   string
}

// Name implements subcommands.Command.
func (*dayCommand) Name() string { return "day" }

// Synopsis implements subcommands.Command.
func (*dayCommand) Synopsis() string { return "show worth, refusals and waits over one day" }

// Usage implements subcommands.Command.
func (*dayCommand) Usage() string {
	return `bench day -report FILE [-plot FILE.png]: worth, refusals and waits, window by window.

Example:
  primrosewell bench day -report scale-1.json -plot scale-1.png
`
}

// SetFlags implements subcommands.Command.
func (c *dayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.report, "report", "", "report `file` of a day")
	f.StringVar(&c.plot, "plot", "", "write a plot to this PNG `file`")
}

// Execute implements subcommands.Command.
func (c *dayCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	course, err := platform.ReadCourse(c.report)
	if err != nil {
		return c.std.fail(err)
	}
	if c.plot == "" {
		err = rounds.WriteCourse(c.std.out, course)
	} else {
		err = rounds.PlotCourse(c.plot, course)
	}
	if err != nil {
		return c.std.fail(err)
	}
	return exitOK
}
