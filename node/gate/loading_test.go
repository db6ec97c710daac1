package gate

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/fleet"
)

// reportLoading keeps reporting what is resident and loading at an upstream, until the
// model becomes resident at the given time.
func reportLoading(f *fleet.Fleet, upstream, model string, at time.Time, done <-chan struct{}) {
	for {
		now := time.Now()
		if now.After(at) {
			f.ApplyResidency([]fleet.Residency{{Upstream: upstream, Residents: []deploy.Resident{{Model: model}}}}, now)
			return
		}
		f.ApplyResidency([]fleet.Residency{{Upstream: upstream, Residents: []deploy.Resident{{Model: "old"}}, Loading: []fleet.LoadingModel{{Model: model, ReadyAt: at}}}}, now)
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// Guards against callers that are refused after 0.6 s although their model is loaded
// in 2.4 s, and refused again just before it is resident: the model is resident
// nowhere, its load is ordered, and a caller has 10 s for a response, which has its
// full value within 3 s. This happens if the request waits only as long as its response
// would be in time, and neither the host nor the caller knows when the model is expected.
func TestARequestWaitsForAModelThatIsLoading(t *testing.T) {
	t.Parallel()
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer up.Close()
	g, f := newGate(&noModelCoordinator{}, up.Listener.Addr().String())
	began, done := time.Now(), make(chan struct{})
	defer close(done)
	go reportLoading(f, "u", "new", began.Add(2300*time.Millisecond), done) // later than 0.6 of 3 s
	r := httptest.NewRequest(http.MethodPost, "http://example.com/x", nil)
	r.Header.Set("Model", "new")
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusOK)
}

// Guards against callers that are held for more than half a second and told to retry
// after a second, again and again, although their model is expected only after
// their time is over.
func TestARequestWhoseModelLoadsTooLateIsRefusedAtOnceWithTheTime(t *testing.T) {
	t.Parallel()
	g, f := newGate(&noModelCoordinator{}, "127.0.0.1:1")
	began := time.Now()
	at := began.Add(9 * time.Second) // of the 10 s that the caller has
	f.ApplyResidency([]fleet.Residency{{Upstream: "u", Residents: []deploy.Resident{{Model: "old"}}, Loading: []fleet.LoadingModel{{Model: "new", ReadyAt: at}}}}, began)
	r := httptest.NewRequest(http.MethodPost, "http://example.com/x", nil)
	r.Header.Set("Model", "new")
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(began) < modelPollInterval, "waiting is pointless")
	after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 8 && after <= 9.5, "it is resident after %v s", after)
}
