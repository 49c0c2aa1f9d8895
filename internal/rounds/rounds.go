// Package rounds shows measured rounds of a deployment: the worth of each day, version
// by version.
package rounds

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// Sizes of the plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Day is one day of a round.
type Day struct {
	Name string
	// Worth is the share of what callers were owed that they got, less the prices.
	Worth float64
	// Broken names the rules that were broken, if any.
	BrokenRules []string
}

// Round is one measurement of a version over the standard days.
type Round struct {
	Site string
	At   time.Time
	// Why says what was tried.
	Purpose string
	Score   float64
	Days    []Day
}

// Sort orders rounds by site and time.
func Sort(all []Round) {
	slices.SortFunc(all, func(a, b Round) int {
		if a.Site != b.Site {
			if a.Site < b.Site {
				return -1
			}
			return 1
		}
		return a.At.Compare(b.At)
	})
}

// WriteTable prints a line for each round.
func WriteTable(w io.Writer, all []Round) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SITE\tAT\tSCORE\tWORTH BY DAY\tWHY")
	for _, r := range all {
		worth := ""
		for _, d := range r.Days {
			worth += fmt.Sprintf("%s %.3f ", d.Name, d.Worth)
		}
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%s\t%s\n", r.Site, r.At.Format(time.DateTime), r.Score, worth, r.Purpose)
	}
	return table.Flush()
}

// WritePlot writes a PNG with one line for each day of a site over its rounds.
func WritePlot(path, site string, all []Round) error {
	of := lo.Filter(all, func(r Round, _ int) bool { return r.Site == site })
	if len(of) == 0 {
		return failure.New(failure.NotFound, "no round of "+site)
	}
	p := plot.New()
	p.Title.Text = site + ": worth by day, version by version"
	p.X.Label.Text, p.Y.Label.Text = "round", "worth"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top, p.Legend.Left = false, false
	p.Add(plotter.NewGrid())
	var lines []any
	for _, d := range of[0].Days {
		lines = append(lines, d.Name, worths(of, d.Name))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return failure.Wrap(err, failure.Internal, "plot")
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return failure.Wrap(err, failure.Internal, "plot "+path)
	}
	return nil
}

// worths are the points of one day; rounds without it leave a gap.
func worths(of []Round, day string) plotter.XYs {
	var points plotter.XYs
	for i, r := range of {
		for _, d := range r.Days {
			if d.Name == day {
				points = append(points, plotter.XY{X: float64(i + 1), Y: d.Worth})
			}
		}
	}
	return points
}
