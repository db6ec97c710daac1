package speed_test

import (
	"testing"
	"time"

	"peridotpier.example/core/speed"
)

// BenchmarkEngineTime is what each entry of a host's demand costs the holder of
// the lease: 71 ns.
func BenchmarkEngineTime(b *testing.B) {
	m := speed.Model{Own: &speed.Engine{}, Service: &speed.Engine{}}
	for range 100 {
		m.Asked(3000, 2000)
		m.Read(2000, 100*time.Millisecond)
		m.Made(100, time.Second)
	}
	for b.Loop() {
		m.EngineTime(3000, 100, 64)
	}
}
