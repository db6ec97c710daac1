package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/fleet"
)

// BenchmarkEndpoints measures the snapshots of all upstreams for one pick, where they state
// nothing and where they state how long work takes.
func BenchmarkEndpoints(b *testing.B) {
	for _, n := range []int{7, 60, 300, 986} {
		for _, states := range []bool{false, true} {
			now := time.Unix(1_700_000_000, 0)
			f := fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return now }})
			var all []deploy.Upstream
			for i := range n {
				all = append(all, upstream(fmt.Sprint(i), 4))
			}
			f.Apply(all, nil, 0)
			entries := f.EntriesOfService("s")
			for _, e := range entries {
				if states {
					e.RecordSlowdown(1.3, now)
					e.RecordSpeed(1.2, now)
				}
			}
			b.Run(fmt.Sprintf("%d/states=%t", n, states), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(time.Millisecond)
					for _, e := range entries {
						e.Endpoint(&fleet.Request{}, now)
					}
				}
			})
		}
	}
}
