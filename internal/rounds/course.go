package rounds

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// legendSpace widens the plot of a course for the legend on its right.
const legendSpace = 1.2

// Course is one day of a deployment, window by window.
type Course struct {
	// Worth is the result of the whole day.
	Worth   float64
	Windows []Window
}

// Window is the result of the requests that arrived in one short span of a day.
type Window struct {
	// Start is the time since the beginning of the day.
	Start    time.Duration
	Requests int
	// Worth is the share of the service owed to callers that they received.
	Worth float64
	// Late, Refused and Failed count requests that were answered after their latency target,
	// rejected, or not answered.
	Late, Refused, Failed int
	// MedianWait and LongWait are the median and the 99th percentile of the time to the first
	// event.
	MedianWait, LongWait time.Duration
}

// share returns n as a share of the window's requests, or 0 without requests.
func (w Window) share(n int) float64 { return float64(n) / float64(max(1, w.Requests)) }

// WriteCourse prints a table with one line for each window.
func WriteCourse(w io.Writer, c Course) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SECONDS\tREQUESTS\tWORTH\tLATE\tREFUSED\tFAILED\tMEDIAN WAIT\t99TH PERCENTILE")
	for _, x := range c.Windows {
		fmt.Fprintf(table, "%g\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%s\n", x.Start.Seconds(), x.Requests, x.Worth,
			x.share(x.Late), x.share(x.Refused), x.share(x.Failed), x.MedianWait.Round(time.Millisecond), x.LongWait.Round(time.Millisecond))
	}
	return table.Flush()
}

// PlotCourse writes a PNG that plots the windows of a day: worth, the shares of late, refused
// and failed requests, and the median wait in seconds, cut at 1. It fails with
// failure.NotFound if the day has no windows.
func PlotCourse(path string, c Course) error {
	if len(c.Windows) == 0 {
		return failure.New(failure.NotFound, "the day has no windows")
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("worth %.3f", c.Worth)
	p.X.Label.Text, p.Y.Label.Text = "seconds of the day", "share; median wait in s"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top, p.Legend.Left = false, false
	p.Add(plotter.NewGrid())
	points := func(value func(Window) float64) plotter.XYs {
		xys := make(plotter.XYs, len(c.Windows))
		for i, w := range c.Windows {
			xys[i] = plotter.XY{X: w.Start.Seconds(), Y: value(w)}
		}
		return xys
	}
	err := plotutil.AddLinePoints(p,
		"worth", points(func(w Window) float64 { return w.Worth }),
		"late", points(func(w Window) float64 { return w.share(w.Late) }),
		"refused", points(func(w Window) float64 { return w.share(w.Refused) }),
		"failed", points(func(w Window) float64 { return w.share(w.Failed) }),
		"median wait", points(func(w Window) float64 { return min(1, w.MedianWait.Seconds()) }),
	)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "plot")
	}
	p.X.Max *= legendSpace
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return failure.Wrap(err, failure.Internal, "plot "+path)
	}
	return nil
}
