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
	"peridotpier.example/node/fleet"
)

// granting is a host that decides for all and grants the one upstream.
type granting struct {
	modelless
	counted bool
	ended   atomic.Int32
}

func (g *granting) Turn(context.Context, *TurnAsk) (*Turn, error) {
	done := func() { g.ended.Add(1) }
	return &Turn{Upstream: "u", WithinLimit: g.counted, First: func() {}, Absent: done, End: done}, nil
}

// limit has the upstream of a gate's fleet name a limit.
func limit(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	e, ok := f.Entry("u")
	assert.Assert(t, ok)
	now := time.Now()
	e.Heed(backpressure.Signal{Limit: backpressure.Limit{Named: true, PerSecond: 1}, Sent: now.Add(-time.Millisecond), Heard: now}, "test")
}

// Guards against turns of a host that does not know of a limit yet: nobody counts them.
func TestATurnThatIsNotCountedIsNotUsedWhereALimitIsNamed(t *testing.T) {
	for _, counted := range []bool{false, true} {
		var reached atomic.Int32
		up := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached.Add(1) }))
		defer up.Close()
		models := &granting{counted: counted}
		g, f := waiting(models, up.Listener.Addr().String())
		limit(t, f)
		r := httptest.NewRequest(http.MethodPost, "http://example.com/x", nil)
		r.Header.Set("Model", "old")
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		if counted {
			assert.Equal(t, w.Code, http.StatusOK)
			assert.Equal(t, reached.Load(), int32(1))
			continue
		}
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, w.Body.String(), "all_backoff\n")
		assert.Equal(t, reached.Load(), int32(0))
		assert.Assert(t, models.ended.Load() > 0, "the turn is given back")
	}
}
