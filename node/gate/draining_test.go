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

// blockedCoordinator is a coordinator that never grants a permit.
type blockedCoordinator struct{ noModelCoordinator }

func (*blockedCoordinator) RequestPermit(ctx context.Context, _ *PermitRequest) (*Permit, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a request that a draining host holds until its process ends, without
// ever sending it: all upstreams are busy, and the host begins to drain before or while
// a request with a long deadline waits for a permit or for its model. The request then
// waits for most of its time, as at a host that is not draining.
func TestARequestIsNotHeldByAStoppingHost(t *testing.T) {
	for _, c := range []struct {
		name        string
		coordinator Coordinator
		stopAt      time.Duration
		refused     time.Duration // at the latest
	}{
		{"for a permit, stopping before", &blockedCoordinator{}, 0, drainingMaxHold + modelHoldAfter},
		{"for a permit, stopping early", &blockedCoordinator{}, drainingMaxHold / 2, drainingMaxHold + modelHoldAfter},
		{"for a permit, stopping late", &blockedCoordinator{}, 3 * drainingMaxHold, 3*drainingMaxHold + modelHoldAfter},
		{"for a model", &noModelCoordinator{}, 3 * drainingMaxHold, 3*drainingMaxHold + modelHoldAfter},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, _ := newGate(c.coordinator, "")
				changeRoute(g, func(r *deploy.Route) { r.Timeout, r.Objective = 20*time.Second, 10*time.Second })
				holdsLimited, limitHolds := context.WithCancel(t.Context())
				g.deps.HoldLimitContext = holdsLimited
				g.deps.Draining = func() bool { return holdsLimited.Err() != nil }
				time.AfterFunc(c.stopAt, limitHolds)
				time.Sleep(time.Nanosecond) // lets a stop at 0 happen first
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

// modelHoldAfter is how long a request of this test may wait for its model after its wait
// for a permit: an eighth of its objective.
const modelHoldAfter = 1250 * time.Millisecond
