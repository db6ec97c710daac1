package permits

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/quota"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/follow"
)

// testClock is a clock that a test sets. Timers still run by the wall clock.
type testClock struct {
	now    time.Time
	config *follow.ActiveConfig
}

func (c *testClock) Now() time.Time { return c.now }

// newLimitedPermits returns permits whose team t may use 100 tokens a second and has used
// its burst; a request of rank 1 has been refused, so that ranks differ.
func newLimitedPermits(t *testing.T) (*Permits, *testClock, *Stream) {
	perms, _ := newTestPermits("u")
	clock := &testClock{now: time.Now()}
	perms.deps.Now = clock.Now
	clock.config = perms.limitTeam("t", 100)
	s := newTestStream()
	perms.Handle(s, limitedRequestEvent(1, 200, 0, 0))
	perms.Handle(s, limitedRequestEvent(2, 200, 1, 0))
	got := drainAnswers(s)
	assert.Equal(t, got[1].Kind, coordpb.TurnAnswer_GRANTED)
	assert.Equal(t, got[2].Kind, coordpb.TurnAnswer_OVER)
	return perms, clock, s
}

// limitedRequestEvent is a request without a permit that may wait for its team's limit.
func limitedRequestEvent(id uint64, cost, rank uint32, wait time.Duration) *coordpb.TurnEvent {
	return &coordpb.TurnEvent{Id: id, Kind: coordpb.TurnEvent_CHARGE, Team: "t", Charge: cost, RouteRank: rank, AccountWaitMs: uint32(wait.Milliseconds()), ReturnWithinMs: 5000}
}

// advance sets the clock forward and decides on what waits for limits.
func (c *testClock) advance(p *Permits, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.now = c.now.Add(d)
	p.serveTeams(c.now)
}

// level returns what the team's account holds.
func (p *Permits) level(now time.Time) float64 {
	return p.deps.Accounts.Charge("t", quota.Ask{}, now).Level
}

// Guards against less urgent requests that take what comes in while more urgent ones wait.
func TestTheMoreUrgentRequestIsAdmittedFirst(t *testing.T) {
	perms, clock, s := newLimitedPermits(t)
	perms.Handle(s, limitedRequestEvent(3, 50, 1, 10*time.Second))
	perms.Handle(s, limitedRequestEvent(4, 50, 0, 2*time.Second))
	got := drainAnswers(s)
	assert.Equal(t, got[3].Kind, coordpb.TurnAnswer_QUEUED)
	assert.Assert(t, got[4].ForLimit)
	clock.advance(perms, 600*time.Millisecond)
	got = drainAnswers(s)
	assert.Equal(t, got[4].Kind, coordpb.TurnAnswer_GRANTED)
	assert.Assert(t, got[3] == nil)
	clock.advance(perms, 600*time.Millisecond)
	assert.Equal(t, drainAnswers(s)[3].Kind, coordpb.TurnAnswer_GRANTED)
}

// Guards against a request that waits for its limit until the next one arrives.
func TestATimerAdmitsWhatWaits(t *testing.T) {
	perms, _ := newTestPermits("u")
	perms.limitTeam("t", 1000)
	s := newTestStream()
	perms.Handle(s, limitedRequestEvent(1, 2000, 0, 0))
	perms.Handle(s, limitedRequestEvent(2, 2000, 1, 0))
	perms.Handle(s, limitedRequestEvent(3, 50, 0, time.Second))
	assert.Equal(t, drainAnswers(s)[3].Kind, coordpb.TurnAnswer_QUEUED)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a := drainAnswers(s)[3]; a != nil && a.Kind == coordpb.TurnAnswer_GRANTED {
			return poll.Success()
		}
		return poll.Continue("it waits")
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(2*time.Second))
}

// Guards against charges for requests whose caller left or whose host is gone.
func TestWhoAsksNoMoreIsNotCharged(t *testing.T) {
	for name, end := range map[string]func(*Permits, *Stream){
		"the host ends its request": func(p *Permits, s *Stream) {
			p.Handle(s, &coordpb.TurnEvent{Id: 3, Kind: coordpb.TurnEvent_END})
		},
		"the host's stream ends": func(p *Permits, s *Stream) { p.RemoveStream(s) },
	} {
		t.Run(name, func(t *testing.T) {
			perms, clock, s := newLimitedPermits(t)
			perms.Handle(s, limitedRequestEvent(3, 100, 0, 2*time.Second))
			end(perms, s)
			drainAnswers(s)
			clock.advance(perms, 2*time.Second)
			assert.Equal(t, len(drainAnswers(s)), 0)
			assert.Assert(t, perms.level(clock.now) > 199, "%f", perms.level(clock.now))
			assert.Equal(t, len(perms.teams.byKey)+len(perms.teams.byWaiter), 0)
		})
	}
}

