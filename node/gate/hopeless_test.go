package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/balance"
)

// hopelessCoordinator says that those who wait have all the room for longer than a request
// can wait.
type hopelessCoordinator struct {
	noCoordinator
	account string
}

const toldToReturn = 700 * time.Millisecond

func (c *hopelessCoordinator) RequestPermit(_ context.Context, q *PermitRequest) (*Permit, error) {
	c.account = q.Account
	return &Permit{Reason: balance.AllPrefilling, RetryAfter: toldToReturn}, nil
}

// Guards against a request that takes the room of those who wait, because its host sees an
// upstream that seems free, and against callers who return in another order, or together,
// because their host changes the time that they were told.
func TestAHopelessRequestIsRefusedAtOnceWithItsTime(t *testing.T) {
	var sent atomic.Int32
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { sent.Add(1) }))
	defer up.Close()
	g, _ := newEngineGate(up.Listener.Addr().String())
	g.deps.Coordinator = &hopelessCoordinator{}
	r := httptest.NewRequest(http.MethodPost, "http://example.com/x", nil)
	r.Header.Set("Model", "m")
	w := httptest.NewRecorder()
	began := time.Now()
	g.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(began) < 300*time.Millisecond, "it was not held")
	after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Equal(t, after, toldToReturn.Seconds())
	assert.Equal(t, sent.Load(), int32(0), "it has not run")
}
