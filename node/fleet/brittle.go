package fleet

import (
	"hash/fnv"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/event"
)

// brittleTTL is how long after the last sign that upstreams of a service are brittle one
// that has not answered yet is treated as brittle: several intervals between two checks.
const brittleTTL = 3 * time.Second

// notBrittle is logged for an upstream that is not brittle.
const notBrittle = -1

// brittleServices holds the services some of whose upstreams are brittle. A process that
// starts while the others are brittle is brittle too, before its first answer says so.
// Its lock is taken after those of entries.
type brittleServices struct {
	mu        sync.Mutex
	byService map[string]brittleService
}

type brittleService struct {
	brittle backpressure.Brittle
	until   time.Time
}

func (b *brittleServices) note(service string, stated backpressure.Brittle, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService == nil {
		b.byService = map[string]brittleService{}
	}
	b.byService[service] = brittleService{stated, now.Add(brittleTTL)}
}

func (b *brittleServices) of(service string, now time.Time) backpressure.Brittle {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.byService[service]; now.Before(s.until) {
		return s.brittle
	}
	return backpressure.Brittle{}
}

// noteBrittleLocked notes that upstreams of its service are brittle, if it is.
func (e *Entry) noteBrittleLocked() {
	if e.signal.Brittle.Stated {
		e.fleet.brittle.note(e.service, e.signal.Brittle, e.fleet.deps.Now())
	}
}

// Brittle returns whether the upstream is brittle: by its latest signal, or, before it
// has sent any, by those of others of its service.
func (e *Entry) Brittle() backpressure.Brittle {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.brittleLocked(e.fleet.deps.Now())
}

func (e *Entry) brittleLocked(now time.Time) backpressure.Brittle {
	if e.signal.Brittle.Stated || !e.signal.ReceivedAt.IsZero() || e.fleet.limits.passed(now) {
		return e.signal.Brittle
	}
	return e.fleet.brittle.of(e.service, now)
}

// HasAnswered reports whether any host is known to have received an answer of the upstream.
func (e *Entry) HasAnswered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.signal.ReceivedAt.IsZero()
}

// roomLocked returns this host's account of the upstream for the time since this host has
// been without coordinator.
func (e *Entry) roomLocked(s *limitSharing, now time.Time) *backpressure.Room {
	if e.room == nil || e.roomSince != s.since {
		e.room, e.roomSince = backpressure.NewRoom(now, e.signal.ReceivedAt.IsZero()), s.since
	}
	return e.room
}

// fragilityLocked returns this host's part of what the upstream stands.
func (e *Entry) fragilityLocked(b backpressure.Brittle, s backpressure.Share) backpressure.Fragility {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.id)) // never fails
	return b.Fragility(e.desc.Slots).PartOf(s, int(h.Sum32()%uint32(max(s.Count, 1))))
}

// takenLocked returns how many of this host's part of the slots are taken: by its own
// requests, and by those that other hosts were last known to have beyond their parts. The
// coordinator that granted these did not go by parts.
func (e *Entry) takenLocked(b backpressure.Brittle, s backpressure.Share, now time.Time) int {
	others, _ := e.fleet.otherHosts.at(e, now)
	partOfOthers := b.Fragility(e.desc.Slots).Slots - e.fragilityLocked(b, s).Slots
	return e.own.Requests + max(others.Requests-partOfOthers, 0)
}

// logBrittle logs that the upstream has become brittle, or no longer is.
func (e *Entry) logBrittle(b backpressure.Brittle, source string) {
	refusals := notBrittle
	if b.Stated {
		refusals = b.Refusals
	}
	e.fleet.deps.Log.Emit(event.UpstreamBrittle, zap.String(event.FieldPeer, e.id), zap.Int("refusals_per_s", refusals), zap.String("source", source))
}

// roomSend is an attempt that counts in this host's account of a brittle upstream.
type roomSend struct {
	account   *backpressure.Room
	send      backpressure.Send
	fragility backpressure.Fragility
}

// countInRoomLocked counts an attempt without a permit in this host's account of the upstream.
func (x *Attempt) countInRoomLocked(now time.Time) {
	brittle := x.e.brittleLocked(now)
	s := x.e.fleet.sharing.Load()
	if !brittle.Stated || s == nil || !s.uncoordinated {
		return
	}
	r := &roomSend{account: x.e.roomLocked(s, now), fragility: x.e.fragilityLocked(brittle, s.share)}
	r.send = r.account.Sent(r.fragility, x.e.takenLocked(brittle, s.share, now)-1, now)
	x.room = r
}

// endInRoomLocked ends an attempt that counts in this host's account.
func (x *Attempt) endInRoomLocked() {
	if x.room == nil {
		return
	}
	now := x.e.fleet.deps.Now()
	if x.refused {
		x.room.account.Refused(&x.room.send, x.room.fragility, x.e.statedInsideLocked(now), now)
		return
	}
	if x.abandoned {
		x.room.account.Abandoned(&x.room.send, now)
		return
	}
	x.room.account.Ended(&x.room.send, x.room.fragility, now)
}

// statedInsideLocked returns how many requests the upstream has said on its last answer
// to have; below 0: nothing recent.
func (e *Entry) statedInsideLocked(now time.Time) int {
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) > refusalLoadTTL {
		return -1
	}
	return e.reported.Running + e.reported.Waiting
}

// refusalLoadTTL is how old a stated load may be to go with a refusal: both are of one answer.
const refusalLoadTTL = 20 * time.Millisecond
