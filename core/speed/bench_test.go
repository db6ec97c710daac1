package speed_test

import (
	"testing"
	"time"

	"peridotpier.example/core/speed"
)

// BenchmarkEngineTime measures the cost of each entry of a host's demand for the lease
// holder: 71 ns.
func BenchmarkEngineTime(b *testing.B) {
	m := speed.Estimator{Own: &speed.Observations{}, Service: &speed.Observations{}}
	for range 100 {
		m.AddPrompt(3000, 2000)
		m.Read(2000, 100*time.Millisecond)
		m.AddGeneration(100, time.Second)
	}
	for b.Loop() {
		m.EngineTime(3000, 100, 64)
	}
}
