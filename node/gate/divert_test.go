package gate

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/deploy"
)

// Guards against a sound host whose requests pay for the way through other hosts with an
// allocation at each wait.
func TestAHoldAllocatesNothing(t *testing.T) {
	g := withDetour(newHopGate("127.0.0.1:1", 0, 1), stubDetour{needed: func() bool { return false }})
	q := &request{g: g}
	cancel := func(error) {}
	q.beginSend(cancel)
	q.endHold()
	assert.Equal(t, testing.AllocsPerRun(1000, func() { q.beginSend(cancel); q.cutOff(); q.endHold() }), 0.0)
}

// Guards against a wait that is not ended by a cut, or an attempt that is ended after it was
// sent: waits begin and end in any order, and cuts come between.
func TestJustTheWaitsThatLastAreDiverted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &holds{needed: func() bool { return false }}
		all := make([]hold, 6)
		open, diverted := map[int]bool{}, map[int]bool{}
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 2*len(all)), 1, 40).Draw(rt, "steps") {
			i := step / 2
			switch {
			case step == 2*len(all):
				l.mu.Lock()
				l.divertLocked()
				l.mu.Unlock()
				for i := range open {
					diverted[i] = true
				}
				clear(open)
			case step%2 == 1:
				assert.Equal(rt, l.remove(&all[i]), diverted[i])
				delete(open, i)
			case !open[i]:
				delete(diverted, i)
				l.add(&all[i], func() {}, nil)
				open[i] = true
			}
		}
		n := 0
		for h := l.first; h != nil; h = h.next {
			n++
		}
		assert.Equal(rt, n, len(open))
	})
}

// Guards against a wait that begins just after the others were diverted and lasts to its end.
func TestAWaitThatBeginsDuringACutIsDiverted(t *testing.T) {
	l := &holds{needed: func() bool { return true }}
	var h hold
	ended := false
	l.add(&h, func() { ended = true }, nil)
	assert.Assert(t, ended)
	assert.Assert(t, l.remove(&h))
}

// Guards against a request that is refused before its wait is over: the cut that diverted the
// wait ended before the request looked for another host.
func TestAWaitGoesOnIfItsCutHasEnded(t *testing.T) {
	t.Parallel()
	g := withDetour(newHopGate("127.0.0.1:1", deploy.Idempotent, 1), stubDetour{needed: func() bool { return false }})
	diverted := time.AfterFunc(50*time.Millisecond, g.holds.divert)
	defer diverted.Stop()
	r := httptest.NewRequest(http.MethodPost, "http://example.com/x", nil)
	r.Header.Set("Model", "resident nowhere")
	w := httptest.NewRecorder()
	began := time.Now()
	g.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	wait := time.Duration(float64(g.deps.Config.Current().Config.Routes[0].Objective) * modelWaitShare)
	assert.Assert(t, time.Since(began) >= wait, "%v of %v, %s", time.Since(began), wait, w.Body)
}
