package load_test

import (
	"testing"
	"time"

	"peridotpier.example/core/class"
	"peridotpier.example/standin/load"
)

// BenchmarkGenerator sends two thousand calls per second for two seconds to an
// entry host and engine that cost almost nothing: the latency that it measures is
// the share of the generator in every other figure.
func BenchmarkGenerator(b *testing.B) {
	for b.Loop() {
		st := newSite(b)
		src := source(load.KindService)
		src.Curve = load.Curve{Points: []load.Point{{AtSeconds: 0, PerSecond: 2000}}}
		res := load.Run(b.Context(), load.Config{Plan: load.Plan(1, 2*time.Second, []load.Source{src}),
			Entries: load.NewBalancer(st.entry.Listener.Addr().String())})
		q := load.QuantilesOf(res.Latency[class.Standard].Total)
		b.ReportMetric(float64(len(res.Invocations))/res.Elapsed.Seconds(), "requests/s")
		b.ReportMetric(q.P50, "p50-ms")
		b.ReportMetric(q.P99, "p99-ms")
	}
}
