package permits

import (
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/balance"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
)

// rooms holds the accounts of brittle upstreams for the requests of all hosts. It is
// guarded by the mutex of permits.
type rooms struct {
	deps     *Deps
	limits   *upstreamLimits
	accounts map[*fleet.Entry]*roomAccount
}

// roomAccount is the account of one brittle upstream.
type roomAccount struct {
	*backpressure.Room
	loggedAt time.Time
}

func newRooms(d *Deps, l *upstreamLimits) rooms {
	return rooms{d, l, map[*fleet.Entry]*roomAccount{}}
}

// reset drops the accounts of an earlier term: other hosts have sent requests since.
func (r *rooms) reset() { clear(r.accounts) }

// account returns the account of an upstream; nil if the upstream is not brittle.
func (r *rooms) account(e *fleet.Entry, now time.Time) (*roomAccount, backpressure.Fragility) {
	brittle := e.Brittle()
	if !brittle.Stated {
		return nil, backpressure.Fragility{}
	}
	a := r.accounts[e]
	if a == nil {
		a = &roomAccount{Room: backpressure.NewRoom(now, !e.HasAnswered())}
		r.accounts[e] = a
	}
	described, _ := e.Description()
	return a, brittle.Fragility(described.Slots).Scaled(r.limits.share(now))
}

// wait returns the time until an upstream may get one more request, and how many are in
// flight there. Hosts report so many, and so many were granted here.
func (r *rooms) wait(e *fleet.Entry, reported, granted int, now time.Time) (wait time.Duration, inFlight int) {
	a, f := r.account(e, now)
	if a == nil {
		return 0, max(reported, granted)
	}
	inFlight = a.InFlight(reported, granted, now)
	return a.Wait(f, inFlight, now), inFlight
}

// count counts a request that is granted, and reports whether the upstream is brittle.
func (r *rooms) count(w *request, e *fleet.Entry, inFlight int, now time.Time) bool {
	a, f := r.account(e, now)
	if a == nil {
		return false
	}
	w.room, w.fragility, w.send = a.Room, f, a.Sent(f, inFlight, now)
	return true
}

// answered records that a request's answer began.
func (r *rooms) answered(w *request) {
	if w.room != nil {
		w.room.Answered(&w.send, w.fragility)
	}
}

// ended records the end of a request that was not refused.
func (r *rooms) ended(w *request, now time.Time) {
	if w.room != nil {
		w.room.Ended(&w.send, w.fragility, now)
		w.room = nil
	}
}

// abandoned records the end of a request that its upstream may still run.
func (r *rooms) abandoned(w *request, now time.Time) {
	if w.room != nil {
		w.room.Abandoned(&w.send, now)
		w.room = nil
	}
}

// refused records a refusal. inside is below 0 if the upstream stated no load.
func (r *rooms) refused(w *request, inside int, now time.Time) {
	if w.room == nil {
		return
	}
	w.room.Refused(&w.send, w.fragility, inside, now)
	w.room = nil
}

// restart begins the slow start of an upstream that is gone.
func (r *rooms) restart(e *fleet.Entry) {
	if a := r.accounts[e]; a != nil {
		a.Restart()
	}
}

// rate returns how many requests a second an upstream has lately ended; 0 if it is not
// brittle.
func (r *rooms) rate(e *fleet.Entry, now time.Time) float64 {
	if a := r.accounts[e]; a != nil {
		return a.Rate(now)
	}
	return 0
}

// roomLogInterval is the minimum time between two log lines on one upstream's room.
const roomLogInterval = time.Second

// maintain logs what was learnt and drops the accounts of upstreams that were removed or
// are no longer brittle.
func (r *rooms) maintain(now time.Time) {
	for e, a := range r.accounts {
		if !isCurrent(r.deps.Fleet, e) || !e.Brittle().Stated {
			delete(r.accounts, e)
			continue
		}
		if now.Sub(a.loggedAt) < roomLogInterval {
			continue
		}
		if learnt, ok := a.TakeLearnt(); ok {
			a.loggedAt = now
			r.deps.Log.Emit(event.UpstreamRoomLearnt, zap.String(event.FieldPeer, e.ID()), zap.Int("room", learnt.Room), zap.Int("turned_away", learnt.Refusals))
		}
	}
}

// withRoom adds the requests in flight at an upstream at which so many were granted, and
// the wait if it is brittle and has no room.
func (p *Permits) withRoom(e *fleet.Entry, out balance.Endpoint, granted int, now time.Time) balance.Endpoint {
	wait, inFlight := p.rooms.wait(e, out.InFlight, granted, now)
	out.Backoff, out.InFlight = max(out.Backoff, wait), inFlight
	return out
}

// endInRoom records in the room's account how a granted request ended, if not in full.
func (p *Permits) endInRoom(g *request, e *coordpb.TurnEvent) {
	switch {
	case g == nil:
	case e.Refused:
		p.rooms.refused(g, insideOf(e), p.deps.Now())
	case e.Abandoned:
		p.rooms.abandoned(g, p.deps.Now())
	}
}

// insideOf returns how many requests a refusing upstream said to have; below 0: it said
// nothing.
func insideOf(e *coordpb.TurnEvent) int {
	if !e.LoadStated {
		return -1
	}
	return int(e.Inside)
}

// restartSuspects begins the slow start of brittle upstreams that several hosts exclude.
func (p *Permits) restartSuspects() {
	for id := range p.suspects {
		if e, ok := p.deps.Fleet.Entry(id); ok {
			p.rooms.restart(e)
		}
	}
}
