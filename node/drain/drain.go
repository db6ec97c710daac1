// Package drain serves HTTP on a listener so that a stop cuts no request off.
//
// What is under way is a property of a connection, not of a handler: a request
// counts from its first byte until its answer is written. The HTTP server's own
// states say less: it tells of a request when the head is whole, writes answers
// after their handler has returned, and closes what it takes for idle without
// asking whether something is being read.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Reason is why a connection without a request is closed.
type Reason string

// The reasons.
const (
	IdleTimeout Reason = "idle" // for longer than is allowed
	Shutdown    Reason = "stop" // the server stops
)

// Config is what a Server is made of.
type Config struct {
	Listener net.Listener
	// Secure wraps the listener, as for TLS; nil: connections stay plain.
	Secure func(net.Listener) net.Listener
	// Server serves the connections. Its handler and hooks become the Server's
	// own, which call those that it has.
	Server *http.Server
	// Closing is told before a connection of Listener without a request is closed;
	// nil: nobody is.
	BeforeClose func(nc net.Conn, why Reason)
}

// Server serves the connections of one listener.
type Server struct {
	cfg       Config
	startedAt time.Time
	closed    chan struct{}
	once      sync.Once

	mu      sync.Mutex
	conns   map[*conn]struct{}
	stopped bool // no connection is taken any more
}

// New makes a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, startedAt: time.Now(), closed: make(chan struct{}), conns: map[*conn]struct{}{}}
	cfg.Server.Handler = s.trackRequests(cfg.Server.Handler)
	cfg.Server.ConnState = s.trackState(cfg.Server.ConnState)
	cfg.Server.ConnContext = s.trackContext(cfg.Server.ConnContext)
	return s
}

// Serve returns when the listener fails or after Close. The closing of the
// listener alone does not end it: requests are still being finished then.
func (s *Server) Serve() error {
	var ln net.Listener = trackingListener{s.cfg.Listener, s}
	if s.cfg.Secure != nil {
		ln = s.cfg.Secure(ln)
	}
	err := s.cfg.Server.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-s.closed
		return nil
	}
	return eris.Wrap(err, "accept connections")
}

// CloseListener takes no more connections.
func (s *Server) CloseListener() { _ = s.cfg.Listener.Close() }

// CloseIdle closes the connections without a request for longer than most.
func (s *Server) CloseIdle(now time.Time, maxIdle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idleFor(now.Sub(s.startedAt)) > maxIdle {
			c.requestClose(IdleTimeout)
		}
	}
}

// DrainStep asks the connections that had an answer and have no request to close,
// and returns how many have a request or may have one still. When none has, it
// asks the new ones too; when none is left, the Server takes none any more:
// what is looked at last is then what ends.
func (s *Server) DrainStep() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.requestClose((*conn).keptAlive)
	if left == 0 {
		left = s.requestClose(func(*conn) bool { return true })
		s.stopped = left == 0
	}
	return left
}

// requestClose asks connections to close and counts those that have a request, or have
// not closed yet. The lock is held.
func (s *Server) requestClose(selected func(*conn) bool) int {
	left := 0
	for c := range s.conns {
		request := selected(c) || c.isUnused()
		if request {
			c.requestClose(Shutdown)
		}
		p := c.phase.Load()
		if p == phaseBusy || p == phaseCloseRequested || request && p == phaseIdle { // quiet again: its request was over since it was asked
			left++
		}
	}
	return left
}

// Active is the number of connections with a request that is read, handled or
// answered.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.phase.Load() == phaseBusy {
			n++
		}
	}
	return n
}

// drainPollInterval is how often Drain looks whether nothing is under way.
const drainPollInterval = 20 * time.Millisecond

// Drain takes no more connections and waits until nothing is under way, or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.CloseListener()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for s.DrainStep() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

// Close ends whatever is left.
func (s *Server) Close() {
	s.once.Do(func() { close(s.closed) })
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	_ = s.cfg.Server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Conn.Close() // one that lingers, which a second Close of TLS does not reach
	}
}

// trackRequests lets requests of open connections through, and notes what their
// handler leaves of the body.
func (s *Server) trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connKey{}).(*conn)
		if !c.tryBegin() {
			panic(http.ErrAbortHandler) // nobody can be answered, so that nothing may run
		}
		body := &trackedBody{ReadCloser: r.Body, complete: r.Body == http.NoBody}
		tracked := r.WithContext(r.Context()) // the server needs the body that it made in its own
		tracked.Body = body
		returned := false
		defer func() { c.handlerReturned(w, body, returned) }()
		h.ServeHTTP(w, tracked)
		returned = true
	})
}

// trackState follows the server's states.
func (s *Server) trackState(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(nc net.Conn, to http.ConnState) {
		if next != nil {
			next(nc, to)
		}
		c := connOf(nc)
		switch to {
		case http.StateActive:
			c.awaitsNext = false
			c.used.Store(true)
			c.tryBegin() // a head that was read while it was asked to close is served
		case http.StateIdle:
			c.awaitsNext, c.waitBounded = true, false
			c.mayHaveUnread.Store(true)
		}
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func (s *Server) trackContext(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, nc net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, connOf(nc))
	}
}

// Underlying returns the connection of a Server's Listener below one that its hooks get.
func Underlying(nc net.Conn) net.Conn { return connOf(nc).Conn }

// connOf finds the Server's connection below what Secure made of it.
func connOf(nc net.Conn) *conn {
	for {
		if c, ok := nc.(*conn); ok {
			return c
		}
		nc = nc.(interface{ NetConn() net.Conn }).NetConn()
	}
}

// trackingListener follows the connections that it accepts.
type trackingListener struct {
	net.Listener
	s *Server
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, s: l.s}
	c.mayHaveUnread.Store(true)
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if l.s.stopped {
		_ = nc.Close()
		return nil, net.ErrClosed
	}
	l.s.conns[c] = struct{}{}
	return c, nil
}
