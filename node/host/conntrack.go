package host

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"time"
)

// connTrack tracks one caller's connection: its phase, what was read and written, and
// why it is closed. It is safe for concurrent use.
type connTrack struct {
	log  *connLog
	from string // address of the caller

	mu          sync.Mutex
	requests    int // requests whose handler has started
	answers     int // answers after which the connection was idle
	read        int64
	readAhead   int64 // bytes of the next request that were read before the answer was complete
	written     int64 // bytes since the first byte of the request
	writing     bool
	anyRead     bool // a byte was read since the connection was accepted
	handling    bool
	returned    bool // the handler has returned, and the connection is not idle yet
	aborted     bool // the handler panicked
	head        http.Header
	firstByteAt time.Time // when the first byte of the request was read
	phaseSince  time.Time // when the phase changed

	peerClosed        bool // the caller closed the connection, or it broke
	readTimedOut      bool // a read timed out
	writeTimedOut     bool // a write timed out
	aheadReadTimedOut bool // a read of aheadReadSize timed out while a handler ran

	closeCause   closeReason // set by setCloseCause, else by close
	isClosed     bool
	lateRecorded bool // bytes read after the close were recorded
}

// connState is the state of a connection at one time.
type connState struct {
	reason     closeReason
	phase      connPhase
	unanswered bool // the head of a request was complete and its answer was not written
	read       int64
	written    int64
	requests   int
	answers    int
	head       http.Header // of the current request; nil if there is none
	age        time.Duration
	inPhase    time.Duration
}

// shouldLog reports whether this host closed the connection during a request. A close
// by the caller, or after an answer, is only counted.
func (s *connState) shouldLog() bool {
	switch {
	case s.reason == closedCaller, s.reason == closedLast:
		return false
	case s.phase == phaseReading:
		return s.written == 0
	}
	return s.phase == phaseHandling || s.phase == phaseAnswering
}

// aheadReadSize is the size, in bytes, of the reads by which the HTTP server detects a
// disconnected caller while a handler runs. What they return belongs to the next request.
const aheadReadSize = 1

// didRead records the result of a read of up to size bytes.
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
	case t.handling: // otherwise the server has ended the read, which it no longer needs
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

// recordRead records n bytes returned by a read of up to size bytes.
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
		t.written = 0 // it was an interim answer that asked for the body
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

// begin records that a handler starts with a request of the given head.
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

// end records that the handler has returned, or panicked if returned is false.
func (t *connTrack) end(returned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handling, t.returned, t.aborted, t.phaseSince = false, true, !returned, time.Now()
}

// idle records that the answer is written and the connection waits for the next request.
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

// setCloseCause sets the reason of the close that follows. Only the first call has an
// effect.
func (t *connTrack) setCloseCause(r closeReason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closeCause == "" {
		t.closeCause = r
	}
}

// close records that this side closes the connection and returns its state; ok is false
// if it was closed before.
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

// reason returns why the connection is closed now.
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

// endedBy returns why a request's connection counts as closed; "" if it does not.
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
