package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// timedCodec reads the time that a caller states to have left, in milliseconds.
type timedCodec struct{ Codec }

func (c timedCodec) DecodeRequest(h http.Header) RequestInfo {
	info := c.Codec.DecodeRequest(h)
	ms, err := strconv.Atoi(h.Get("Time-Left-Ms"))
	if err == nil {
		info.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	return info
}

// objectiveRecorder records what was left of the objective of the newest permit request.
type objectiveRecorder struct {
	fixedCoordinator
	left time.Duration
}

func (o *objectiveRecorder) RequestPermit(ctx context.Context, r *PermitRequest) (*Permit, error) {
	o.left = r.ObjectiveLeft
	return o.fixedCoordinator.RequestPermit(ctx, r)
}

// Guards against calls that all are late while a plain service gets more than it can serve:
// those that were refused and came back went before those that could still be in time.
func TestAnObjectiveCountsFromTheCallersFirstAttempt(t *testing.T) {
	o := &objectiveRecorder{}
	g := newPlainGate(t, o, 18)
	g.deps.Codec = timedCodec{g.deps.Codec}
	call := func(leftMs int) {
		r := httptest.NewRequest(http.MethodPost, "http://example.com/x", nil)
		r.Header.Set("Time-Left-Ms", strconv.Itoa(leftMs))
		g.ServeHTTP(httptest.NewRecorder(), r)
	}
	for range 100 {
		call(1000)
	}
	assert.Assert(t, o.left > 100*time.Millisecond, "%s", o.left)
	call(600)
	assert.Assert(t, o.left < -200*time.Millisecond, "%s", o.left)
	call(1000)
	assert.Assert(t, o.left > 100*time.Millisecond, "%s", o.left)
}

// Guards against first attempts that count as old since another team, whose callers have more
// time, sends most of the requests on the route.
func TestAnotherTeamsTimesMakeNoAttemptOld(t *testing.T) {
	var ages attemptAges
	for range 400 {
		for range 20 {
			ages.observe(callerKind{"r", "flood"}, 30*time.Second)
		}
		assert.Equal(t, ages.observe(callerKind{"r", "usual"}, 10*time.Second), time.Duration(0))
	}
}
