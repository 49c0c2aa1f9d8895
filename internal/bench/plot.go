package bench

import (
	"fmt"
	"image/color" //nolint:misspell // The library's spelling.
	"os"

	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// Sizes of the plot.
const (
	panelWidth  = 4 * vg.Inch
	panelHeight = 2.4 * vg.Inch
	panelGap    = vg.Inch / 24
	barWidth    = 5
	panelsInRow = 4
)

// WritePlot writes reports as a PNG: one panel for each size and scenario, with
// the attainment of each class, and goodput and wasted work, by policy.
func WritePlot(path string, reports []Report) error {
	groups := lo.GroupBy(reports, panelTitle)
	titles := lo.Uniq(lo.Map(reports, func(r Report, _ int) string { return panelTitle(r) }))
	columns := max(1, min(panelsInRow, len(titles)))
	rows := max(1, (len(titles)+columns-1)/columns)
	canvas := vgimg.New(vg.Length(columns)*panelWidth, vg.Length(rows)*panelHeight)
	tiles := draw.Tiles{Rows: rows, Cols: columns, PadX: panelGap, PadY: panelGap}
	whole := draw.New(canvas)
	for i, title := range titles {
		panel, err := newPanel(title, groups[title])
		if err != nil {
			return plotFailure(err)
		}
		panel.Draw(tiles.At(whole, i%columns, i/columns))
	}
	return writePNG(path, canvas)
}

func panelTitle(r Report) string { return r.Options.Size + ": " + r.Options.Scenario }

// newPanel draws a group of bars for each class of the first pool, and one for
// goodput and wasted work; each policy is a colour.
func newPanel(title string, reports []Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Title.TextStyle.Font.Size = 9
	p.Y.Min, p.Y.Max = 0, 120
	p.Y.Label.Text = "percent"
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = 5
	p.Legend.ThumbnailWidth = 6
	p.X.Tick.Label.Font.Size = 6
	p.Y.Tick.Label.Font.Size = 6
	p.Y.Label.TextStyle.Font.Size = 7
	for i, r := range reports {
		bars, err := plotter.NewBarChart(panelValues(r), vg.Points(barWidth))
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(i) //nolint:misspell // The library's spelling.
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(reports)-1)/2))
		p.Add(bars)
		p.Legend.Add(r.Options.Policy, bars)
	}
	if len(reports) > 0 {
		p.NominalX(panelLabels(reports[0])...)
	}
	grid := plotter.NewGrid()
	grid.Vertical.Width = 0
	grid.Horizontal.Color = color.Gray{Y: 200} //nolint:misspell // The library's spelling.
	p.Add(grid)
	return p, nil
}

func panelLabels(r Report) []string {
	pool := r.Pools[0]
	labels := lo.Map(pool.Classes, func(c ClassReport, _ int) string {
		return fmt.Sprintf("%s\n(tier %d)", c.Class, c.Tier)
	})
	return append(labels, "goodput", "wasted")
}

func panelValues(r Report) plotter.Values {
	pool := r.Pools[0]
	values := lo.Map(pool.Classes, func(c ClassReport, _ int) float64 { return 100 * c.Attained })
	return append(values, 100*pool.Goodput, 100*pool.Wasted)
}

func writePNG(path string, canvas *vgimg.Canvas) error {
	file, err := os.Create(path)
	if err != nil {
		return plotFailure(err)
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(file); err != nil {
		_ = file.Close()
		return plotFailure(err)
	}
	if err := file.Close(); err != nil {
		return plotFailure(err)
	}
	return nil
}

func plotFailure(err error) error {
	return failure.Wrap(err, failure.Internal, "the plot could not be written")
}
