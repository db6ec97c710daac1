package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/budget"
	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

// plainCodec reads the model from a header of its own.
type plainCodec struct{}

func (plainCodec) DecodeRequest(h http.Header) RequestInfo {
	return RequestInfo{AttemptID: "a1", Model: h.Get("Model"), PromptTokens: 100, MaxOutputTokens: 10}
}

func (plainCodec) SetAttempt(http.Header, AttemptInfo) {}

func (plainCodec) SetForwarded(http.Header, time.Duration, string) {}

func (plainCodec) AnsweredAttempt(http.Header) string { return "a1" }

func (plainCodec) DecodeResponse(int, http.Header) ResponseInfo {
	return ResponseInfo{AttemptID: "a1", Sealed: true}
}

// noModelCoordinator is a coordinator that knows of no upstream with any model.
type noModelCoordinator struct{ permitRequests, demandRecords atomic.Int32 }

func (m *noModelCoordinator) LoadAdapter(context.Context, string, string, string) error { return nil }

func (m *noModelCoordinator) RequestPermit(context.Context, *PermitRequest) (*Permit, error) {
	m.permitRequests.Add(1)
	return &Permit{Reason: balance.NoModel}, nil
}

func (m *noModelCoordinator) RecordDemand(string, *RequestInfo, int, time.Duration, int, bool) {
	m.demandRecords.Add(1)
}

// newGate returns a gate with one upstream at address, at which the model "old" is resident.
func newGate(coordinator Coordinator, address string) (*Gate, *fleet.Fleet) {
	return newGateFor(deploy.Upstream{Address: address, Slots: 4, Residents: []deploy.Resident{{Model: "old"}}}, coordinator, deploy.Route{Objective: 3 * time.Second})
}

// newGateFor returns a gate with one upstream and one route.
func newGateFor(upstream deploy.Upstream, coordinator Coordinator, r deploy.Route) (*Gate, *fleet.Fleet) {
	upstream.ID, upstream.Service, upstream.Software = "u", "s", "v1"
	r.Name, r.Host, r.Prefix, r.Timeout, r.Attempts, r.Splits = "r", "example.com", "/", 10*time.Second, 1, []deploy.Split{{Service: "s", Weight: 1}}
	log := event.NewLog(nil)
	config := follow.NewActiveConfig(log)
	config.ApplyIfNewer(&deploy.Config{Version: 1, Services: []deploy.Service{{Name: "s", Engine: &deploy.Engine{}}}, Routes: []deploy.Route{r}}, "test")
	f := fleet.New(fleet.Config{}, fleet.Deps{Log: log})
	f.Apply([]deploy.Upstream{upstream}, nil, 0)
	never := func() bool { return false }
	return New(Deps{Config: config, Fleet: f, Client: conn.New(conn.Config{}), Codec: plainCodec{}, Coordinator: coordinator,
		RetryBudget: NewRetryBudget(budget.Policy{Ratio: 1, Slack: 10, Window: 10 * time.Second}, poolOf(1000)), Log: log, Metrics: metrics.New(), Draining: never, RejectsNew: never}), f
}

// Guards against a coordinator that is asked several times for each request that is
// served on any host, and answers none of them in time: requests wait for a model that is
// resident at no upstream, each of the hundreds of requests that end per second wakes
// all of them, and each asks again.
func TestARequestThatWaitsForAModelAsksTheCoordinatorOnce(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer up.Close()
	coordinator := &noModelCoordinator{}
	g, f := newGate(coordinator, up.Listener.Addr().String())
	r := httptest.NewRequest(http.MethodPost, "http://example.com/x", nil)
	r.Header.Set("Model", "new")
	w := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.ServeHTTP(w, r)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if coordinator.demandRecords.Load() >= 2 { // once as every request, once more because it waits
			return poll.Success()
		}
		return poll.Continue("the request does not wait yet")
	}, poll.WithDelay(time.Millisecond))
	for range 100 {
		f.NotifyChanged()
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, coordinator.permitRequests.Load(), int32(1))
	began := time.Now()
	f.ApplyResidency([]fleet.Residency{{Upstream: "u", Residents: []deploy.Resident{{Model: "new"}}}}, began)
	<-done
	assert.Assert(t, time.Since(began) < modelPollInterval/2, "it continues as soon as the model is resident")
	assert.Equal(t, w.Code, http.StatusOK)
}

// Guards against a coordinator that is asked without a pause for one request: it names no upstream with the
// model, and this host, which has none at all, takes that for news.
func TestARequestWithoutAnyUpstreamAsksTheCoordinatorOnce(t *testing.T) {
	coordinator := &noModelCoordinator{}
	g, f := newGate(coordinator, "127.0.0.1:1")
	f.Apply(nil, []string{"u"}, 2)
	ctx, cancel := context.WithTimeout(t.Context(), modelPollInterval/2)
	defer cancel()
	r := httptest.NewRequest(http.MethodPost, "http://example.com/x", nil).WithContext(ctx)
	r.Header.Set("Model", "new")
	func() {
		defer func() { _ = recover() }() // its caller leaves
		g.ServeHTTP(httptest.NewRecorder(), r)
	}()
	assert.Equal(t, coordinator.permitRequests.Load(), int32(1))
}
