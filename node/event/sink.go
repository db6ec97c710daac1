package event

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines is how many lines may wait to be written: those of about half
	// a second on a busy host.
	maxQueuedLines = 4096
	// maxWriteBytes is how many bytes are gathered for one write; the last line
	// may exceed it.
	maxWriteBytes = 32 << 10
	// gatherPause is the time between two writes in which lines are gathered: one
	// write per line would wake the process once more for every request.
	gatherPause = 20 * time.Millisecond
	// flushTimeout bounds the time to write the last lines when the process stops.
	flushTimeout = 500 * time.Millisecond
)

// Sink writes log lines without ever blocking their writer: when the reader of
// the log is slower than the host, lines are dropped and counted.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	flush   chan chan struct{}
}

// NewSink returns a sink that writes to out from a goroutine that runs until the
// process ends.
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

// Sync implements zapcore.WriteSyncer. It waits until the lines written so far
// have reached the output; the sink must begin to flush within flushTimeout.
func (s *Sink) Sync() error {
	done := make(chan struct{})
	select {
	case s.flush <- done:
		<-done
	case <-time.After(flushTimeout):
	}
	return nil
}

// Dropped returns how many lines were dropped since the start.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	buf := make([]byte, 0, maxWriteBytes)
	for {
		select {
		case line := <-s.lines:
			buf = s.gather(append(buf[:0], line...))
			_, _ = s.out.Write(buf)       // there is nowhere else to report that the log cannot be written
			if len(buf) < maxWriteBytes { // otherwise more lines wait, which are written at once
				time.Sleep(gatherPause)
			}
		case done := <-s.flush:
			s.flushQueued(buf)
			close(done)
		}
	}
}

// flushQueued writes the queued lines, for at most flushTimeout: other goroutines
// may keep adding lines.
func (s *Sink) flushQueued(buf []byte) {
	deadline := time.Now().Add(flushTimeout)
	for buf = s.gather(buf[:0]); len(buf) > 0 && time.Now().Before(deadline); buf = s.gather(buf[:0]) {
		_, _ = s.out.Write(buf)
	}
}

// gather appends the lines that are already queued, until buf holds maxWriteBytes.
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

// NewJSON returns a log that writes JSON lines of at least a level through a sink.
func NewJSON(s *Sink, level zapcore.Level) *Log {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.MessageKey = "name"
	return NewLog(zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), s, level)))
}

// Sync flushes the log, as Sink.Sync does.
func (l *Log) Sync() { _ = l.z.Sync() }
