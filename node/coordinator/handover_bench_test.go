package coordinator

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/demand"
)

// BenchmarkHandover measures the handover that a former holder sends to each host, at
// the sizes of a small and of a grown deployment; B is its length.
func BenchmarkHandover(b *testing.B) {
	for _, size := range []struct{ upstreams, models int }{{9, 18}, {60, 131}, {2500, 720}} {
		b.Run(fmt.Sprintf("%d upstreams, %d models", size.upstreams, size.models), func(b *testing.B) {
			k := &clock{time.Unix(1_700_000_000, 0)}
			c := newHolder(k, "a")
			c.takeLease(1)
			for i := range size.upstreams {
				c.RecordOrder(fmt.Sprintf("i-%010d", i))
			}
			var all []*coordpb.Demand
			for i := range size.models {
				all = append(all, &coordpb.Demand{Service: "models", Model: fmt.Sprintf("model-%04d", i), Requests: 1, PatienceMs: 1000})
			}
			c.demand.Add(all, "", func(demand.Key, int, int) time.Duration { return 50 * time.Millisecond }, k.now)
			k.now = k.now.Add(300 * time.Millisecond)
			for b.Loop() {
				c.currentHandover(false, k.now)
			}
			b.ReportMetric(float64(proto.Size(c.currentHandover(false, k.now))), "B")
		})
	}
}
