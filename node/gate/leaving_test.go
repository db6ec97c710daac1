package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
)

// blockedCoordinator is a host that decides for all and has no turn for anybody.
type blockedCoordinator struct{ noModelCoordinator }

func (*blockedCoordinator) RequestPermit(ctx context.Context, _ *PermitRequest) (*Permit, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Symptom: a request is held by a host that stops until its process ends; no
// upstream was ever asked to work on it.
// Sequence: all upstreams are busy; the host is told to stop before, or while,
// a request that has much time waits there for a turn, or for its model.
// Cause: it may wait for most of its time, as at a host that stays.
func TestARequestIsNotHeldByAStoppingHost(t *testing.T) {
	for _, c := range []struct {
		name    string
		models  Coordinator
		stopAt  time.Duration
		refused time.Duration // at the latest
	}{
		{"for a turn, told before", &blockedCoordinator{}, 0, drainingMaxHold + modelHoldAfter},
		{"for a turn, told early", &blockedCoordinator{}, drainingMaxHold / 2, drainingMaxHold + modelHoldAfter},
		{"for a turn, told late", &blockedCoordinator{}, 3 * drainingMaxHold, 3*drainingMaxHold + modelHoldAfter},
		{"for a model", &noModelCoordinator{}, 3 * drainingMaxHold, 3*drainingMaxHold + modelHoldAfter},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, _ := newGate(c.models, "")
				changeRoute(g, func(r *deploy.Route) { r.Timeout, r.Objective = 20*time.Second, 10*time.Second })
				leaving, leave := context.WithCancel(t.Context())
				g.deps.HoldsLimited = leaving
				g.deps.Draining = func() bool { return leaving.Err() != nil }
				time.AfterFunc(c.stopAt, leave)
				time.Sleep(time.Nanosecond) // for a stop at once
				r := httptest.NewRequest(http.MethodPost, "http://example.com/x", nil)
				r.Header.Set("Model", "new")
				w := httptest.NewRecorder()
				began := time.Now()
				g.ServeHTTP(w, r)
				assert.Equal(t, w.Code, http.StatusServiceUnavailable)
				assert.Assert(t, time.Since(began) <= c.refused, "%v", time.Since(began))
			})
		})
	}
}

// modelHoldAfter is how long such a request may wait for its model after that: an
// eighth of its objective.
const modelHoldAfter = 1250 * time.Millisecond
