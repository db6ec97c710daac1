package bench

import (
	"image/color"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 16 * vg.Centimeter
	barWidth   = 14 // points
)

// Plot writes an SVG image of a run over time: attainment above, time to the first token below.
func (r *Run) Plot(file string) error {
	top := newPlot(r.Site+", policy "+r.Policy, "attainment")
	top.Y.Min, top.Y.Max = 0, 1
	bottom := newPlot("", "first token, ms")
	bottom.X.Label.Text = "time, s"
	at, p50, p95 := make(plotter.XYs, len(r.Series)), make(plotter.XYs, len(r.Series)), make(plotter.XYs, len(r.Series))
	for i, p := range r.Series {
		x := p.At.Seconds()
		at[i] = plotter.XY{X: x, Y: p.Attainment}
		p50[i] = plotter.XY{X: x, Y: p.FirstP50.Seconds() * 1000}
		p95[i] = plotter.XY{X: x, Y: p.FirstP95.Seconds() * 1000}
	}
	if err := plotutil.AddLines(top, "requests met", at); err != nil {
		return eris.Wrap(err, "plot attainment")
	}
	if err := plotutil.AddLines(bottom, "p50", p50, "p95", p95); err != nil {
		return eris.Wrap(err, "plot first token")
	}
	return save(file, top, bottom)
}

// Plot writes an SVG image of the policies side by side: attainment per accelerator above,
// moves below.
func (c *Comparison) Plot(file string) error {
	top := newPlot(c.Site, "requests met per accelerator")
	bottom := newPlot("", "moves")
	var names []string
	var met, moves plotter.Values
	for _, row := range c.Summaries {
		names = append(names, row.Policy)
		met, moves = append(met, row.AttainmentPerAccelerator.Mean), append(moves, row.Moves.Mean)
	}
	for p, values := range map[*plot.Plot]plotter.Values{top: met, bottom: moves} {
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return eris.Wrap(err, "plot the comparison")
		}
		bars.Color = color.Gray{Y: 96}
		p.Add(bars)
		p.NominalX(names...)
	}
	return save(file, top, bottom)
}

// newPlot returns an empty plot with a title and a label of its y axis.
func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, y
	p.Legend.Top = true
	return p
}

// save writes plots, one below the other, to an SVG file.
func save(file string, plots ...*plot.Plot) error {
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Centimeter}
	dc := draw.New(canvas)
	for i, p := range plots {
		p.Draw(tiles.At(dc, 0, i))
	}
	return writeFile(file, canvas)
}
