package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
)

// Bind lets a Limiter know of the requests of a server of HTTP: a request is complete when its
// body has been read, and finished when its answer is written. under returns the bounded
// connection below one that the server accepted.
func Bind(s *http.Server, under func(net.Conn) *Conn) {
	handler, state, connContext := s.Handler, s.ConnState, s.ConnContext
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, track(r))
	})
	s.ConnState = func(nc net.Conn, to http.ConnState) {
		if state != nil {
			state(nc, to)
		}
		if to == http.StateIdle {
			under(nc).finished()
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, under(nc))
	}
}

// Accepted returns the connection that a Limiter's listener accepted, for a server that uses
// it as it is.
func Accepted(nc net.Conn) *Conn { return nc.(*Conn) }

// Refused reports whether the request of a context was refused for the memory that it holds:
// its body cannot be read any more.
func Refused(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return ok && c.isRefused()
}

// connKey is the context key of a request's connection.
type connKey struct{}

// track returns a request that tells its connection when it has been read.
func track(r *http.Request) *http.Request {
	c := r.Context().Value(connKey{}).(*Conn)
	if r.Body == nil || r.Body == http.NoBody {
		c.complete()
		return r
	}
	c.begun()
	tracked := r.WithContext(r.Context()) // the server needs its own body in its own request
	tracked.Body = &trackedBody{r.Body, c}
	return tracked
}

// trackedBody notes when a body has been read to its end.
type trackedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	if b.conn.isRefused() { // its deadline may have been set anew since
		return 0, os.ErrDeadlineExceeded
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.complete() {
		return n, os.ErrDeadlineExceeded
	}
	return n, err
}
