package event

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines is how many lines may wait to be written: about half a second
	// of a busy host.
	maxQueuedLines = 4096
	// maxWriteBytes is how much is written at once.
	maxWriteBytes = 32 << 10
	// gatherPause gathers lines between two writes: a write for each line would
	// wake the process for every request once more.
	gatherPause = 20 * time.Millisecond
	// flushTimeout bounds the wait for the last lines at the end.
	flushTimeout = 500 * time.Millisecond
)

// Sink writes log lines without ever making their writer wait: when the
// reader of the log is slower than the host, lines are dropped and counted.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	flush   chan chan struct{}
}

// NewSink writes to out from a goroutine that lives as long as the process.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), flush: make(chan chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer; it never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer: it waits, within a bound, until what
// was written so far is out.
func (s *Sink) Sync() error {
	done := make(chan struct{})
	select {
	case s.flush <- done:
		<-done
	case <-time.After(flushTimeout):
	}
	return nil
}

// Dropped is how many lines were dropped since the start.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	buf := make([]byte, 0, maxWriteBytes)
	for {
		select {
		case line := <-s.lines:
			buf = s.gather(append(buf[:0], line...))
			_, _ = s.out.Write(buf)       // there is nowhere else to say that the log cannot be written
			if len(buf) < maxWriteBytes { // else there is more to write at once
				time.Sleep(gatherPause)
			}
		case done := <-s.flush:
			s.flushQueued(buf)
			close(done)
		}
	}
}

// flushQueued writes what waits, within the bound of the end: others may go on writing lines.
func (s *Sink) flushQueued(buf []byte) {
	deadline := time.Now().Add(flushTimeout)
	for buf = s.gather(buf[:0]); len(buf) > 0 && time.Now().Before(deadline); buf = s.gather(buf[:0]) {
		_, _ = s.out.Write(buf)
	}
}

// gather adds the lines that already wait.
func (s *Sink) gather(buf []byte) []byte {
	for len(buf) < maxWriteBytes {
		select {
		case line := <-s.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

// NewJSON makes a log of JSON lines at a level, written through a sink.
func NewJSON(s *Sink, level zapcore.Level) *Log {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.MessageKey = "name"
	return NewLog(zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), s, level)))
}

// Sync waits until what was written is out.
func (l *Log) Sync() { _ = l.z.Sync() }
