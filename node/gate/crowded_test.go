package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/fleet"
)

// fixedCoordinator grants all permits for one upstream, or none in time.
type fixedCoordinator struct {
	noCoordinator
	permitRequests, released atomic.Int32
	unresponsive             bool
}

func (g *fixedCoordinator) RequestPermit(ctx context.Context, _ *PermitRequest) (*Permit, error) {
	g.permitRequests.Add(1)
	if g.unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &Permit{Upstream: "u", Began: func() {}, NotListening: func() {}, Release: func() { g.released.Add(1) }}, nil
}

// newPlainGate returns a gate for a plain service with one upstream of six slots, at
// which other hosts have the given number of requests.
func newPlainGate(t *testing.T, coordinator Coordinator, others int) *Gate {
	t.Helper()
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	t.Cleanup(up.Close)
	g, f := newGateFor(deploy.Upstream{Address: up.Listener.Addr().String(), Slots: 6}, coordinator, deploy.Route{Objective: 150 * time.Millisecond})
	table := *g.deps.Config.Current().Config
	table.Version++
	table.Services = []deploy.Service{{Name: "s"}}
	table.Routes = []deploy.Route{table.Routes[0]}
	table.Routes[0].Timeout = 1200 * time.Millisecond
	g.deps.Config.ApplyIfNewer(&table, "test")
	e, _ := f.Entry("u")
	setOthersLoad(g, e, fleet.Load{Requests: others})
	return g
}

func callPlain(g *Gate) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/x", nil))
	return w
}

// Guards against lookups that are overdue at their objective of 150 ms, and a third
// of them refused, while a plain service gets more than it can serve: many hosts
// send to three upstreams and see each other's requests 200 ms late, so that they
// fill the queue of one upstream and then of the next.
func TestCallsOfACrowdedServiceNeedPermits(t *testing.T) {
	m := &fixedCoordinator{}
	assert.Equal(t, callPlain(newPlainGate(t, m, 3)).Code, http.StatusOK)
	assert.Equal(t, m.permitRequests.Load(), int32(1))
	assert.Equal(t, m.released.Load(), int32(1))
	idle := &fixedCoordinator{}
	assert.Equal(t, callPlain(newPlainGate(t, idle, 2)).Code, http.StatusOK)
	assert.Equal(t, idle.permitRequests.Load(), int32(0), "without load there is no extra round trip")
}

// Guards against a call without a permit in its time that is sent anyway and delays
// others.
func TestACallWithoutAPermitInItsTimeIsRefused(t *testing.T) {
	began := time.Now()
	w := callPlain(newPlainGate(t, &fixedCoordinator{unresponsive: true}, 12))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Body.String(), "all_full\n")
	assert.Assert(t, w.Header().Get("Retry-After") != "")
	took := time.Since(began)
	assert.Assert(t, took > 300*time.Millisecond && took < 2*time.Second, "%v", took)
}

// Guards against calls that need a permit while there is no coordinator: they are then
// sent by what this host knows.
func TestCallsOfACrowdedServiceContinueWithoutACoordinator(t *testing.T) {
	assert.Equal(t, callPlain(newPlainGate(t, noCoordinator{}, 12)).Code, http.StatusOK)
}
