package event_test

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/node/event"
)

// blockedWriter is a log output that blocks until its gate is closed.
type blockedWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Guards against requests that hang although upstreams answer: the reader of the
// log stops reading, and writing a log line waits for it.
func TestAFullLogDropsAndCountsInsteadOfBlocking(t *testing.T) {
	out := &blockedWriter{gate: make(chan struct{})}
	sink := event.NewSink(out)
	log := event.NewJSON(sink, zapcore.InfoLevel)
	start := time.Now()
	for range 20_000 {
		log.Emit(event.RequestServed, zap.String("request", "r"))
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	assert.Assert(t, sink.Dropped() > 10_000, "%d", sink.Dropped())
	close(out.gate)
	log.Sync()
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Assert(t, strings.Contains(out.buf.String(), `"request_served"`))
}

const (
	// fullWrite is how many bytes the sink gathers for one write, and pause the time that it
	// gathers them in when fewer wait.
	fullWrite = 32 << 10
	pause     = 20 * time.Millisecond
)

// timedWriter records how long after each full write the next one began.
type timedWriter struct {
	mu        sync.Mutex
	lines     int
	fullSince time.Time // end of the last write, if it was full
	gaps      []time.Duration
}

func (w *timedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fullSince.IsZero() {
		w.gaps = append(w.gaps, time.Since(w.fullSince))
	}
	w.lines += bytes.Count(p, []byte{'\n'})
	if w.fullSince = (time.Time{}); len(p) >= fullWrite {
		w.fullSince = time.Now()
	}
	return len(p), nil
}

// Guards against missing lines in a busy host's log, also those of its shutdown,
// although its reader is fast: lines arrive faster than one write per pause takes
// them, if the pause that gathers lines is made after full writes too.
func TestAQuickReaderGetsEveryLine(t *testing.T) {
	const perRound, rounds = 2000, 10
	out := &timedWriter{}
	sink := event.NewSink(out)
	log := event.NewJSON(sink, zapcore.InfoLevel)
	for round := range rounds {
		for range perRound {
			log.Emit(event.RequestServed, zap.String("request", strings.Repeat("r", 200)))
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			out.mu.Lock()
			defer out.mu.Unlock()
			if out.lines < (round+1)*perRound {
				return poll.Continue("%d lines, %d dropped", out.lines, sink.Dropped())
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
	}
	assert.Equal(t, sink.Dropped(), int64(0))
	out.mu.Lock()
	defer out.mu.Unlock()
	slices.Sort(out.gaps)
	assert.Assert(t, len(out.gaps) > rounds, "%d full writes", len(out.gaps))
	assert.Assert(t, out.gaps[len(out.gaps)/4] < pause, "no pause after a full write, while more lines wait: %v", out.gaps)
}

// Guards against losing the last lines of a process without counting them as
// dropped: the requests in progress end together when the process stops, each
// writes a line, and the last flush makes only one write.
func TestTheLastLinesAreAllWritten(t *testing.T) {
	const lines = 2000
	for range 8 { // the sink receives lines and the flush in any order
		out := &blockedWriter{gate: make(chan struct{})}
		sink := event.NewSink(out)
		log := event.NewJSON(sink, zapcore.InfoLevel)
		for range lines {
			log.Emit(event.RequestServed, zap.String("request", "9c41d07be2a35f68"))
		}
		synced := make(chan struct{})
		go func() { defer close(synced); log.Sync() }()
		time.Sleep(10 * time.Millisecond) // the flush is waiting when the first write completes
		close(out.gate)
		<-synced
		out.mu.Lock()
		assert.Equal(t, sink.Dropped(), int64(0))
		assert.Equal(t, strings.Count(out.buf.String(), `"request_served"`), lines)
		out.mu.Unlock()
	}
}

// BenchmarkRequestLines measures the logging cost of a request: one line when it
// is sent and one when it ends.
func BenchmarkRequestLines(b *testing.B) {
	out := &blockedWriter{gate: make(chan struct{})}
	close(out.gate)
	log := event.NewJSON(event.NewSink(out), zapcore.InfoLevel)
	b.ReportAllocs()
	for b.Loop() {
		log.Emit(event.RequestSent, zap.String("request", "9c41d07be2a35f68"), zap.String("route", "r-hh2b9wu"), zap.String(event.FieldPeer, "i-7f3a91c2"),
			zap.Int("among", 12), zap.Int("load", 9), zap.Int("waiting", 1573), zap.Int64("predicted_ms", 96), zap.Uint64("version", 31), zap.Int64("held_ms", 12))
		log.Emit(event.RequestServed, zap.String("request", "9c41d07be2a35f68"), zap.String("route", "r-hh2b9wu"), zap.String(event.FieldPeer, "i-7f3a91c2"),
			zap.Int("status", 200), zap.Int("sends", 1), zap.Int64("took_ms", 640), zap.Int64("first_ms", 310), zap.Int64("pause_ms", 130))
	}
}
