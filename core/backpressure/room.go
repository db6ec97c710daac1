package backpressure

import (
	"math"
	"slices"
	"time"
)

const (
	// refusalWindow is the time in which a brittle upstream counts its refusals.
	refusalWindow = time.Second
	// acceptedAfter is how long after a request was granted its refusal would be known: an
	// upstream refuses at once, so that this is several round trips between data centres.
	acceptedAfter = 150 * time.Millisecond
	// waryFor is for how long after a refusal of a request within the slots these do not
	// count as room that is certain, for an account that may cause no refusal to find out.
	waryFor = 5 * time.Second
	// roomDecrease is the factor of the learnt room upon a refusal that states no load.
	roomDecrease = 0.8
	// roomIncrease is by how many requests the learnt room increases while it is answered in
	// full once.
	roomIncrease = 1.0
	// initialRoomRatio is the room to begin with, as a multiple of the slots.
	initialRoomRatio = 1.25
	// minRoom is the room that is always tried.
	minRoom = 1.0
	// roomWait is how long a request waits for room before it is tried again. Mostly another
	// request ends, and it is tried, earlier.
	roomWait = 50 * time.Millisecond
	// rateMemory is the time over which the rate of ended requests is averaged.
	rateMemory = time.Second
)

// Room is the account of one brittle upstream. It learns how many requests the upstream
// has room for, and bounds how many can be refused.
//
// The room can shrink unannounced. So each request beyond the slots, which an upstream
// always has room for, counts as one that may be refused until its refusal would be
// known; a refused one counts for a whole window from then on. Of both together there are
// never more than the upstream stands. Its owner must guard it.
type Room struct {
	limit       float64     // learnt number of requests in the upstream
	beyond      int         // requests that were sent beyond the slots and have not ended
	exposed     []exposure  // requests that may still be refused, the oldest first
	refused     []time.Time // when refusals were learnt of, the oldest first
	waryUntil   time.Time   // until when even the slots are no certain room, if no refusal may be caused
	doubt       slotDoubt
	quietUntil  time.Time // until when refusals of an earlier account may count
	slowStart   SlowStart
	lastSend    uint64
	leastExcess int // least number of requests beyond the counted ones, since excessSince
	lastExcess  int // the same of the window before
	excessSince time.Time
	rate        float64 // ended requests per second
	rateAt      time.Time
	refusals    int // all that this account saw
	learntLimit int // limit of the last change that was taken
	abandoned   abandonedRuns
}

// exposure is one request that may still be refused.
type exposure struct {
	send  uint64
	until time.Time
}

// NewRoom returns the account of an upstream that others may have sent requests to until
// now. cold is set for an upstream that has just started.
func NewRoom(now time.Time, cold bool) *Room {
	r := &Room{quietUntil: now.Add(refusalWindow), rateAt: now}
	if cold {
		r.slowStart.Start()
	}
	return r
}

// Restart begins the slow start of an upstream that was gone.
func (r *Room) Restart() { r.slowStart.Start() }

// Limit returns the learnt room, in requests.
func (r *Room) Limit(f Fragility) float64 {
	if r.limit == 0 {
		r.limit = max(initialRoomRatio*float64(f.Slots), minRoom)
	}
	return r.limit
}

// Admits reports whether one more request may be sent, when so many are in flight.
func (r *Room) Admits(f Fragility, inFlight int, now time.Time) bool {
	r.expire(now)
	if r.slowStart.AtLimit() {
		return false
	}
	if r.isCertain(f, inFlight, now) {
		return true
	}
	if now.Before(r.quietUntil) || len(r.exposed)+len(r.refused) >= f.Refusals {
		return false
	}
	return float64(inFlight) < r.Limit(f)
}

// isCertain reports whether the upstream has room for one more request in its slots.
func (r *Room) isCertain(f Fragility, inFlight int, now time.Time) bool {
	taken := inFlight + r.abandoned.count(now)
	switch {
	case f.Refusals > 0:
		return taken < r.doubt.certain(f.Slots)
	case !now.Before(r.waryUntil):
		return taken < f.Slots
	}
	// An upstream that stands no refusal gets requests within what was learnt only.
	return len(r.refused) == 0 && taken < min(f.Slots, int(r.Limit(f)))
}

// Wait returns the time after which a request that is not admitted may be tried again; 0
// if it is admitted.
func (r *Room) Wait(f Fragility, inFlight int, now time.Time) time.Duration {
	if r.Admits(f, inFlight, now) {
		return 0
	}
	return roomWait
}

// Send is one request that was sent and is counted.
type Send struct {
	number    uint64
	at        time.Time
	inFlight  int
	abandoned int  // requests that could still run there beside those in flight
	within    bool // in a slot that was free
	slow      bool // it counts in the slow start
	answered  bool
}

