package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/apikey"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/quota"
)

// keyedCodec reads the key from a header of its own.
type keyedCodec struct {
	plainCodec
	sent func(AttemptInfo)
}

func (c keyedCodec) DecodeRequest(h http.Header) RequestInfo {
	info := c.plainCodec.DecodeRequest(h)
	info.Key, info.DeclaresTokens = apikey.HashOf(h.Get("Key")), true
	return info
}

func (c keyedCodec) SetAttempt(_ http.Header, info AttemptInfo) { c.sent(info) }

// account is the limit of one team at one host.
type account struct {
	noCoordinator
	mu       sync.Mutex
	balance  float64
	charges  int
	promises bool      // refused requests are told a time that is kept free for them
	asked    quota.Ask // by the last request
	during   func()    // called while a request waits for the limit; nil: none waits
}

func (a *account) Charge(_ context.Context, _ *deploy.Team, q quota.Ask) LimitAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked = q
	if a.during != nil {
		a.during()
	}
	if a.balance < q.Cost {
		return LimitAnswer{RetryAfter: 3 * time.Second, Promised: a.promises}
	}
	a.balance -= q.Cost
	a.charges++
	return LimitAnswer{OK: true}
}

func (a *account) Refund(_ *deploy.Team, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balance += cost
}

// newTeamGate returns a gate with one upstream and two teams: "limited", which may send
// what the account allows, and "first", which has no limit and is more urgent.
func newTeamGate(a *account, address string, sent func(AttemptInfo)) *Gate {
	g, _ := newGateFor(deploy.Upstream{Address: address, Slots: 4, Residents: []deploy.Resident{{Model: "m"}}}, a, deploy.Route{Objective: time.Second, Priority: 2})
	g.deps.TeamLimits, g.deps.Codec = a, keyedCodec{sent: sent}
	table := *g.deps.Config.Current().Config
	table.Version++
	table.Teams = []deploy.Team{{Name: "limited", Urgency: 1, Keys: []apikey.Hash{apikey.HashOf("l")}, Limit: quota.Limit{Unit: quota.Tokens, PerSecond: 10, Burst: 10}},
		{Name: "first", Keys: []apikey.Hash{apikey.HashOf("f")}}}
	g.deps.Config.ApplyIfNewer(&table, "test")
	return g
}

func sendKeyed(g *Gate, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "http://example.com/x", nil)
	r.Header.Set("Model", "m")
	r.Header.Set("Key", key)
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w
}

// Guards against a team that is charged for requests that have not run, or twice for
// one that was sent twice.
func TestATeamPaysOnceForWhatHasRunOnly(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	a := &account{balance: 250}
	g := newTeamGate(a, up.Listener.Addr().String(), func(AttemptInfo) {})
	assert.Equal(t, sendKeyed(g, "l").Code, http.StatusOK)
	assert.Equal(t, a.balance, 140.0, "100 prompt tokens and 10 output tokens")
	up.Close()
	assert.Equal(t, sendKeyed(g, "l").Code, http.StatusServiceUnavailable)
	assert.Equal(t, a.balance, 140.0, "it has not run")
	a.balance = 100
	w := sendKeyed(g, "l")
	assert.Equal(t, w.Code, http.StatusTooManyRequests)
	assert.Equal(t, w.Body.String(), "over_limit\n")
	assert.Assert(t, w.Header().Get("Retry-After") >= "3", w.Header().Get("Retry-After"))
	assert.Equal(t, a.balance, 100.0)
	sendKeyed(g, "f")
	assert.Equal(t, a.charges, 2, "a team without a limit is not charged")
}

// Guards against upstreams that get the route's urgency in place of the team's, or no team.
func TestUpstreamsReceiveTheTeamAndItsUrgency(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer up.Close()
	var got []AttemptInfo
	g := newTeamGate(&account{balance: 1000}, up.Listener.Addr().String(), func(s AttemptInfo) { got = append(got, s) })
	assert.Equal(t, sendKeyed(g, "l").Code, http.StatusOK)
	assert.Equal(t, sendKeyed(g, "f").Code, http.StatusOK)
	assert.Equal(t, sendKeyed(g, "unknown").Code, http.StatusUnauthorized)
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Team, "limited")
	assert.Equal(t, got[1].Team, "first")
	assert.Assert(t, got[1].Urgency < got[0].Urgency)
	assert.Equal(t, got[0].UrgencyLevels, 2)
}
