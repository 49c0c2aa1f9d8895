// Package rounds prints and plots the results of benchmark rounds: the worth of each
// standard day for successive versions of a deployment.
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

// Size of the plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Day is the result of one standard day of a round.
type Day struct {
	Name string
	// Worth is the share of the service owed to callers that they received, minus penalties.
	Worth float64
	// BrokenRules names the rules that were broken, if any.
	BrokenRules []string
}

// Round is one benchmark run of a version over the standard days.
type Round struct {
	Site string
	At   time.Time
	// Purpose says what the round tried out.
	Purpose string
	Score   float64
	Days    []Day
}

// Sort sorts rounds by site, then by time.
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

// WriteTable prints a table with one line for each round.
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

// WritePlot writes a PNG that plots the worth of each day over the rounds of a site. The
// days are those of the first round. It fails with failure.NotFound if the site has no round.
func WritePlot(path, site string, all []Round) error {
	siteRounds := lo.Filter(all, func(r Round, _ int) bool { return r.Site == site })
	if len(siteRounds) == 0 {
		return failure.New(failure.NotFound, "no round of "+site)
	}
	p := plot.New()
	p.Title.Text = site + ": worth by day, version by version"
	p.X.Label.Text, p.Y.Label.Text = "round", "worth"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top, p.Legend.Left = false, false
	p.Add(plotter.NewGrid())
	var lines []any
	for _, d := range siteRounds[0].Days {
		lines = append(lines, d.Name, worthPoints(siteRounds, d.Name))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return failure.Wrap(err, failure.Internal, "plot")
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return failure.Wrap(err, failure.Internal, "plot "+path)
	}
	return nil
}

// worthPoints returns the points of one day; a round without the day has none.
func worthPoints(siteRounds []Round, day string) plotter.XYs {
	var points plotter.XYs
	for i, r := range siteRounds {
		for _, d := range r.Days {
			if d.Name == day {
				points = append(points, plotter.XY{X: float64(i + 1), Y: d.Worth})
			}
		}
	}
	return points
}
