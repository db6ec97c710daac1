package replica_test

import (
	"fmt"
	"testing"
	"time"

	"peridotpier.example/core/replica"
)

// BenchmarkPlan measures one plan while a twentieth of the models has most of the demand, so
// that loads collide, callers lack replicas and every kind of move is looked for.
func BenchmarkPlan(b *testing.B) {
	for _, s := range []struct{ upstreams, models int }{{140, 242}, {3000, 698}, {4000, 698}} {
		for _, policy := range []replica.Policy{evenLoads(), replica.DefaultPolicy} {
			b.Run(fmt.Sprintf("%d upstreams, %d models, even loads %t", s.upstreams, s.models, policy.EvenLoads), func(b *testing.B) {
				d := newDeployment(policy, 1, 4, s.upstreams, s.models, func(u int) []int {
					return []int{(3 * u) % s.models, (3*u + 1) % s.models, (3*u + 2) % s.models}
				})
				hot := s.models / 20
				var all []loadOf
				for m := range s.models {
					engines := 0.02
					if m < hot {
						engines = 0.5 * float64(s.upstreams) / float64(hot)
					}
					for dc := range 4 {
						all = append(all, loadOf{model: modelName(m), dataCentre: fmt.Sprint("d", dc), rank: m % 3, engines: engines * float64(dc+1) / 10})
					}
				}
				d.now = time.Minute
				d.demand(all)
				d.describe()
				b.ReportAllocs()
				for b.Loop() {
					policy.Plan(d.in)
				}
			})
		}
	}
}
