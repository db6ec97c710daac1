package gate

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
)

// Guards against a connection that ends with neither a response nor a refusal: a
// caller names a model on a route whose service runs none, for instance because a
// configuration just moved the route there, and the handler panics when it uses
// the service's missing engine.
func TestARequestForAModelAtAPlainServiceIsAnswered(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("whole")) }))
	defer up.Close()
	g, _ := newGate(&noModelCoordinator{}, up.Listener.Addr().String())
	table := *g.deps.Config.Current().Config
	table.Version++
	table.Services = []deploy.Service{{Name: "s"}}
	g.deps.Config.ApplyIfNewer(&table, "test")
	host := httptest.NewServer(g)
	defer host.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, host.URL+"/x", nil)
	assert.NilError(t, err)
	r.Host = "example.com"
	r.Header.Set("Model", "new") // resident nowhere
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// startHost starts a server with the gate as its handler.
func startHost(t *testing.T, g *Gate) *httptest.Server {
	t.Helper()
	host := httptest.NewServer(g)
	t.Cleanup(func() { host.CloseClientConnections(); host.Close() })
	return host
}

// post sends one request with the given part of its body and returns its connection.
func post(t *testing.T, host *httptest.Server, length int, body string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", host.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: example.com\r\nContent-Length: %d\r\n\r\n%s", length, body)
	assert.NilError(t, err)
	return c
}

// status returns the status of a response; 0: the connection ended without one.
func status(t *testing.T, c net.Conn) int {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// changeRoute changes the only route of a gate.
func changeRoute(g *Gate, change func(*deploy.Route)) {
	table := *g.deps.Config.Current().Config
	table.Version++
	table.Routes = []deploy.Route{table.Routes[0]}
	change(&table.Routes[0])
	g.deps.Config.ApplyIfNewer(&table, "test")
}

// Guards against a caller that is told that its request is invalid when its time
// ended while it was still sending: the rest of a body does not arrive in time and
// is treated as broken off.
func TestALateBodyIsNotReportedAsInvalid(t *testing.T) {
	g, _ := newGate(&noModelCoordinator{}, "127.0.0.1:1")
	changeRoute(g, func(r *deploy.Route) { r.Timeout = 50 * time.Millisecond })
	host := startHost(t, g)
	assert.Equal(t, status(t, post(t, host, 10, "half")), http.StatusRequestTimeout)
}

// Guards against a request whose connection is closed without a response when the
// process ends: its body is still arriving, or has just arrived, when the host is about
// to stop, and the stop reaches the request only after its body was read, while it is
// already being sent.
func TestTheHostsStopReachesARequestThatIsBeingRead(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the request reached the upstream") }))
	defer up.Close()
	for range 20 {
		g, _ := newGate(&noModelCoordinator{}, up.Listener.Addr().String())
		stopping, stop := context.WithCancel(t.Context())
		g.deps.StopContext = stopping
		host := startHost(t, g)
		c := post(t, host, 10, "half")
		time.AfterFunc(20*time.Millisecond, stop)
		assert.Equal(t, status(t, c), http.StatusServiceUnavailable)
		assert.Equal(t, status(t, post(t, host, 4, "body")), http.StatusServiceUnavailable)
	}
}

// Guards against a refusal that does not arrive: a request is refused at its head
// while its body stalls, and the server reads the rest of the body, for as long as
// that takes, before it writes the response.
func TestARefusalDoesNotWaitForABodyThatStalls(t *testing.T) {
	g, _ := newGate(&noModelCoordinator{}, "127.0.0.1:1")
	changeRoute(g, func(r *deploy.Route) { r.Host = "other.example" })
	host := startHost(t, g)
	began := time.Now()
	assert.Equal(t, status(t, post(t, host, 10, "half")), http.StatusNotFound)
	assert.Assert(t, time.Since(began) < 2*bodyDrainTimeout, "%v", time.Since(began))
}

// Guards against a caller that gets the beginning of one response followed by all of
// another: a lookup's response, too large to buffer and of unknown length, breaks
// off after its first megabyte, and the lookup may run twice.
func TestAStartedResponseIsNotStartedAgain(t *testing.T) {
	var runs atomic.Int32
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, maxBufferedBytes+4096))
		_ = http.NewResponseController(w).Flush()
		if runs.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer up.Close()
	address := up.Listener.Addr().String()
	g, f := newGate(&noModelCoordinator{}, address)
	f.Apply([]deploy.Upstream{{ID: "v", Service: "s", Address: address, Slots: 4, Software: "v1"}}, nil, 0)
	changeRoute(g, func(r *deploy.Route) { r.Kind, r.Attempts = deploy.Idempotent, 2 })
	_, body, err := sendOne(t, startHost(t, g))
	assert.Assert(t, err != nil, "%d bytes look complete", len(body))
}

// Guards against a request whose body was refused for want of memory and that is called late, or invalid:
// it has not run, and may be sent again.
func TestARefusedBodyIsNotRun(t *testing.T) {
	g, _ := newGate(&noModelCoordinator{}, "127.0.0.1:1")
	changeRoute(g, func(r *deploy.Route) { r.Timeout = 50 * time.Millisecond })
	g.deps.BodyRefused = func(context.Context) bool { return true }
	host := startHost(t, g)
	assert.Equal(t, status(t, post(t, host, 10, "half")), http.StatusServiceUnavailable)
}
