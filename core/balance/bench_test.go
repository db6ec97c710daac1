package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"peridotpier.example/core/balance"
)

// BenchmarkPick measures a pick among upstreams that are equal, or that differ in speed.
// The number of upstreams that have a model grows with the deployment.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{7, 60, 300, 986} {
		for _, unlike := range []bool{false, true} {
			endpoints := make([]balance.Endpoint, n)
			r := request
			for i := range endpoints {
				endpoints[i] = engine(fmt.Sprint(i), func(e *balance.Endpoint) { e.PendingPromptTokens = i * 7 % 2000 })
				if unlike {
					endpoints[i].Slowdown = 1 + float64(i%3)/2
					r.Usual = balance.Times{PrefillMsPerToken: 0.04, StepMs: 10}
				}
			}
			b.Run(fmt.Sprintf("%d/unlike=%t", n, unlike), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					balance.Pick(endpoints, &r, rand.Float64)
				}
			})
		}
	}
}
