package conn

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkSentRequests records sends of requests that are never alike, at the rate of one host.
func BenchmarkSentRequests(b *testing.B) {
	const interval = time.Second / 18
	var s sentRequests
	now := time.Unix(0, 0)
	ids := make([]string, 4096)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i*0x9e3779b9)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(interval)
		s.add(ids[i%len(ids)], now)
	}
}

// BenchmarkSentMemory reports the bytes of a full record.
func BenchmarkSentMemory(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for _, sends := range []int{2160, 2 * maxSent} {
		b.Run(fmt.Sprint(sends), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				s := &sentRequests{}
				now := time.Unix(0, 0)
				for i := range sends {
					now = now.Add(2 * sentTime / time.Duration(sends))
					s.add(fmt.Sprintf("%016x", i*0x9e3779b9), now)
				}
				b.ReportMetric(float64(heap()-before)/float64(sends), "B/send")
				runtime.KeepAlive(s)
			}
		})
	}
}
