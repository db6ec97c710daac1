package host

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"time"
)

// connTrack is the account of one caller's connection: what was read and
// answered, and who closes it.
type connTrack struct {
	log  *connLog
	from string // address of the other side

	mu          sync.Mutex
	requests    int // begun by a handler
	answers     int // after which the connection was idle
	read        int64
	readAhead   int64 // bytes of the next request that came before the answer was done
	written     int64 // since the first byte of the request
	writing     bool
	anyRead     bool // a byte has come at all
	handling    bool
	returned    bool // the handler has, and the connection is not idle yet
	aborted     bool // the handler panicked
	head        http.Header
	firstByteAt time.Time // when the first byte of the request came
	phaseSince  time.Time // when the phase changed

	peerClosed        bool // the other side has closed, or the connection is broken
	readTimedOut      bool // a read found its time over
	writeTimedOut     bool // a write found its time over
	aheadReadTimedOut bool // the read beside a handler found its time over

	closeCause   closeReason // that was asked for
	isClosed     bool
	lateRecorded bool
}

// connState is a connection's state at one moment.
type connState struct {
	reason     closeReason
	phase      connPhase
	unanswered bool // the head of a request was whole and its answer was not written
	read       int64
	written    int64
	requests   int
	answers    int
	head       http.Header // of the request under way; nil: none
	age        time.Duration
	inPhase    time.Duration
}

// shouldLog says whether this host ended a connection with something under way.
// A caller that goes is counted only, as are the ends that follow an answer.
func (s *connState) shouldLog() bool {
	switch {
	case s.reason == closedCaller, s.reason == closedLast:
		return false
	case s.phase == phaseReading:
		return s.written == 0
	}
	return s.phase == phaseHandling || s.phase == phaseAnswering
}

// aheadReadSize is the size of the reads by which the HTTP server notices, while a
// handler runs, that the caller is gone. What they bring is of the next request.
const aheadReadSize = 1

// didRead notes what a read of up to size bytes brought.
func (t *connTrack) didRead(size, n int, err error) {
	t.mu.Lock()
	if n > 0 {
		t.recordRead(size, int64(n))
	}
	switch {
	case err == nil || t.isClosed:
	case !errors.Is(err, os.ErrDeadlineExceeded):
		t.peerClosed = true
	case size > aheadReadSize:
		t.readTimedOut = true
	case t.handling: // else the server has ended the read, as it needs no more of it
		t.aheadReadTimedOut = true
	}
	if n <= 0 || !t.isClosed || t.lateRecorded {
		t.mu.Unlock()
		return
	}
	t.lateRecorded = true
	s := t.state()
	t.mu.Unlock()
	s.phase = phaseLateRead
	t.log.recordLate(t, s)
}

// recordRead counts n bytes that were read.
func (t *connTrack) recordRead(size int, n int64) {
	t.anyRead = true
	if t.read+t.readAhead == 0 {
		t.firstByteAt = time.Now()
		t.phaseSince = t.firstByteAt
	}
	if size <= aheadReadSize {
		t.readAhead += n
		return
	}
	t.read += n
	if t.handling {
		t.written = 0 // an interim answer that asked for the body
	}
}

func (t *connTrack) willWrite() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writing = true
}

func (t *connTrack) didWrite(n int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writing = false
	t.written += int64(n)
	switch {
	case err == nil || t.isClosed:
	case errors.Is(err, os.ErrDeadlineExceeded):
		t.writeTimedOut = true
	default:
		t.peerClosed = true
	}
}

// begin notes that a handler begins with the request of that head.
func (t *connTrack) begin(head http.Header) {
	t.mu.Lock()
	t.requests++
	t.handling, t.head, t.phaseSince = true, head, time.Now()
	if !t.isClosed {
		t.mu.Unlock()
		return
	}
	s := t.state()
	t.mu.Unlock()
	s.phase = phaseLateBegun
	t.log.recordLate(t, s)
}

// end notes that the handler has returned, or panicked.
func (t *connTrack) end(returned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handling, t.returned, t.aborted, t.phaseSince = false, true, !returned, time.Now()
}

// idle notes that the answer is written and the next request awaited.
func (t *connTrack) idle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers++
	t.handling, t.returned, t.head, t.phaseSince = false, false, nil, time.Now()
	t.read, t.readAhead, t.written = t.readAhead, 0, 0
	if t.read > 0 {
		t.firstByteAt = t.phaseSince
	}
}

// setCloseCause names the reason of the close that follows. The first one counts.
func (t *connTrack) setCloseCause(r closeReason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closeCause == "" {
		t.closeCause = r
	}
}

// close notes that this side closes the connection; ok is false when it did so before.
func (t *connTrack) close() (s connState, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isClosed {
		return connState{}, false
	}
	t.closeCause = t.reason()
	t.isClosed = true
	return t.state(), true
}

// reason says why the connection is closed now.
func (t *connTrack) reason() closeReason {
	switch {
	case t.closeCause != "":
		return t.closeCause
	case t.peerClosed:
		return closedCaller
	case t.aborted && t.returned:
		return closedAborted
	case t.writeTimedOut:
		return closedStuck
	case t.log.processEnding.Load():
		return closedEnd
	case t.returned && t.written > 0:
		return closedLast
	case t.readTimedOut:
		return closedLate
	}
	return closedServer
}

// endedBy says why a request's connection counts as ended; "": it does not.
func (t *connTrack) endedBy() closeReason {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.isClosed:
		return t.closeCause
	case t.peerClosed:
		return closedCaller
	case t.writeTimedOut:
		return closedStuck
	case t.aheadReadTimedOut:
		return closedReadBound
	}
	return ""
}

func (t *connTrack) snapshot() connState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state()
}

func (t *connTrack) state() connState {
	s := connState{reason: t.closeCause, phase: t.phase(), read: t.read + t.readAhead, written: t.written,
		requests: t.requests, answers: t.answers, head: t.head, inPhase: time.Since(t.phaseSince)}
	if s.read > 0 {
		s.age = time.Since(t.firstByteAt)
	}
	switch s.phase {
	case phaseHandling:
		s.unanswered = true
	case phaseAnswering:
		s.unanswered = t.aborted || t.writing || t.written == 0
	}
	return s
}

func (t *connTrack) phase() connPhase {
	switch {
	case t.handling:
		return phaseHandling
	case t.returned:
		return phaseAnswering
	case t.read > 0:
		return phaseReading
	case t.anyRead:
		return phaseIdle
	}
	return phaseNew
}