// Sent counts a request that is sent, when so many others are in flight.
func (r *Room) Sent(f Fragility, inFlight int, now time.Time) Send {
	r.lastSend++
	s := Send{number: r.lastSend, at: now, inFlight: inFlight, abandoned: r.abandoned.count(now), within: r.isCertain(f, inFlight, now), slow: r.slowStart.Sent()}
	if !s.within {
		r.beyond++
		r.exposed = append(r.exposed, exposure{s.number, now.Add(acceptedAfter)})
	}
	return s
}

// Answered records that an answer to a request began.
func (r *Room) Answered(s *Send, f Fragility) {
	if s.answered {
		return
	}
	s.answered = true
	r.settle(s.number)
	r.doubt.answered(s, f.Slots)
	if s.slow {
		r.slowStart.Answered(f.Slots)
	}
}

// Ended records the end of a request that was not refused and no longer runs.
func (r *Room) Ended(s *Send, f Fragility, now time.Time) {
	r.leave(s)
	if s.answered {
		r.abandoned.observe(now.Sub(s.at))
	}
	r.countRate(1, now)
	if f.Refusals == 0 && now.Before(r.waryUntil) {
		return
	}
	if limit := r.Limit(f); s.answered && float64(s.inFlight+1) >= limit-1 { // the room was used
		r.limit = limit + roomIncrease/limit
	}
}

// Refused records that a request was refused for want of room. inside is how many
// requests the upstream says it has; below 0: it says nothing.
func (r *Room) Refused(s *Send, f Fragility, inside int, now time.Time) {
	r.leave(s)
	if s.slow {
		r.slowStart.Start()
	}
	r.refused = append(r.refused, now)
	r.refusals++
	inFlight := s.inFlight + s.abandoned
	limit := min(r.Limit(f), float64(max(inFlight, 1)))
	switch {
	case s.within && r.doubt.overtaken(r.beyond, now): // one beyond the slots has overtaken it
		limit = min(r.Limit(f), float64(max(inFlight, f.Slots)))
	case s.within:
		r.waryUntil = now.Add(waryFor)
		r.doubt.begin(now)
	}
	if inside > 0 {
		limit = min(limit, float64(inside))
	} else {
		limit *= roomDecrease
	}
	r.limit = max(limit, minRoom)
}

// leave takes a request out of those in flight.
func (r *Room) leave(s *Send) {
	r.settle(s.number)
	if !s.within {
		r.beyond--
	}
	if s.slow {
		r.slowStart.Ended()
	}
}

// settle records that a request can no longer be refused.
func (r *Room) settle(send uint64) {
	r.exposed = slices.DeleteFunc(r.exposed, func(x exposure) bool { return x.send == send })
}

// expire drops what no longer counts.
func (r *Room) expire(now time.Time) {
	r.exposed = slices.DeleteFunc(r.exposed, func(x exposure) bool { return !now.Before(x.until) })
	r.refused = slices.DeleteFunc(r.refused, func(at time.Time) bool { return now.Sub(at) >= refusalWindow })
}

// countRate adds ended requests to their rate.
func (r *Room) countRate(n float64, now time.Time) {
	kept := math.Exp(-now.Sub(r.rateAt).Seconds() / rateMemory.Seconds())
	r.rate, r.rateAt = r.rate*kept+n/rateMemory.Seconds(), now
}

// Rate returns how many requests end per second.
func (r *Room) Rate(now time.Time) float64 {
	r.countRate(0, now)
	return r.rate
}

// uncountedWindow is the time over which requests that no account counted are told from
// those whose end has not been reported yet: several intervals between two reports.
const uncountedWindow = time.Second

// InFlight returns how many requests are in flight at the upstream, of which hosts report
// so many and so many were counted here. Reports lag: they also contain requests that have
// ended. Only what they contain beyond the counted ones at any time of a window was not
// counted here, such as streams that an earlier coordinator granted.
func (r *Room) InFlight(reported, counted int, now time.Time) int {
	excess := max(reported-counted, 0)
	if now.Sub(r.excessSince) >= uncountedWindow {
		if r.excessSince.IsZero() {
			r.leastExcess = excess
		}
		r.lastExcess, r.leastExcess, r.excessSince = r.leastExcess, excess, now
	}
	r.leastExcess = min(r.leastExcess, excess)
	return counted + min(r.lastExcess, r.leastExcess)
}

// Learnt is what an account has learnt of an upstream.
type Learnt struct {
	Room     int // requests that it has room for
	Refusals int // that were needed to learn this
}

// TakeLearnt returns what was learnt since it was last taken; ok is false if that is
// nothing to speak of.
func (r *Room) TakeLearnt() (l Learnt, ok bool) {
	limit := int(r.limit)
	if r.refusals == 0 || limit == r.learntLimit {
		return Learnt{}, false
	}
	l = Learnt{Room: limit, Refusals: r.refusals}
	r.refusals, r.learntLimit = 0, limit
	return l, true
}
