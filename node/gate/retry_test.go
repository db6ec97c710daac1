package gate

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
)

// startBreakingUpstream listens, reads the start of each request and closes the
// connection without a response. It counts the requests.
func startBreakingUpstream(t *testing.T) (address string, received *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	received = new(atomic.Int32)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if n, _ := c.Read(make([]byte, 4096)); n > 0 {
				received.Add(1)
			}
			_ = c.Close()
		}
	}()
	return ln.Addr().String(), received
}

// Guards against a request that runs more often than its route allows: each
// upstream reads the request and breaks off without a response, and an attempt that
// may have run is followed by another.
func TestAttemptsFollowTheRoutesKind(t *testing.T) {
	for _, c := range []struct {
		name     string
		kind     deploy.RequestKind
		attempts int
		runs     int32
	}{
		{"may run once, though its route allows more attempts", deploy.NonIdempotent, 3, 1},
		{"may run twice", deploy.Idempotent, 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, received := startBreakingUpstream(t)
			g, f := newGate(&noModelCoordinator{}, address)
			var all []deploy.Upstream
			for _, id := range []string{"u", "v", "w", "x"} {
				all = append(all, deploy.Upstream{ID: id, Service: "s", Address: address, Slots: 4, Software: "v1"})
			}
			f.Apply(all, nil, 0)
			table := *g.deps.Config.Current().Config
			table.Version++
			table.Routes[0].Kind, table.Routes[0].Attempts = c.kind, c.attempts
			g.deps.Config.ApplyIfNewer(&table, "test")
			w := httptest.NewRecorder()
			g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/x", nil))
			assert.Equal(t, received.Load(), c.runs)
			assert.Equal(t, w.Code, http.StatusBadGateway, "nothing is promised about a request that may have run")
		})
	}
}

// Guards against engines that work for callers who have disconnected: an upstream
// has not responded when the caller leaves, and only a write to the caller would
// show that.
func TestAnAttemptWithoutAResponseEndsWithItsCaller(t *testing.T) {
	ended := make(chan struct{})
	received := make(chan struct{})
	up := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(received)
		<-r.Context().Done()
		close(ended)
	}))
	defer up.Close()
	g, f := newGate(&noModelCoordinator{}, up.Listener.Addr().String())
	f.Apply([]deploy.Upstream{{ID: "u", Service: "s", Address: up.Listener.Addr().String(), Slots: 4, Software: "v1"}}, nil, 0)
	host := httptest.NewServer(g)
	defer host.Close()
	ctx, disconnect := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, host.URL+"/x", nil)
	assert.NilError(t, err)
	r.Host = "example.com"
	go func() {
		<-received
		disconnect()
	}()
	_, err = http.DefaultClient.Do(r)
	assert.ErrorIs(t, err, context.Canceled)
	select {
	case <-ended:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the upstream continues to run the request")
	}
}
