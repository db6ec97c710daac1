package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/deploy"
)

// waitingCoordinator lets all requests wait, or does not answer.
type waitingCoordinator struct {
	noCoordinator
	answers bool
}

func (c *waitingCoordinator) RequestPermit(ctx context.Context, _ *PermitRequest) (*Permit, error) {
	if !c.answers {
		return nil, context.DeadlineExceeded
	}
	<-ctx.Done()
	return nil, &NotGrantedError{Reason: balance.AllPrefilling}
}

// askOnce sends a request for a model to a gate whose one upstream is idle as far as its
// host knows, with 400 ms to its objective.
func askOnce(t *testing.T, c *waitingCoordinator) (w *httptest.ResponseRecorder, sent int32, took time.Duration) {
	t.Helper()
	var received atomic.Int32
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(up.Close)
	g, _ := newGateFor(deploy.Upstream{Address: up.Listener.Addr().String(), Slots: 32, Residents: []deploy.Resident{{Model: "m"}}}, c,
		deploy.Route{Objective: 400 * time.Millisecond, PauseBound: 400 * time.Millisecond})
	r := httptest.NewRequest(http.MethodPost, "http://example.com/x", nil)
	r.Header.Set("Model", "m")
	w = httptest.NewRecorder()
	began := time.Now()
	g.ServeHTTP(w, r)
	return w, received.Load(), time.Since(began)
}

// Guards against prompts that make the streams of an upstream pause: a request waits for a
// permit in vain, and its host, which knows nothing of the prompts that others were
// granted there, sends it all the same.
func TestWhatTheCoordinatorLetWaitIsNotSentWithoutIt(t *testing.T) {
	t.Parallel()
	c := &waitingCoordinator{answers: true}
	w, sent, took := askOnce(t, c)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, sent, int32(0), "it has not run")
	assert.Assert(t, w.Header().Get("Retry-After") != "")
	assert.Assert(t, took < 400*time.Millisecond, "the caller is refused before the objective is over")
}

// Guards against requests that are refused while no coordinator answers, though their host
// knows of a free upstream.
func TestWithoutACoordinatorAHostSendsByItself(t *testing.T) {
	t.Parallel()
	w, sent, _ := askOnce(t, &waitingCoordinator{})
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, sent, int32(1))
}
