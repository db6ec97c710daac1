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

	"peridotpier.example/node/drain"
	"peridotpier.example/node/event"
)

const (
	// headTimeout is how long the other side may take to send the head of a request.
	headTimeout = 10 * time.Second
	// operatorReadTimeout is how long an operator's whole request may take to arrive;
	// 8 MB of configuration in it need 2 Mbit/s.
	operatorReadTimeout = 30 * time.Second
	// idleTimeout is how long an idle connection is kept; above the pools of
	// usual clients and balancers, so that these close first and never meet a
	// connection that the host is just closing.
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
	l.conns = drain.New(drain.Config{Listener: ln, Secure: secure, Server: l.server})
	return l, nil
}

// closeWhenDraining asks callers of a host that stops to go elsewhere for their next
// request: their connections are closed as soon as they have none.
func (s *Server) closeWhenDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.phase.Load() == phaseDraining {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// addStateHook has f told of the states of connections, too. Before serve.
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

// drain takes no more connections and waits until no request is under way, or ctx ends.
func (l *listener) drain(ctx context.Context) error { return l.conns.Drain(ctx) }

// close ends whatever is left.
func (l *listener) close() { l.conns.Close() }

// errorLog turns lines of the HTTP server into numbered events.
type errorLog struct {
	s     *Server
	where string
}

// How the HTTP server's lines begin.
const (
	handshakePrefix = "http: TLS handshake error from "
	panicPrefix     = "http: panic serving "
)

// Write implements io.Writer; it gets one line a call, a panic with its stack.
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
