package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/coordinator/coordpb"
)

// resting is a request of a host that upstream "u" asked for rest; 0: of another host.
func resting(left time.Duration) *turn {
	w := &turn{upstream: "u", event: &coordpb.TurnEvent{}}
	if left > 0 {
		w.event.Rests = []*coordpb.UpstreamRest{{Upstream: "u", ForMs: uint32(left.Milliseconds())}}
	}
	return w
}

// Guards against all hosts sending at once to an upstream that turns requests away.
func TestAnUpstreamThatAskedForRestGetsOneRequestAtATimeUntilItAnswers(t *testing.T) {
	r, now := rests{}, time.Now()
	w := resting(3 * time.Second)
	r.enter(w, now)
	assert.Equal(t, w.rests["u"], now.Add(3*time.Second))
	other, next := resting(0), resting(0)
	assert.Equal(t, r.wait("u"), time.Duration(0))
	assert.Assert(t, r.granted(other))
	assert.Assert(t, r.wait("u") > 0)
	r.ended(other)
	assert.Equal(t, r.wait("u"), time.Duration(0), "it was turned away")
	assert.Assert(t, r.granted(next))
	r.answered(next, 1)
	r.ended(next)
	assert.Assert(t, !r.granted(resting(0)))
	r.enter(resting(2500*time.Millisecond), now.Add(500*time.Millisecond))
	assert.Assert(t, !r.granted(resting(0)), "the rest that is known")
	r.enter(resting(3*time.Second), now.Add(500*time.Millisecond))
	assert.Assert(t, r.granted(resting(0)), "another one")
	r.forget(now.Add(10 * time.Second))
	assert.Equal(t, len(r), 0)
}
