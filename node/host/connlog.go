package host

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
)

// closeReason is why a caller's connection was closed, and by which side.
type closeReason string

const (
	closedIdle    closeReason = "idle"    // idle for longer than the configuration allows
	closedStop    closeReason = "stop"    // idle while the host stops
	closedEnd     closeReason = "end"     // still open when the process ends
	closedCaller  closeReason = "caller"  // closed by the caller, or broken
	closedLate    closeReason = "late"    // the caller did not send the expected part of a request in time
	closedStuck   closeReason = "stuck"   // the caller did not read an answer in time
	closedAborted closeReason = "aborted" // the handler ended without a complete answer
	closedLast    closeReason = "last"    // closed by the HTTP server after an answer, as with "Connection: close"
	closedServer  closeReason = "server"  // closed by the HTTP server for any other reason
	// closedReadBound is not the reason of a close: the read that detects a disconnected
	// caller while a handler runs timed out, and the caller counts as disconnected.
	closedReadBound closeReason = "read_bound"
)

// connPhase is the phase of a request that a caller's connection is in.
type connPhase string

const (
	phaseNew       connPhase = "new"        // no byte was received
	phaseIdle      connPhase = "idle"       // no byte was received since the last answer
	phaseReading   connPhase = "reading"    // bytes of a request were received, its handler has not started
	phaseHandling  connPhase = "handling"   // the handler is running
	phaseAnswering connPhase = "answering"  // the handler has returned, the server writes the remainder of the answer
	phaseLateRead  connPhase = "late_read"  // bytes were read after the connection was closed
	phaseLateBegun connPhase = "late_begun" // a handler started after the connection was closed
)

// maxConnLinesPerSecond bounds the log lines about connections: a tenth of what the
// log's sink accepts, so that there is room for other lines.
const maxConnLinesPerSecond = 500

// connLog counts the callers' connections and logs those that this host closes
// during a request. It observes only: no connection is closed because of it.
type connLog struct {
	log           *event.Log
	metrics       *metrics.Set
	idOf          func(http.Header) string // returns the id of a request with this head
	processEnding atomic.Bool              // the process is terminating and closes all open connections

	mu     sync.Mutex
	open   map[*connTrack]struct{}
	second int64 // Unix time of the last line in seconds
	lines  int   // lines in that second, dropped ones included
}

func newConnLog(log *event.Log, set *metrics.Set, idOf func(http.Header) string) *connLog {
	l := &connLog{log: log, metrics: set, idOf: idOf, open: map[*connTrack]struct{}{}}
	set.SetFunc(metrics.CallersOpen, func() any { return l.counts().open })
	set.SetFunc(metrics.CallersActive, func() any { return l.counts().underWay })
	return l
}

// connCounts counts the open connections.
type connCounts struct {
	open       int
	underWay   int // part of a request was received and its answer is not complete
	unanswered int // of underWay, those whose request has a complete head and no answer yet
	new        int // no byte was received
}

func (l *connLog) counts() connCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := connCounts{open: len(l.open)}
	for t := range l.open {
		switch s := t.snapshot(); s.phase {
		case phaseNew:
			n.new++
		case phaseReading:
			n.underWay++
		case phaseHandling, phaseAnswering:
			n.underWay++
			if s.unanswered {
				n.unanswered++
			}
		}
	}
	return n
}

// track starts to track an accepted connection from the given remote address.
func (l *connLog) track(from string) *connTrack {
	t := &connTrack{log: l, from: from, phaseSince: time.Now()}
	l.metrics.Count(metrics.CallersAccepted, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[t] = struct{}{}
	return t
}

// recordClosed counts a connection that was closed in the state s, and logs it if
// s.shouldLog.
func (l *connLog) recordClosed(t *connTrack, s connState) {
	l.mu.Lock()
	delete(l.open, t)
	l.mu.Unlock()
	l.metrics.CountKind(metrics.CallersClosed, string(s.reason), 1)
	if s.unanswered {
		l.metrics.CountKind(metrics.CallersUnanswered, string(s.reason), 1)
	}
	if s.shouldLog() {
		l.write(t, s)
	}
}

// recordLate counts and logs bytes or a request received on a connection after its
// close, except where the caller closed it: these are not logged.
func (l *connLog) recordLate(t *connTrack, s connState) {
	if s.unanswered {
		l.metrics.CountKind(metrics.CallersUnanswered, string(s.reason), 1)
	}
	if s.reason != closedCaller {
		l.write(t, s)
	}
}

func (l *connLog) write(t *connTrack, s connState) {
	if !l.allowLine(time.Now().Unix()) {
		return
	}
	id := zap.Skip()
	if s.head != nil {
		id = zap.String("request", l.idOf(s.head))
	}
	l.log.Emit(event.CallerConnectionClosed, id, zap.String("reason", string(s.reason)), zap.String("phase", string(s.phase)),
		zap.Bool("unanswered", s.unanswered), zap.Int64("read_bytes", s.read), zap.Int64("written_bytes", s.written),
		zap.Int64("age_ms", s.age.Milliseconds()), zap.Int64("phase_ms", s.inPhase.Milliseconds()),
		zap.Int("requests", s.requests), zap.Int("answers", s.answers), zap.String("caller", t.from))
}

// panicked logs the panic of a handler, unless it is http.ErrAbortHandler, the usual
// way to abort an answer.
func (l *connLog) panicked(head http.Header, v any) {
	if v != http.ErrAbortHandler {
		l.log.Panic(l.idOf(head), v)
	}
}

// allowLine reports whether another line may be logged in the given second, and
// counts it.
func (l *connLog) allowLine(second int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	return l.lines <= maxConnLinesPerSecond
}
