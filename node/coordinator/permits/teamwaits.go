package permits

import (
	"maps"
	"slices"
	"time"

	"peridotpier.example/core/quota"
	"peridotpier.example/node/coordinator/accounts"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
)

// teamWaits are the requests that wait for their teams' limits. None of them has been
// charged.
type teamWaits struct {
	byWaiter map[*quota.Waiter]*limitedRequest
	byKey    map[requestKey]*limitedRequest
	wakeAt   time.Time // when the accounts are looked at again; zero: nothing waits
	decided  []accounts.Decision
}

// limitedRequest is a request that waits for its team's limit.
type limitedRequest struct {
	key    requestKey
	event  *coordpb.TurnEvent
	waiter *quota.Waiter
	since  time.Time
}

func newTeamWaits() teamWaits {
	return teamWaits{byWaiter: map[*quota.Waiter]*limitedRequest{}, byKey: map[requestKey]*limitedRequest{}}
}

func (t *teamWaits) add(r *limitedRequest) {
	t.byWaiter[r.waiter], t.byKey[r.key] = r, r
}

// take removes the request of a waiter; nil: it was removed before.
func (t *teamWaits) take(w *quota.Waiter) *limitedRequest {
	r := t.byWaiter[w]
	if r != nil {
		delete(t.byWaiter, w)
		delete(t.byKey, r.key)
	}
	return r
}

// cancel ends the wait of a request that its host asks for no more, and reports whether it
// waited.
func (t *teamWaits) cancel(k requestKey, d *Deps) bool {
	r := t.byKey[k]
	if r == nil {
		return false
	}
	t.take(r.waiter)
	d.Accounts.Cancel(r.waiter)
	return true
}

// removeStream ends the waits of a host whose stream has ended.
func (t *teamWaits) removeStream(from *Stream, d *Deps) {
	for k := range t.byKey {
		if k.from == from {
			t.cancel(k, d)
		}
	}
}

// TeamWaits returns how many requests wait for their teams' limits.
func (p *Permits) TeamWaits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.teams.byKey)
}

// chargeTeam charges a request to its team's limit and reports whether the limit allows
// it. If not, it answers the host, and the request may wait for the limit.
func (p *Permits) chargeTeam(k requestKey, e *coordpb.TurnEvent, now time.Time) bool {
	if e.Team == "" {
		return true
	}
	q := quota.Ask{Rank: int(e.RouteRank), Cost: float64(e.Charge), MaxWait: wire.Milliseconds(e.AccountWaitMs),
		Overdue: e.Overdue, InTime: wire.Milliseconds(e.InTimeMs), ReturnWithin: wire.Milliseconds(e.ReturnWithinMs)}
	if !p.teams.wakeAt.IsZero() && !now.Before(p.teams.wakeAt) { // the timer is late: those that wait come first
		p.serveTeams(now)
	}
	answer := p.deps.Accounts.Charge(e.Team, q, now)
	switch answer.Verdict {
	case quota.Admit:
		return true
	case quota.Wait:
		p.teams.add(&limitedRequest{key: k, event: e, waiter: answer.Waiter, since: now})
		p.serveTeams(now)
		if p.teams.byKey[k] != nil {
			k.from.send(&coordpb.TurnAnswer{Id: k.id, Kind: coordpb.TurnAnswer_QUEUED, ForLimit: true})
		}
	default:
		refuseOverLimit(k, answer)
	}
	return false
}

func refuseOverLimit(k requestKey, answer quota.Answer) {
	k.from.send(&coordpb.TurnAnswer{Id: k.id, Kind: coordpb.TurnAnswer_OVER, WaitMs: uint32(answer.RetryAfter.Milliseconds()) + 1,
		Level: int64(answer.Level), Promised: answer.Promised})
}

// refundUncharged undoes the charge of a request whose host gave it up before it heard of
// a permit. The host charges it again if it sends it by its own decision.
func (p *Permits) refundUncharged(k requestKey, e *coordpb.TurnEvent) {
	if !e.Uncharged {
		return
	}
	r := p.granted[k]
	if r == nil {
		r = p.waiting.find(k)
	}
	if r != nil && r.event.Team != "" {
		p.deps.Accounts.Refund(r.event.Team, float64(r.event.Charge), p.deps.Now())
	}
}

// serveTeams decides on the requests that wait for their teams' limits, as far as that is
// possible now.
func (p *Permits) serveTeams(now time.Time) {
	decided, again := p.deps.Accounts.Serve(p.teams.decided[:0], now)
	p.wakeTeams(now, again)
	for i, d := range decided {
		if r := p.teams.take(d.Waiter); r != nil {
			p.decideLimited(r, d.Answer, now)
		}
		decided[i] = accounts.Decision{}
	}
	p.teams.decided = decided
}

// decideLimited goes on with a request that waited for its team's limit. What it waited
// counts towards the times that its host stated.
func (p *Permits) decideLimited(r *limitedRequest, answer quota.Answer, now time.Time) {
	switch {
	case answer.Verdict != quota.Admit:
		refuseOverLimit(r.key, answer)
	case r.event.Kind == coordpb.TurnEvent_CHARGE:
		r.key.from.send(&coordpb.TurnAnswer{Id: r.key.id, Kind: coordpb.TurnAnswer_GRANTED})
	default:
		r.countWait(now)
		p.place(r.key, r.event, now)
	}
}

// wakeTeams calls serveTeams again after the given time; 0: nothing waits.
func (p *Permits) wakeTeams(now time.Time, again time.Duration) {
	at := now.Add(again)
	if again == 0 || !p.teams.wakeAt.IsZero() && !at.Before(p.teams.wakeAt) {
		return
	}
	p.teams.wakeAt = at
	p.deps.AfterFunc(again, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.teams.wakeAt.Equal(at) { // otherwise an earlier call has taken its place
			p.teams.wakeAt = time.Time{}
			p.serveTeams(p.deps.Now())
		}
	})
}

// countWait takes what the request has waited off the times that its host stated.
func (r *limitedRequest) countWait(now time.Time) {
	waited := uint32(max(now.Sub(r.since), 0).Milliseconds())
	e := r.event
	for _, left := range []*uint32{&e.InTimeMs, &e.AccountWaitMs, &e.ReturnWithinMs} {
		*left -= min(*left, waited)
	}
	if e.PatienceMs > 0 { // 0 means not stated
		e.PatienceMs = max(e.PatienceMs, waited+1) - waited
	}
	r.since = now
}

// askTeamsAgain asks the accounts of a new term for the requests that waited at the
// accounts of the former one, in the order in which they came.
func (p *Permits) askTeamsAgain() {
	former := p.teams.byKey
	p.teams.byWaiter, p.teams.byKey = map[*quota.Waiter]*limitedRequest{}, map[requestKey]*limitedRequest{}
	now := p.deps.Now()
	for _, r := range slices.SortedFunc(maps.Values(former), func(a, b *limitedRequest) int { return a.since.Compare(b.since) }) {
		r.countWait(now)
		if !p.chargeTeam(r.key, r.event, now) {
			continue
		}
		p.decideLimited(r, quota.Answer{Verdict: quota.Admit}, now)
	}
}
