// Package drain serves HTTP on a listener so that a shutdown interrupts no
// request.
//
// Whether a request is in progress is a property of a connection, not of a
// handler: a request counts from its first byte until its answer is written. The
// states that the HTTP server reports are not sufficient: it reports a request
// only when the head is complete, writes answers after their handler has
// returned, and closes connections that it considers idle without checking
// whether a request is being read.
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

// Reason is the reason why a connection without a request is closed.
type Reason string

// The reasons.
const (
	IdleTimeout Reason = "idle" // the connection was idle for longer than allowed
	Shutdown    Reason = "stop" // the server shuts down
)

// Config configures a Server.
type Config struct {
	Listener net.Listener
	// Secure wraps the listener, for example with TLS; with nil, connections are
	// not secured.
	Secure func(net.Listener) net.Listener
	// Server serves the connections. New replaces its handler and hooks by its
	// own, which call the original ones.
	Server *http.Server
	// BeforeClose, if not nil, is called before a connection of Listener without a
	// request is closed.
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
	stopped bool // no further connection is accepted
}

// New returns a Server for cfg. It replaces the handler, ConnState and ConnContext of
// cfg.Server by its own, which call the previous ones.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, startedAt: time.Now(), closed: make(chan struct{}), conns: map[*conn]struct{}{}}
	cfg.Server.Handler = s.trackRequests(cfg.Server.Handler)
	cfg.Server.ConnState = s.trackState(cfg.Server.ConnState)
	cfg.Server.ConnContext = s.trackContext(cfg.Server.ConnContext)
	return s
}

// Serve accepts connections until the listener fails or Close is called. It does
// not return when only the listener is closed, because requests may still be in
// progress then.
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

// CloseListener closes the listener, so that no further connection is accepted.
func (s *Server) CloseListener() { _ = s.cfg.Listener.Close() }

// CloseIdle closes the connections that have had no request for longer than
// maxIdle. Connections that have not had an answer yet are not idle.
func (s *Server) CloseIdle(now time.Time, maxIdle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idleFor(now.Sub(s.startedAt)) > maxIdle {
			c.requestClose(IdleTimeout)
		}
	}
}

// DrainStep asks the connections to close that have had an answer and have no
// request, and returns how many have a request or may still have one. If none
// has, it also asks the connections that have not had a request yet. If none is
// left then, the Server accepts no further connection, so that the result 0 is
// final.
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

// requestClose asks connections to close, and returns how many have a request or
// have not closed yet. s.mu is held.
func (s *Server) requestClose(selected func(*conn) bool) int {
	left := 0
	for c := range s.conns {
		shouldClose := selected(c) || c.isUnused()
		if shouldClose {
			c.requestClose(Shutdown)
		}
		p := c.phase.Load()
		if p == phaseBusy || p == phaseCloseRequested || shouldClose && p == phaseIdle { // idle again: it had a request, which ended, after it was asked to close
			left++
		}
	}
	return left
}

// Active returns the number of connections with a request that is being read,
// handled or answered.
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

// drainPollInterval is the time between the checks of Drain whether a request is
// in progress.
const drainPollInterval = 20 * time.Millisecond

// Drain accepts no further connections and waits until no request is in
// progress, or until ctx ends.
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

// Close closes all remaining connections.
func (s *Server) Close() {
	s.once.Do(func() { close(s.closed) })
	s.mu.Lock()
	s.stopped = true
	for c := range s.conns {
		if c.resetOnClose.Load() {
			_ = c.Conn.Close() // before TLS says that the end is in order
		}
	}
	s.mu.Unlock()
	_ = s.cfg.Server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Conn.Close() // one that lingers: it is already in Close, and a second Close of its TLS connection does not reach it
	}
}

// trackRequests returns a handler that admits requests of open connections and
// tracks whether h reads the whole body.
func (s *Server) trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connKey{}).(*conn)
		if !c.tryBegin() {
			panic(http.ErrAbortHandler) // no answer can be written, so that the handler must not run
		}
		body := &trackedBody{ReadCloser: r.Body, complete: r.Body == http.NoBody}
		tracked := r.WithContext(r.Context()) // the server needs its own body in its own request
		tracked.Body = body
		returned := false
		defer func() { c.handlerReturned(w, body, returned) }()
		h.ServeHTTP(w, tracked)
		returned = true
	})
}

// trackState returns a hook that tracks the HTTP server's states and calls next
// first.
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
			c.tryBegin() // a head that was read while the close was requested is served
		case http.StateIdle:
			c.awaitsNext, c.waitBounded = true, false
			c.mayHaveUnread.Store(true)
		}
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// trackContext returns a hook that adds the connection to the context, after
// next.
func (s *Server) trackContext(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, nc net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, connOf(nc))
	}
}

// Underlying returns the connection of Config.Listener below one that the HTTP
// server's hooks get.
func Underlying(nc net.Conn) net.Conn { return connOf(nc).Conn }

// connOf returns the Server's connection below the one that Secure made of it.
func connOf(nc net.Conn) *conn {
	for {
		if c, ok := nc.(*conn); ok {
			return c
		}
		nc = nc.(interface{ NetConn() net.Conn }).NetConn()
	}
}

// trackingListener tracks the connections that it accepts.
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
