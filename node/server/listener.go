package server

import (
	"context"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"peridotpier.example/node/bytebudget"
	"peridotpier.example/node/connlimit"
	"peridotpier.example/node/drain"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
)

const (
	// headTimeout bounds the time a client may take to send the head of a request.
	headTimeout = 10 * time.Second
	// operatorReadTimeout bounds the time an operator's entire request may take to
	// arrive; 8 MB of configuration need 2 Mbit/s to arrive within it.
	operatorReadTimeout = 30 * time.Second
	// idleTimeout is how long an idle connection is kept. It is longer than in the
	// connection pools of usual clients and load balancers, so that these close
	// first and never send a request on a connection that the host is closing.
	idleTimeout = 90 * time.Second
)

// listener is one HTTP listener with its server.
type listener struct {
	name   string
	ln     net.Listener
	server *http.Server
	conns  *drain.Server
}

func (s *Server) newListener(name, address string, h http.Handler, secure func(net.Listener) net.Listener) (*listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s", name)
	}
	head := s.cfg.HeadTimeout
	if head == 0 {
		head = headTimeout
	}
	l := &listener{name: name, ln: ln, server: &http.Server{Handler: s.closeWhenDraining(h), ReadHeaderTimeout: head,
		IdleTimeout: idleTimeout, MaxHeaderBytes: s.cfg.Settings.Bounds.HeaderBytes,
		ErrorLog: log.New(errorLog{s, name}, "", 0)}}
	connlimit.Bind(l.server, func(nc net.Conn) *connlimit.Conn { return drain.Underlying(nc).(*connlimit.Conn) })
	l.conns = drain.New(drain.Config{Listener: s.clientLimiter.Listen(arrivedListener{ln}, name), Secure: secure, Server: l.server})
	return l, nil
}

// machine returns what the process may use.
func (s *Server) machine() connlimit.Machine {
	return connlimit.Machine{MemoryMB: s.cfg.Settings.Bounds.MemoryMB}
}

// newResponseMemory returns the budget of answers that wait for their callers.
func (s *Server) newResponseMemory() *bytebudget.Budget {
	b := bytebudget.New(s.machine().ForResponses())
	s.metrics.SetFunc(metrics.ResponseBytes, func() any { return b.Used() })
	return b
}

// limitClients creates the bounds of what clients and other hosts can make the process hold.
func (s *Server) limitClients() {
	machine := s.machine()
	report := connlimit.Report(s.log, s.metrics)
	clients, peers := machine.ForClients(), machine.ForPeers()
	clients.OnClosed, peers.OnClosed = report, report
	s.clientLimiter, s.peerLimiter = connlimit.New(clients), connlimit.New(peers)
	s.clientLimiter.Expose(s.metrics, "clients")
	s.peerLimiter.Expose(s.metrics, "peers")
}

// closeWhenDraining wraps h so that each answer of a draining host closes its
// connection: callers send their next request to another host.
func (s *Server) closeWhenDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.phase.Load() == phaseDraining {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// addStateHook adds f to the hooks that are called when a connection changes its
// state. It must be called before serve.
func (l *listener) addStateHook(f func(net.Conn, http.ConnState)) {
	prev := l.server.ConnState
	l.server.ConnState = func(nc net.Conn, state http.ConnState) {
		f(nc, state)
		prev(nc, state)
	}
}

func (l *listener) address() string { return l.ln.Addr().String() }

// serve serves until the server is closed.
func (l *listener) serve() error { return eris.Wrapf(l.conns.Serve(), "serve %s", l.name) }

// drain stops accepting connections and waits until no request is in progress, or ctx ends.
func (l *listener) drain(ctx context.Context) error { return l.conns.Drain(ctx) }

// close closes the listener and all connections that are left.
func (l *listener) close() { l.conns.Close() }

// errorLog is an io.Writer that turns the log lines of an HTTP server into numbered events.
type errorLog struct {
	s     *Server
	where string
}

// Prefixes of the HTTP server's log lines.
const (
	handshakePrefix = "http: TLS handshake error from "
	panicPrefix     = "http: panic serving "
)

// Write implements io.Writer. Each call gets one log entry; that of a panic
// includes its stack.
func (c errorLog) Write(p []byte) (int, error) {
	line := strings.TrimSpace(string(p))
	if rest, ok := strings.CutPrefix(line, handshakePrefix); ok {
		peer, reason, _ := strings.Cut(rest, ": ")
		c.s.cfg.Keys.LogRefused(c.where, peer, reason)
		return len(p), nil
	}
	fields := []zap.Field{zap.String("where", c.where)}
	if strings.HasPrefix(line, panicPrefix) {
		// The value of a panic may hold parts of a request; the stack does not.
		_, stack, _ := strings.Cut(line, "\n")
		line = "panic"
		fields = append(fields, zap.String("stack", stack))
	}
	c.s.log.Emit(event.ConnectionError, append(fields, zap.String("reason", line))...)
	return len(p), nil
}
