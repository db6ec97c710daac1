package host

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/connlimit"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
)

// BenchmarkRequests measures a request on a persistent connection, with a handler
// that does nothing.
func BenchmarkRequests(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	c := benchCallers(ln, ok)
	go func() { _ = c.serve() }()
	defer c.close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(b, err)
	defer nc.Close()
	r := bufio.NewReader(nc)
	b.ReportAllocs()
	for b.Loop() {
		_, err := io.WriteString(nc, get("a"))
		assert.NilError(b, err)
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(b, err)
		assert.Equal(b, resp.StatusCode, http.StatusNoContent)
	}
}

// nullConn reads and writes without a system call.
type nullConn struct{ net.Conn }

func (nullConn) Read(p []byte) (int, error)  { return len(p), nil }
func (nullConn) Write(p []byte) (int, error) { return len(p), nil }

// BenchmarkConnection measures the overhead of callerConn for a request: two reads, a
// write, the handler and the change to idle.
func BenchmarkConnection(b *testing.B) {
	c := &callerServer{conns: newConnLog(event.NewLog(nil), metrics.New(), nil)}
	own := &callerConn{Conn: nullConn{}, track: c.conns.track("a")}
	buf := make([]byte, 512)
	h := c.trackRequests(http.HandlerFunc(ok))
	w, r := nullAnswer{}, (&http.Request{Header: http.Header{}}).WithContext(context.WithValue(b.Context(), connKey{}, own))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = own.Read(buf)
		h.ServeHTTP(w, r)
		_, _ = own.Read(buf[:1])
		_, _ = own.Write(buf)
		own.track.idle()
	}
}

type nullAnswer struct{}

func (nullAnswer) Header() http.Header         { return nil }
func (nullAnswer) Write(p []byte) (int, error) { return len(p), nil }
func (nullAnswer) WriteHeader(int)             {}

func benchCallers(ln net.Listener, h http.HandlerFunc) *callerServer {
	return newCallerServer(connlimit.New(connlimit.Config{}).Listen(ln, "callers"), h, func() time.Duration { return time.Hour }, newConnLog(event.NewLog(nil), metrics.New(), nil), nil)
}
