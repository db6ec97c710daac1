package host

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/node/event"
)

// Bounds of a caller's connection that hold under every configuration.
const (
	headMost  = 64 << 10 // bytes of a request's head
	headBound = 5 * time.Second
)

// callers serves the callers' connections.
type callers struct {
	ln     net.Listener
	server *http.Server
	bound  func() time.Duration
	active atomic.Int64
	conns  *connLog
	ended  chan struct{}
	once   sync.Once

	mu   sync.Mutex
	idle map[*callerConn]time.Time
}

func newCallers(ln net.Listener, h http.Handler, idleBound func() time.Duration, conns *connLog) *callers {
	c := &callers{ln: ln, bound: idleBound, conns: conns, ended: make(chan struct{}), idle: map[*callerConn]time.Time{}}
	c.server = &http.Server{Handler: c.count(h), MaxHeaderBytes: headMost, ReadHeaderTimeout: headBound, ConnState: c.state,
		ConnContext: withConn, ErrorLog: log.New(complaints{conns.log}, "", 0)}
	return c
}

// count keeps the number of requests that a stop must wait for.
func (c *callers) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.active.Add(1)
		defer c.active.Add(-1)
		own, ok := r.Context().Value(connKey{}).(*callerConn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		c.account(h, own.track, w, r)
	})
}

// account tells track of a request's begin and end. A handler that panics ends
// its connection, as the HTTP server has it; the log then names the request.
func (c *callers) account(h http.Handler, track *connTrack, w http.ResponseWriter, r *http.Request) {
	returned := false
	track.begin(r.Header)
	defer func() {
		track.end(returned)
		if v := recover(); v != nil {
			c.conns.panicked(r.Header, v)
			panic(http.ErrAbortHandler)
		}
	}()
	h.ServeHTTP(w, r)
	returned = true
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// connGone says how the connection of a request ended; "": it has not, or that
// is not known.
func connGone(ctx context.Context) string {
	own, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return ""
	}
	return string(own.track.endedBy())
}

func (c *callers) state(nc net.Conn, s http.ConnState) {
	own, ok := nc.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != http.StateIdle {
		delete(c.idle, own)
		return
	}
	own.track.idle()
	own.phase.Store(connIdle)
	c.idle[own] = time.Now()
}

// sweep closes the connections that were idle for longer than the
// configuration in force allows, which the server's own fixed bound cannot follow.
func (c *callers) sweep(now time.Time) {
	most := c.bound()
	c.closeIf(closedIdle, func(since time.Time) bool { return now.Sub(since) > most })
}

// closeIdle closes the connections without a request and returns how many
// requests are left.
func (c *callers) closeIdle() int64 {
	c.closeIf(closedStop, func(time.Time) bool { return true })
	return c.active.Load()
}

func (c *callers) closeIf(why closeReason, due func(since time.Time) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for own, since := range c.idle {
		if due(since) && own.phase.CompareAndSwap(connIdle, connClosing) {
			own.track.closeFor(why)
			_ = own.Close()
			delete(c.idle, own)
		}
	}
}

// closeListener takes no more connections.
func (c *callers) closeListener() { _ = c.ln.Close() }

// serve returns when the listener fails or after close. The closing of the
// listener alone does not end it: requests are still being finished then.
func (c *callers) serve() error {
	err := c.server.Serve(callerListener{c.ln, c.conns})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-c.ended
		return nil
	}
	return err
}

// close ends whatever is left.
func (c *callers) close() {
	c.once.Do(func() { close(c.ended) })
	c.conns.ending.Store(true)
	_ = c.server.Close()
}

// The phases of a caller's connection between two requests.
const (
	connActive  int32 = iota // a request is being read or answered
	connIdle                 // nothing came since the last answer
	connClosing              // this host ends it
)

// callerConn knows, from the first byte on, that a request is being read. The
// HTTP server tells only once it has the whole head; a connection that is
// closed for being idle until then cuts off a request that was read.
type callerConn struct {
	net.Conn
	phase atomic.Int32
	track *connTrack
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.phase.CompareAndSwap(connIdle, connActive)
	}
	c.track.didRead(len(p), n, err)
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	c.track.willWrite()
	n, err := c.Conn.Write(p)
	c.track.didWrite(n, err)
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	s, first := c.track.close()
	err := c.Conn.Close()
	if first {
		c.track.all.closed(c.track, s)
	}
	return err
}

// callerListener makes the connections that it accepts callerConns.
type callerListener struct {
	net.Listener
	conns *connLog
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: nc, track: l.conns.track(nc.RemoteAddr().String())}, nil
}

// complaints passes on what the HTTP server has to say.
type complaints struct{ log *event.Log }

// Write implements io.Writer.
func (c complaints) Write(p []byte) (int, error) {
	c.log.Emit(event.ConnectionComplaint, zap.ByteString("text", p), zap.String("where", "callers"))
	return len(p), nil
}