// Guards against a team that is charged twice: its host gave a permit up, and charges the
// request again if it sends it by its own decision.
func TestTheChargeOfAPermitThatIsGivenUpIsUndone(t *testing.T) {
	for _, uncharged := range []bool{false, true} {
		t.Run(fmt.Sprint(uncharged), func(t *testing.T) {
			perms, clock, s := newLimitedPermits(t)
			clock.advance(perms, 2*time.Second)
			perms.Handle(s, chargedRequest(3, 150))
			perms.Handle(s, chargedRequest(4, 50)) // waits for the upstream
			perms.Handle(s, &coordpb.TurnEvent{Id: 3, Kind: coordpb.TurnEvent_END, Uncharged: uncharged})
			perms.Handle(s, &coordpb.TurnEvent{Id: 4, Kind: coordpb.TurnEvent_END, Uncharged: uncharged})
			want := 0.0
			if uncharged {
				want = 200
			}
			assert.Equal(t, perms.level(clock.now), want)
		})
	}
}

// Guards against requests that wait for an account that is gone, when its host begins
// another term.
func TestANewTermDecidesOnWhatWaited(t *testing.T) {
	perms, clock, s := newLimitedPermits(t)
	perms.Handle(s, limitedRequestEvent(3, 100, 0, 2*time.Second))
	perms.Handle(s, limitedRequestEvent(4, 50, 1, 10*time.Second))
	drainAnswers(s)
	perms.deps.Accounts.Reset() // the new account holds a burst
	perms.Reset()
	got := drainAnswers(s)
	assert.Equal(t, got[3].Kind, coordpb.TurnAnswer_GRANTED)
	assert.Equal(t, got[4].Kind, coordpb.TurnAnswer_GRANTED)
	assert.Equal(t, len(perms.teams.byKey), 0)
	assert.Assert(t, perms.level(clock.now) < 51, "each was charged once")
}

// Guards against requests that wait for a limit that was lowered, so that it admits them
// too late, or removed.
func TestALimitThatChangesDecidesOnWhatWaits(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond float64
		want      coordpb.TurnAnswer_Kind
	}{"lowered": {10, coordpb.TurnAnswer_OVER}, "removed": {0, coordpb.TurnAnswer_GRANTED}, "raised": {1e6, coordpb.TurnAnswer_GRANTED}} {
		t.Run(name, func(t *testing.T) {
			perms, clock, s := newLimitedPermits(t)
			perms.Handle(s, limitedRequestEvent(3, 100, 0, 2*time.Second))
			assert.Equal(t, drainAnswers(s)[3].Kind, coordpb.TurnAnswer_QUEUED)
			limit := quota.Limit{Unit: quota.Tokens, PerSecond: c.perSecond, Burst: 200}
			clock.config.ApplyIfNewer(&deploy.Config{Version: 2, Teams: []deploy.Team{{Name: "t", Limit: limit}}}, "test")
			clock.advance(perms, 200*time.Millisecond)
			clock.advance(perms, 10*time.Millisecond) // at the new rate
			assert.Equal(t, drainAnswers(s)[3].Kind, c.want)
		})
	}
}

// Guards against a request that spends the time for its permit at its team's account: what
// it waited there counts towards its host's times.
func TestTheWaitForALimitCountsTowardsTheTimesOfARequest(t *testing.T) {
	perms, clock, s := newLimitedPermits(t)
	e := chargedRequest(3, 100)
	e.AccountWaitMs, e.InTimeMs, e.PatienceMs = 2000, 5000, 3000
	perms.Handle(s, e)
	assert.Assert(t, drainAnswers(s)[3].ForLimit)
	clock.advance(perms, 1100*time.Millisecond)
	assert.Equal(t, drainAnswers(s)[3].Kind, coordpb.TurnAnswer_GRANTED)
	assert.Equal(t, e.InTimeMs, uint32(3900))
	assert.Equal(t, e.PatienceMs, uint32(1900))
}
