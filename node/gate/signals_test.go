package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/deploy"
	"peridotpier.example/node/fleet"
)

// grantingCoordinator is a coordinator that grants permits for the one upstream.
type grantingCoordinator struct {
	noModelCoordinator
	counted  bool
	released atomic.Int32
}

func (g *grantingCoordinator) RequestPermit(context.Context, *PermitRequest) (*Permit, error) {
	done := func() { g.released.Add(1) }
	return &Permit{Upstream: "u", WithinLimit: g.counted, Began: func() {}, NotListening: done, Release: done}, nil
}

// applySignal applies a signal of upstream "u" on a request that was just sent.
func applySignal(t *testing.T, f *fleet.Fleet, s backpressure.Signal) {
	t.Helper()
	e, ok := f.Entry("u")
	assert.Assert(t, ok)
	s.ReceivedAt = time.Now()
	s.SentAt = s.ReceivedAt.Add(-time.Millisecond)
	e.ApplySignal(s, "test")
}

// serveSignalled serves a request for a model after a signal of upstream "u", and returns the
// response and how many requests reached the upstream.
func serveSignalled(t *testing.T, coordinator Coordinator, s backpressure.Signal) (*httptest.ResponseRecorder, int32) {
	t.Helper()
	var reached atomic.Int32
	up := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached.Add(1) }))
	defer up.Close()
	g, f := newGate(coordinator, up.Listener.Addr().String())
	applySignal(t, f, s)
	r := httptest.NewRequest(http.MethodPost, "http://example.com/x", nil)
	r.Header.Set("Model", "old")
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w, reached.Load()
}

// Guards against using permits of a coordinator that does not know of a limit yet, since
// it does not count them towards the limit.
func TestAPermitThatIsNotCountedIsNotUsedForALimitedUpstream(t *testing.T) {
	for _, counted := range []bool{false, true} {
		coordinator := &grantingCoordinator{counted: counted}
		w, reached := serveSignalled(t, coordinator, backpressure.Signal{Limit: backpressure.Limit{Stated: true, PerSecond: 1}})
		if counted {
			assert.Equal(t, w.Code, http.StatusOK)
			assert.Equal(t, reached, int32(1))
			continue
		}
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, w.Body.String(), "all_backoff\n")
		assert.Equal(t, reached, int32(0))
		assert.Assert(t, coordinator.released.Load() > 0, "the permit is released")
	}
}

// Guards against taking an upstream out of use by bytes that it does not vouch for.
func TestSignalsOfAnUnsealedResponseAreIgnored(t *testing.T) {
	for _, c := range []struct {
		status   int
		response ResponseInfo
		applied  bool
	}{
		{http.StatusOK, ResponseInfo{AttemptID: "a1", Sealed: true, Said: &Statements{Draining: true}}, true},
		{http.StatusOK, ResponseInfo{AttemptID: "a1", Said: &Statements{Draining: true}}, false},
		{http.StatusServiceUnavailable, ResponseInfo{AttemptID: "a1", NotRun: true, Said: &Statements{Draining: true}}, true},
		{http.StatusServiceUnavailable, ResponseInfo{NotRun: true, Said: &Statements{Draining: true}}, true},
		{http.StatusMisdirectedRequest, ResponseInfo{AttemptID: "a1", NotRun: true, Said: &Statements{Draining: true}}, false},
	} {
		g, f := newGate(&noModelCoordinator{}, "127.0.0.1:1")
		e, _ := f.Entry("u")
		q := &request{g: g, info: RequestInfo{AttemptID: "a1"}, service: &deploy.Service{Name: "s"}, sentAt: time.Now()}
		q.applySignals(e, c.status, &c.response)
		assert.Equal(t, !e.Usable(), c.applied, "%d %+v", c.status, c.response)
	}
}
