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
	ended  chan struct{}
	once   sync.Once

	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newCallers(ln net.Listener, h http.Handler, idleBound func() time.Duration, events *event.Log) *callers {
	c := &callers{ln: ln, bound: idleBound, ended: make(chan struct{}), idle: map[net.Conn]time.Time{}}
	c.server = &http.Server{Handler: c.count(h), MaxHeaderBytes: headMost, ReadHeaderTimeout: headBound, ConnState: c.state,
		ErrorLog: log.New(complaints{events}, "", 0)}
	return c
}

// count keeps the number of requests that a stop must wait for.
func (c *callers) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.active.Add(1)
		defer c.active.Add(-1)
		h.ServeHTTP(w, r)
	})
}

func (c *callers) state(nc net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateIdle {
		c.idle[nc] = time.Now()
		return
	}
	delete(c.idle, nc)
}

// sweep closes the connections that were idle for longer than the
// configuration in force allows, which the server's own fixed bound cannot follow.
func (c *callers) sweep(now time.Time) {
	most := c.bound()
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc, since := range c.idle {
		if now.Sub(since) > most {
			_ = nc.Close()
			delete(c.idle, nc)
		}
	}
}

// serve returns when the listener fails or after close. A shutdown alone does
// not end it: requests are still being finished then.
func (c *callers) serve() error {
	err := c.server.Serve(c.ln)
	if errors.Is(err, http.ErrServerClosed) {
		<-c.ended
		return nil
	}
	return err
}

// shutdown takes no more connections, ends the idle ones, and waits for the
// requests under way until ctx ends.
func (c *callers) shutdown(ctx context.Context) error { return c.server.Shutdown(ctx) }

// close ends whatever is left.
func (c *callers) close() {
	c.once.Do(func() { close(c.ended) })
	_ = c.server.Close()
}

// complaints passes on what the HTTP server has to say.
type complaints struct{ log *event.Log }

// Write implements io.Writer.
func (c complaints) Write(p []byte) (int, error) {
	c.log.Emit(event.ConnectionComplaint, zap.ByteString("text", p), zap.String("where", "callers"))
	return len(p), nil
}
