package gate

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/fleet"
)

// noCoordinator stands for a coordinator that cannot be reached.
type noCoordinator struct{}

func (noCoordinator) LoadAdapter(context.Context, string, string, string) error { return nil }

func (noCoordinator) RequestPermit(context.Context, *PermitRequest) (*Permit, error) {
	return nil, errors.New("none")
}

func (noCoordinator) RecordDemand(string, *RequestInfo, int, time.Duration, int, bool) {}

// newEngineGate returns a gate with one upstream at address, at which the model "m" is
// resident. Responses of its route should begin within a second and pause for at
// most 400 ms.
func newEngineGate(address string) (*Gate, *fleet.Entry) {
	g, f := newGateFor(deploy.Upstream{Address: address, Slots: 32, Residents: []deploy.Resident{{Model: "m"}}}, noCoordinator{},
		deploy.Route{Objective: time.Second, PauseBound: 400 * time.Millisecond})
	e, _ := f.Entry("u")
	return g, e
}

// Guards against responses that are all overdue, one in ten missing its deadline,
// while a model is in higher demand than its upstreams can serve: more prompts wait
// at the upstream than it reads in half a second, and a request that has waited for
// most of its objective is sent anyway, ahead of newer requests that could still be
// answered in time.
func TestARequestIsNotSentWhereItWouldOnlyMakeOthersLate(t *testing.T) {
	t.Parallel()
	var sent atomic.Int32
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { sent.Add(1) }))
	defer up.Close()
	g, e := newEngineGate(up.Listener.Addr().String())
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			setOthersLoad(g, e, fleet.Load{Requests: 4, PendingPromptTokens: 9000, Tokens: 9400})
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	time.Sleep(20 * time.Millisecond)
	r := httptest.NewRequest(http.MethodPost, "http://example.com/x", nil)
	r.Header.Set("Model", "m")
	w := httptest.NewRecorder()
	began := time.Now()
	g.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(began) < time.Second, "the caller is refused before the objective is over")
	assert.Assert(t, w.Header().Get("Retry-After") != "")
	assert.Equal(t, sent.Load(), int32(0), "it has not run")
}

// Guards against a request that is not sent when capacity becomes free.
func TestARequestIsSentOnceAPromptWasRead(t *testing.T) {
	t.Parallel()
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer up.Close()
	g, e := newEngineGate(up.Listener.Addr().String())
	setOthersLoad(g, e, fleet.Load{Requests: 4, PendingPromptTokens: 9000, Tokens: 9400})
	time.AfterFunc(300*time.Millisecond, func() {
		setOthersLoad(g, e, fleet.Load{Requests: 3, PendingPromptTokens: 100, Tokens: 500})
		g.deps.Fleet.NotifyChanged()
	})
	r := httptest.NewRequest(http.MethodPost, "http://example.com/x", nil)
	r.Header.Set("Model", "m")
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusOK)
}

// Guards against streams that end in the middle, though they could be resumed
// elsewhere, when some upstreams are lost: an upstream terminates with a request
// half of whose objective is over, the other always has prompts to read, and the
// request waits behind newer ones until its time is over.
func TestARequestLostByItsUpstreamPrecedesNewOnes(t *testing.T) {
	t.Parallel()
	var sent atomic.Int32
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { sent.Add(1) }))
	defer up.Close()
	g, e := newEngineGate(up.Listener.Addr().String())
	setOthersLoad(g, e, fleet.Load{Requests: 4, PendingPromptTokens: 9000, Tokens: 9400})
	q := &request{g: g, start: time.Now().Add(-600 * time.Millisecond), tried: map[string]bool{}}
	table := g.deps.Config.Current()
	q.route = &table.Config.Routes[0]
	q.service, _ = table.Service("s")
	q.needs = fleet.Request{Model: "m"}
	q.deadline = q.start.Add(q.route.Timeout)
	found, _ := q.pick()
	assert.Assert(t, found == nil, "a new request is held")
	q.lostByUpstream = true
	found, _ = q.pick()
	assert.Assert(t, found == e)
}

// setOthersLoad sets the load of other hosts at an upstream, the only one of its service.
func setOthersLoad(g *Gate, e *fleet.Entry, l fleet.Load) {
	g.deps.Fleet.SetOtherHostsLoad(e.Service(), map[string]fleet.Load{e.ID(): l}, time.Now().Add(1500*time.Millisecond))
}
