package local_test

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/standin/local"
)

func TestSlopesFitGrowingAndConstantFigures(t *testing.T) {
	runs := []local.FleetReport{{Nodes: 10, PeerBytes: 300, TableReads: 7}, {Nodes: 30, PeerBytes: 300, TableReads: 17}, {Nodes: 50, PeerBytes: 300, TableReads: 27}}
	for _, s := range local.FitSlopes(runs) {
		switch s.Figure {
		case "peer bytes/s a host":
			assert.Assert(t, math.Abs(s.PerHost) < 1e-9 && math.Abs(s.AtDesignSize-300) < 1e-6, "%+v", s)
		case "table reads/s in all":
			assert.Assert(t, math.Abs(s.PerHost-0.5) < 1e-9 && math.Abs(s.AtDesignSize-212) < 1e-6, "%+v", s)
		}
	}
	var svg strings.Builder
	assert.NilError(t, local.PlotSlopes(&svg, runs))
	assert.Assert(t, strings.Contains(svg.String(), "<svg"))
}
