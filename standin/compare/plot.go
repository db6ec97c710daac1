package compare

import (
	"io"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// ErrNoRows means that no row has the figure to draw.
var ErrNoRows = eris.New("no rows to draw")

// differenceBars are the differences of rows as points with their confidence intervals.
type differenceBars struct {
	plotter.XYs
	plotter.XErrors
}

// Plot writes an SVG image of the differences in one figure, with a line for each deployment.
// It returns ErrNoRows if no row has the figure.
func Plot(w io.Writer, rows []Row, figure string) error {
	p := plot.New()
	p.Title.Text = figure + ", after minus before"
	p.X.Label.Text = "difference; the bars are confidence intervals"
	var b differenceBars
	var names []string
	for _, r := range rows {
		if r.Figure != figure {
			continue
		}
		b.XYs = append(b.XYs, plotter.XY{X: r.MeanDifference, Y: float64(len(names))})
		b.XErrors = append(b.XErrors, struct{ Low, High float64 }{r.ConfidenceBound, r.ConfidenceBound})
		names = append(names, r.Site)
	}
	if len(names) == 0 {
		return ErrNoRows
	}
	points, err := plotter.NewScatter(b.XYs)
	if err != nil {
		return eris.Wrap(err, "draw differences")
	}
	spread, err := plotter.NewXErrorBars(b)
	if err != nil {
		return eris.Wrap(err, "draw bounds")
	}
	p.Add(plotter.NewGrid(), spread, points)
	p.NominalY(names...)
	c := vgsvg.New(18*vg.Centimeter, vg.Length(3+len(names))*vg.Centimeter)
	p.Draw(draw.New(c))
	_, err = c.WriteTo(w)
	return eris.Wrap(err, "write plot")
}
