package permits

import (
	"testing"
	"time"
)

func TestTable(t *testing.T) {
	for _, rate := range []float64{500, 700, 900, 1100} {
		for _, way := range []struct {
			name string
			conf simConfig
		}{
			{"off", simConfig{off: true, oneWay: 4500 * time.Microsecond}},
			{"on", simConfig{oneWay: 4500 * time.Microsecond}},
			{"off, no ways", simConfig{off: true}},
			{"off, pooled", simConfig{off: true, oneWay: 4500 * time.Microsecond, pooled: true}},
		} {
			c := way.conf
			c.seed, c.perSecond, c.span, c.engines, c.models, c.dataCentre = 1, rate, 15*time.Second, 140, 47, 4
			s := newEngineSim(c)
			s.run()
			r := s.result()
			t.Logf("%5.0f %-14s in aim %.3f late first %.3f paused %.3f (long %.3f) refused %.3f held %v %v reading %.2f", rate, way.name, r.inAim, r.lateFirst, r.paused, r.pausedLong, r.refused, r.heldMedian, r.heldP75, r.reading)
		}
	}
}
