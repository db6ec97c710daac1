package local

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Slope is the growth of one figure with the number of hosts: a line fitted by least
// squares.
type Slope struct {
	Figure       string    `json:"figure"`
	Base         float64   `json:"base"`
	PerHost      float64   `json:"per_host"`
	AtDesignSize float64   `json:"at_420_hosts"` // extrapolated
	Values       []float64 `json:"values"`
}

// designHosts is the number of hosts that the design is for.
const designHosts = 420

// figures are the measurements that are fitted and plotted.
var figures = []struct {
	name string
	of   func(FleetReport) float64
}{
	{"peer bytes/s a host", func(r FleetReport) float64 { return r.PeerBytes }},
	{"report bytes/s a host", func(r FleetReport) float64 { return r.PollBytes }},
	{"share of a core a host", func(r FleetReport) float64 { return r.CPUShare }},
	{"live memory a host, KB", func(r FleetReport) float64 { return r.HeapKB }},
	{"table reads/s in all", func(r FleetReport) float64 { return r.TableReads }},
	{"table writes/s in all", func(r FleetReport) float64 { return r.TableWrites }},
	{"preset in force, p99 ms", func(r FleetReport) float64 { return r.PresetInForce.P99 }},
	{"document in force, p99 ms", func(r FleetReport) float64 { return r.DocumentInForce.P99 }},
	{"leaving known, p99 ms", func(r FleetReport) float64 { return r.DrainingKnown.P99 }},
}

// FitSlopes fits a line to each figure over fleets of different sizes.
func FitSlopes(runs []FleetReport) []Slope {
	var out []Slope
	for _, f := range figures {
		s := Slope{Figure: f.name}
		var sx, sy, sxx, sxy float64
		n := float64(len(runs))
		for _, r := range runs {
			x, y := float64(r.Nodes), f.of(r)
			s.Values = append(s.Values, y)
			sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
		}
		if d := n*sxx - sx*sx; d != 0 {
			s.PerHost = (n*sxy - sx*sy) / d
		}
		s.Base = (sy - s.PerHost*sx) / n
		s.AtDesignSize = s.Base + designHosts*s.PerHost
		out = append(out, s)
	}
	return out
}

// PlotSlopes writes an SVG plot of each figure against the number of hosts, as a share
// of the figure's largest value, so that one page shows which figures grow.
func PlotSlopes(w io.Writer, runs []FleetReport) error {
	p := plot.New()
	p.Title.Text = "Fleets of real hosts"
	p.X.Label.Text = "hosts"
	p.Y.Label.Text = "share of the figure's largest value"
	p.Y.Min, p.Y.Max = 0, 1.05
	p.Legend.Top = true
	for i, s := range FitSlopes(runs) {
		largest := 0.0
		for _, v := range s.Values {
			largest = max(largest, v)
		}
		points := make(plotter.XYs, len(runs))
		for k, r := range runs {
			points[k] = plotter.XY{X: float64(r.Nodes), Y: s.Values[k] / max(largest, 1e-9)}
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		dots.Shape = plotutil.Shape(i)
		p.Add(line, dots)
		p.Legend.Add(fmt.Sprintf("%s (most %.3g)", s.Figure, largest), line, dots)
	}
	c := vgsvg.New(22*vg.Centimeter, 14*vg.Centimeter)
	p.Draw(draw.New(c))
	_, err := c.WriteTo(w)
	return err
}
