// Package connlimit bounds what clients can make a process hold: how many connections they
// have, and how much memory their requests take that have been read and are not finished.
//
// A bound on one request does not do that: many clients that each send most of a request
// within the limits, and then nothing, would take all memory and all descriptors. When a
// bound is exceeded, the connections are closed that hold most, or that have gone longest
// without completing a request; others are served. A request by itself is never closed for
// what it holds.
package connlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Reason is why a connection was closed.
type Reason string

// The reasons.
const (
	ByConns Reason = "connections" // there are too many connections
	ByBytes Reason = "bytes"       // unfinished requests hold too much memory
)

// How much memory a byte takes. Many short fields of a head take most, since each is an entry of
// a map. A message is received in a buffer that doubles, and copied.
const (
	headWeight    = 16
	messageWeight = 3
	bodyWeight    = 1
)

const (
	// smallRequest is how many bytes of memory a request holds at most that finds room when those
	// that hold more have taken largeShare of the bytes.
	smallRequest = 64 << 10
	largeShare   = 0.9
)

// Closed describes a connection that a Limiter closed.
type Closed struct {
	Listener string
	Client   string // its address
	Reason   Reason
	Held     int64         // bytes
	Age      time.Duration // since its request began, or since it was opened
}

// Config configures a Limiter.
type Config struct {
	MaxConns int   // connections at once; 0: unlimited
	MaxBytes int64 // memory of unfinished requests, of all connections together; 0: unlimited
	// OnClosed is called for each connection that the Limiter closes. It must not block.
	OnClosed func(Closed)
}

// Limiter bounds the connections of some listeners together. Its mutex is held while no
// I/O is done; that of a connection may be taken under it.
type Limiter struct {
	cfg  Config
	held atomic.Int64 // bytes, by all connections

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New returns a Limiter without connections.
func New(cfg Config) *Limiter {
	if cfg.OnClosed == nil {
		cfg.OnClosed = func(Closed) {}
	}
	return &Limiter{cfg: cfg, conns: map[*Conn]struct{}{}}
}

// Held returns the number of connections and the bytes that they hold.
func (l *Limiter) Held() (conns int, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.held.Load()
}

// Listen returns a listener whose connections l bounds; name is that of the listener in
// logs. A server of HTTP must be bound to it with Bind.
func (l *Limiter) Listen(ln net.Listener, name string) net.Listener {
	return &listener{Listener: ln, limiter: l, name: name}
}

// ListenForMessages is Listen for a protocol in which each write of the server answers what
// it has read before.
func (l *Limiter) ListenForMessages(ln net.Listener, name string) net.Listener {
	return &listener{Listener: ln, limiter: l, name: name, writesFinish: true}
}

type listener struct {
	net.Listener
	limiter      *Limiter
	name         string
	writesFinish bool
}

// Accept implements net.Listener.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		nc, err := ln.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, listener: ln, since: time.Now()}
		if ln.limiter.add(c) {
			return c, nil
		}
		c.closeFor(ByConns)
	}
}

// add adds a connection, for which it closes another one if there are too many. It returns
// false if each of them is being served.
func (l *Limiter) add(c *Conn) bool {
	l.mu.Lock()
	victim, full := l.victimForLocked(c)
	l.mu.Unlock()
	if victim != nil {
		victim.closeFor(ByConns)
	}
	return !full
}

// victimForLocked adds a connection, and returns the one that is to be closed for it, if any.
func (l *Limiter) victimForLocked(c *Conn) (victim *Conn, full bool) {
	if l.cfg.MaxConns > 0 && len(l.conns) >= l.cfg.MaxConns {
		if victim = l.leastUsefulLocked(); victim == nil {
			return nil, true
		}
		delete(l.conns, victim)
	}
	l.conns[c] = struct{}{}
	return victim, false
}

// leastUsefulLocked returns the connection to close for a new one: of those that have never
// had an answer, the one that has gone longest without a complete request; else of the
// others, else the one that has been idle longest; nil: each is being served.
func (l *Limiter) leastUsefulLocked() *Conn {
	var found *Conn
	var best connState
	for c := range l.conns {
		if s := c.snapshot(); s.phase != serving && (found == nil || s.isLessUseful(best)) {
			found, best = c, s
		}
	}
	return found
}

// isLessUseful compares two connections none of which is being served.
func (s connState) isLessUseful(than connState) bool {
	switch {
	case s.answered != than.answered:
		return !s.answered
	case s.phase != than.phase:
		return s.phase == incomplete
	}
	return s.since.Before(than.since)
}

// largestLocked returns the connection that holds most of those whose request is not
// complete; nil: none holds more than least bytes, or no other connection holds anything.
func (l *Limiter) largestLocked(least int64) *Conn {
	var largest *Conn
	most, holders := least, 0
	for c := range l.conns {
		s := c.snapshot()
		if s.held > 0 {
			holders++
		}
		if s.phase == incomplete && s.held > most {
			largest, most = c, s.held
		}
	}
	if holders < 2 {
		return nil
	}
	return largest
}

// enforceBytes refuses requests while they hold too much: large ones early, since those that
// are being served may hold almost all, and small ones must still find room.
func (l *Limiter) enforceBytes() {
	if l.cfg.MaxBytes == 0 {
		return
	}
	l.refuseAbove(int64(largeShare*float64(l.cfg.MaxBytes)), smallRequest)
	l.refuseAbove(l.cfg.MaxBytes, 0)
}

// refuseAbove refuses requests that hold more than least while the sum is above max, both in
// bytes.
func (l *Limiter) refuseAbove(max, least int64) {
	for l.held.Load() > max {
		l.mu.Lock()
		victim := l.largestLocked(least)
		l.mu.Unlock()
		if victim == nil {
			return // all belongs to requests that are being served, or to one, or to small ones
		}
		victim.refuse()
	}
}

// Retain adds memory that is held for a client after its request was answered, until release is
// called, once.
func (l *Limiter) Retain(bytes int64) (release func()) {
	l.held.Add(bytes)
	l.enforceBytes()
	return func() { l.held.Add(-bytes) }
}

// remove forgets a connection.
func (l *Limiter) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
