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

// fixedCoordinator gives all turns to one upstream, or none in time.
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

// newPlainGate is a gate before a plain service of one upstream with six slots, at
// which others have so many requests.
func newPlainGate(t *testing.T, models Coordinator, others int) *Gate {
	t.Helper()
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	t.Cleanup(up.Close)
	g, f := newGateFor(deploy.Upstream{Address: up.Listener.Addr().String(), Slots: 6}, models, deploy.Route{Objective: 150 * time.Millisecond})
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

// Symptom: lookups that are due in 150 ms are late, and a third is refused,
// while a plain service gets more than it can answer.
// Sequence: many hosts send to three upstreams; what each knows of the others'
// sends is 200 ms old.
// Cause: they fill the queue of one upstream and then of the next: what is
// answered has waited for longer than it is worth.
func TestCallsOfACrowdedServiceNeedPermits(t *testing.T) {
	m := &fixedCoordinator{}
	assert.Equal(t, callPlain(newPlainGate(t, m, 3)).Code, http.StatusOK)
	assert.Equal(t, m.permitRequests.Load(), int32(1))
	assert.Equal(t, m.released.Load(), int32(1))
	quiet := &fixedCoordinator{}
	assert.Equal(t, callPlain(newPlainGate(t, quiet, 2)).Code, http.StatusOK)
	assert.Equal(t, quiet.permitRequests.Load(), int32(0), "on a calm day its way is not longer")
}

// A call that gets no turn in its time is refused then, and not sent to make
// others late.
func TestACallWithoutAPermitInItsTimeIsRefused(t *testing.T) {
	began := time.Now()
	w := callPlain(newPlainGate(t, &fixedCoordinator{unresponsive: true}, 12))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Body.String(), "all_full\n")
	assert.Assert(t, w.Header().Get("Retry-After") != "")
	took := time.Since(began)
	assert.Assert(t, took > 300*time.Millisecond && took < 2*time.Second, "%v", took)
}

// While nobody decides for all, calls go by what this host knows.
func TestCallsOfACrowdedServiceContinueWithoutACoordinator(t *testing.T) {
	assert.Equal(t, callPlain(newPlainGate(t, noCoordinator{}, 12)).Code, http.StatusOK)
}
