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

// closeReason says who ended a caller's connection, and why.
type closeReason string

const (
	closedIdle    closeReason = "idle"    // idle for longer than the configuration allows
	closedStop    closeReason = "stop"    // idle while the host stops
	closedEnd     closeReason = "end"     // still open when the process ends
	closedCaller  closeReason = "caller"  // the other side closed it, or it broke
	closedLate    closeReason = "late"    // what was awaited of a request did not come in time
	closedStuck   closeReason = "stuck"   // the other side did not take an answer in time
	closedAborted closeReason = "aborted" // its handler ended without a whole answer
	closedLast    closeReason = "last"    // its answer said that it was the last one
	closedServer  closeReason = "server"  // anything else that the HTTP server ends
	// closedReadBound is not of a close: the read that notices a caller's end, while a
	// handler runs, found its time over, and the caller counts as gone.
	closedReadBound closeReason = "read_bound"
)

// connPhase is what a caller's connection is doing.
type connPhase string

const (
	phaseNew       connPhase = "new"        // not a byte has come
	phaseIdle      connPhase = "idle"       // nothing has come since the last answer
	phaseReading   connPhase = "reading"    // bytes of a request have come, its handler has not begun
	phaseHandling  connPhase = "handling"   // its handler runs
	phaseAnswering connPhase = "answering"  // its handler has returned, the server writes the rest
	phaseLateRead  connPhase = "late_read"  // bytes came out of a connection that was closed already
	phaseLateBegun connPhase = "late_begun" // a handler began with a request of such a connection
)

// maxConnLinesPerSecond is how many lines of connections are written in a second: a
// tenth of what the log's sink takes, so that other lines keep their room.
const maxConnLinesPerSecond = 500

// connLog counts the callers' connections and logs those that this host closes
// with a request under way. It decides nothing.
type connLog struct {
	log           *event.Log
	metrics       *metrics.Set
	idOf          func(http.Header) string // reads the id of a request
	processEnding atomic.Bool              // the process ends: what is open is closed

	mu     sync.Mutex
	open   map[*connTrack]struct{}
	second int64 // in which lines were written last, of the Unix time
	lines  int   // written in it
}

func newConnLog(log *event.Log, set *metrics.Set, idOf func(http.Header) string) *connLog {
	l := &connLog{log: log, metrics: set, idOf: idOf, open: map[*connTrack]struct{}{}}
	set.SetFunc(metrics.CallersOpen, func() any { return l.counts().open })
	set.SetFunc(metrics.CallersActive, func() any { return l.counts().underWay })
	return l
}

// connCounts are the connections that are open.
type connCounts struct {
	open       int
	underWay   int // something of a request has come that is not answered
	unanswered int // of those under way, the ones with a whole head
	new        int // not a byte has come
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

// track begins the account of a connection that was accepted.
func (l *connLog) track(from string) *connTrack {
	t := &connTrack{log: l, from: from, phaseSince: time.Now()}
	l.metrics.Count(metrics.CallersAccepted, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[t] = struct{}{}
	return t
}

// recordClosed accounts for a connection that was closed in the state s.
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

// recordLate accounts for bytes or a request of a connection that was closed before.
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
	l.log.Emit(event.CallerClosed, id, zap.String("reason", string(s.reason)), zap.String("phase", string(s.phase)),
		zap.Bool("unanswered", s.unanswered), zap.Int64("read_bytes", s.read), zap.Int64("written_bytes", s.written),
		zap.Int64("age_ms", s.age.Milliseconds()), zap.Int64("phase_ms", s.inPhase.Milliseconds()),
		zap.Int("requests", s.requests), zap.Int("answers", s.answers), zap.String("caller", t.from))
}

// panicked logs the panic of a handler, if it is not the usual way to end an
// answer that is not whole.
func (l *connLog) panicked(head http.Header, v any) {
	if v != http.ErrAbortHandler {
		l.log.Panic(l.idOf(head), v)
	}
}

// allowLine takes one of the lines that a second has.
func (l *connLog) allowLine(second int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	return l.lines <= maxConnLinesPerSecond
}
