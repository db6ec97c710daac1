package dispatch

import (
	"strconv"
	"testing"

	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
)

// discardSink is a caller that discards its answer.
type discardSink struct{}

func (discardSink) WriteHead(Head)     {}
func (discardSink) Write([]byte) error { return nil }
func (discardSink) Flush() error       { return nil }

// BenchmarkForwardToken forwards one token's event per iteration; its allocations
// are those of each forwarded token.
func BenchmarkForwardToken(b *testing.B) {
	d := New(Config{}, Deps{Log: event.NewLog(nil), Metrics: metrics.New()})
	a := &attempt{d: d, w: &Work{Stream: true}, out: &output{sink: discardSink{}, started: true}, id: "a-1"}
	a.split.attempt = []byte(a.id)
	buf := bufferPool.Get().(*buffers)
	var ev []byte
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ev = append(ev[:0], "id: a-1."...)
		ev = strconv.AppendInt(ev, int64(i+1), 10)
		ev = append(ev, "\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\" word\"}}]}\n\n"...)
		a.watch.recordRead()
		if _, err := a.forwardEvents(buf, ev); err != nil {
			b.Fatal(err)
		}
	}
}
