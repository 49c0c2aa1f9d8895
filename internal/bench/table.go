package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteTable writes reports as text: one line for each pool, then one for each class.
func WriteTable(w io.Writer, reports []Report) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	line("size\tscenario\tpolicy\tpool\tgoodput %%\tin target %%\twasted %%\tinversions\tviolations")
	for _, r := range reports {
		for _, p := range r.Pools {
			line("%s\t%s\t%s\t%s\t%.1f\t%.1f\t%.2f\t%d\t%d", r.Options.Size, r.Options.Scenario, r.Options.Policy,
				p.Pool, 100*p.Goodput, 100*p.InTarget, 100*p.Wasted, p.Inversions, p.Violations)
		}
	}
	line("")
	line("scenario\tpolicy\tclass\ttier\toffered\tattained %%\tanswered %%\trefused %%\tleft %%\tfailed %%\tlongest wait\tshare %%\tfloor %%")
	for _, r := range reports {
		for _, p := range r.Pools {
			for _, c := range p.Classes {
				line("%s\t%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%v\t%.1f%s\t%.0f", r.Options.Scenario, r.Options.Policy,
					c.Class, c.Tier, c.Offered, 100*c.Attained, 100*c.Answered, 100*c.Refused, 100*c.Left, 100*c.Failed,
					c.LongestWait.Round(time.Millisecond), 100*c.Share, starvedMark(c), 100*c.Floor)
			}
		}
	}
}

// starvedMark marks a share below the floor.
func starvedMark(c ClassReport) string {
	if c.Starved {
		return "!"
	}
	return ""
}
