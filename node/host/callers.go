package host

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/node/connlimit"
	"peridotpier.example/node/drain"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/shed"
)

// Bounds of a caller's connection that do not depend on the configuration.
const (
	maxHeadBytes = 64 << 10        // of the head of a request
	headTimeout  = 5 * time.Second // for reading the head of a request
)

// callerServer serves the callers' connections.
type callerServer struct {
	server      *http.Server
	drain       *drain.Server
	idleTimeout func() time.Duration
	conns       *connLog
}

func newCallerServer(ln net.Listener, h http.Handler, idleTimeout func() time.Duration, conns *connLog, overload *shed.Controller) *callerServer {
	c := &callerServer{idleTimeout: idleTimeout, conns: conns}
	c.server = &http.Server{Handler: c.trackRequests(h), MaxHeaderBytes: maxHeadBytes, ReadHeaderTimeout: headTimeout, ConnState: c.onConnState,
		ConnContext: withConn, ErrorLog: log.New(serverErrorLog{conns.log}, "", 0)}
	connlimit.Bind(c.server, func(nc net.Conn) *connlimit.Conn { return drain.Underlying(nc).(*callerConn).Conn.(*connlimit.Conn) })
	c.drain = drain.New(drain.Config{Listener: callerListener{ln, conns, overload}, Server: c.server, BeforeClose: c.recordCloseReason})
	return c
}

// trackRequests wraps h so that the connection's track records its requests.
func (c *callerServer) trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.serveTracked(h, r.Context().Value(connKey{}).(*callerConn).track, w, r)
	})
}

// serveTracked serves a request with h and records in track when the handler starts
// and ends. If the handler panics, serveTracked logs the panic with the request's id
// and aborts the connection.
func (c *callerServer) serveTracked(h http.Handler, track *connTrack, w http.ResponseWriter, r *http.Request) {
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

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, drain.Underlying(nc))
}

// disconnectReason returns why the connection of a request counts as closed; "" if it
// does not, or if that is not known.
func disconnectReason(ctx context.Context) string {
	own, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return ""
	}
	return string(own.track.endedBy())
}

func (c *callerServer) onConnState(nc net.Conn, s http.ConnState) {
	if s == http.StateIdle {
		drain.Underlying(nc).(*callerConn).track.idle()
	}
}

func (c *callerServer) recordCloseReason(nc net.Conn, why drain.Reason) {
	nc.(*callerConn).track.setCloseCause(closeReason(why))
}

// closeExpired closes the connections that were idle for longer than the current
// configuration allows. The idle timeout of http.Server is fixed and cannot follow it.
func (c *callerServer) closeExpired(now time.Time) { c.drain.CloseIdle(now, c.idleTimeout()) }

// drainStep closes the connections without a request and returns how many connections
// have one.
func (c *callerServer) drainStep() int { return c.drain.DrainStep() }

// closeListener stops accepting connections.
func (c *callerServer) closeListener() { c.drain.CloseListener() }

func (c *callerServer) serve() error { return c.drain.Serve() }

// close closes all remaining connections.
func (c *callerServer) close() {
	c.conns.processEnding.Store(true)
	c.drain.Close()
}

// callerConn is a caller's connection that records its reads, writes and close in
// its track.
type callerConn struct {
	net.Conn
	track *connTrack
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
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

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// CloseWrite closes the sending direction, if the connection supports it.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	s, first := c.track.close()
	err := c.Conn.Close()
	if first {
		c.track.log.recordClosed(c.track, s)
	}
	return err
}

// SetLinger sets what becomes of unsent bytes at a close, if the connection supports it;
// see net.TCPConn.
func (c *callerConn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(sec)
	}
	return errors.ErrUnsupported
}

// callerListener wraps the connections that it accepts in callerConns.
type callerListener struct {
	net.Listener
	conns    *connLog
	overload *shed.Controller // nil: all connections are served
}

// Accept implements net.Listener. It closes the connections that the host cannot serve
// unread, with a reset, so that their callers ask another host.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.overload == nil || l.overload.Admit() {
			return &callerConn{Conn: nc, track: l.conns.track(nc.RemoteAddr().String())}, nil
		}
		l.conns.metrics.Count(metrics.CallersClosedUnread, 1)
		if tcp, ok := nc.(interface{ SetLinger(sec int) error }); ok {
			_ = tcp.SetLinger(0) // fails for a connection that has ended
		}
		_ = nc.Close()
	}
}

// serverErrorLog is an io.Writer that turns the HTTP server's log lines into events.
type serverErrorLog struct{ log *event.Log }

// Write implements io.Writer.
func (c serverErrorLog) Write(p []byte) (int, error) {
	c.log.Emit(event.ConnectionError, zap.ByteString("text", p), zap.String("where", "callers"))
	return len(p), nil
}
