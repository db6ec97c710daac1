package gate

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers that are told other times than those at which their team's account
// has room for them, and against an account that does not know how long a request may wait.
func TestACallerOverItsLimitIsToldWhatItWasPromised(t *testing.T) {
	a := &account{promises: true}
	g := newTeamGate(a, "127.0.0.1:1", func(AttemptInfo) {})
	g.deps.Rand = func() float64 { return 0.99 }
	w := sendKeyed(g, "l")
	assert.Equal(t, w.Code, http.StatusTooManyRequests)
	assert.Equal(t, w.Header().Get("Retry-After"), "3.000")
	assert.Equal(t, a.asked.Rank, 0, "the only route")
	assert.Assert(t, a.asked.MaxWait > 390*time.Millisecond && a.asked.MaxWait <= 400*time.Millisecond, "%v of an objective of 1 s", a.asked.MaxWait)
	assert.Assert(t, a.asked.ReturnWithin > 3300*time.Millisecond && a.asked.ReturnWithin < 3334*time.Millisecond, "%v of 10 s", a.asked.ReturnWithin)
	assert.Assert(t, !a.asked.Overdue)
	a.promises = false
	assert.Equal(t, sendKeyed(g, "l").Header().Get("Retry-After"), "3.495", "others were told the same")
}

// Guards against requests that came back after a refusal, too late for their objective, and
// take what those that can still be in time then lack.
func TestACallerThatCameBackIsKnownByItsTimeLeft(t *testing.T) {
	var ages attemptAges
	for range 100 {
		assert.Equal(t, ages.observe(callerKind{route: "r"}, 5*time.Second), time.Duration(0))
	}
	age := ages.observe(callerKind{route: "r"}, 3*time.Second)
	assert.Assert(t, age > 1900*time.Millisecond && age <= 2*time.Second, "%s", age)
	assert.Equal(t, ages.observe(callerKind{route: "other"}, 3*time.Second), time.Duration(0))
	assert.Equal(t, ages.observe(callerKind{route: "r"}, 0), time.Duration(0), "it states none")
	for range 5000 {
		ages.observe(callerKind{route: "r"}, 3*time.Second)
	}
	assert.Equal(t, ages.observe(callerKind{route: "r"}, 3*time.Second), time.Duration(0), "callers state less from now on")
}

// Guards against a request that is sent, or charged, though its key was taken away while it
// waited for its team's limit.
func TestAKeyThatIsTakenAwayDuringAWaitIsNotServed(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("it was sent") }))
	defer up.Close()
	a := &account{balance: 1000}
	g := newTeamGate(a, up.Listener.Addr().String(), func(AttemptInfo) {})
	a.during = func() {
		table := *g.deps.Config.Current().Config
		table.Version++
		table.Teams = table.Teams[1:]
		g.deps.Config.ApplyIfNewer(&table, "test")
	}
	assert.Equal(t, sendKeyed(g, "l").Code, http.StatusUnauthorized)
	assert.Equal(t, a.charges, 1)
	assert.Equal(t, a.balance, 1000.0)
}
