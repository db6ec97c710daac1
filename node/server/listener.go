package server

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/node/settings"
)

const (
	// headBound is how long the other side may take to send the head of a request.
	headBound = 10 * time.Second
	// idleBound is how long an idle connection is kept; above the pools of
	// usual clients and balancers, so that these close first and never meet a
	// connection that the host is just closing.
	idleBound = 90 * time.Second
)

// listener is one HTTP listener with its server.
type listener struct {
	name   string
	ln     net.Listener
	server *http.Server
}

func newListener(name string, l settings.Listener, h http.Handler, headerBytes int) (*listener, error) {
	ln, err := net.Listen("tcp", l.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s", name)
	}
	return &listener{name: name, ln: ln, server: &http.Server{Handler: h, ReadHeaderTimeout: headBound,
		IdleTimeout: idleBound, MaxHeaderBytes: headerBytes}}, nil
}

func (l *listener) address() string { return l.ln.Addr().String() }

// serve serves until the server is shut down or closed.
func (l *listener) serve() error {
	if err := l.server.Serve(l.ln); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve %s", l.name)
	}
	return nil
}
