package fleet

import (
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/speed/slowdown"
	"peridotpier.example/node/event"
)

// speedOfProcess is what is known of the speed of one process of an upstream. A new
// process has a new Entry, and so starts without it.
type speedOfProcess struct {
	stated  slowdown.Stated // by its answers, received here or at other hosts
	learnt  slowdown.Learnt // by the permits that this host granted
	relayed relayedSlowdown

	current   float64   // the result of at, as of currentAt
	currentAt time.Time // zero: something has changed it

	logged   float64 // the learnt slowdown as last logged; 0: none was
	loggedAt time.Time
}

// relayedSlowdown is the acting coordinator's estimate.
type relayedSlowdown struct {
	multiple float64 // 0: there is none
	at       time.Time
}

// relayedTTL is how long the acting coordinator's estimate is used: until its answer to
// this host's next report but one.
const relayedTTL = time.Second

// RecordSlowdown records that the upstream stated, at a time, how long work takes there, as
// a multiple of the usual time.
func (e *Entry) RecordSlowdown(multiple float64, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speed.observe(multiple, at)
}

// observe records what the upstream stated; 0: nothing.
func (s *speedOfProcess) observe(multiple float64, at time.Time) {
	if multiple > 0 {
		s.stated.Observe(multiple, at)
		s.currentAt = time.Time{}
	}
}

// RecordRelayedSlowdown records the acting coordinator's estimate.
func (e *Entry) RecordRelayedSlowdown(multiple float64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speed.relayed, e.speed.currentAt = relayedSlowdown{multiple, now}, time.Time{}
}

// RecordSpeed records a time that was observed there, as a ratio to the time predicted for
// its service, apart from what the upstream stated.
func (e *Entry) RecordSpeed(ratio float64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speed.learnt.Observe(ratio, now)
	e.speed.currentAt = time.Time{}
	e.logSpeedLocked(now)
}

const (
	// speedLogInterval is the minimum time between two log lines on one upstream's speed.
	speedLogInterval = time.Second
	// loggedRatio is the ratio between two learnt slowdowns from which the second one is
	// logged.
	loggedRatio = 1.3
)

// logSpeedLocked logs a learnt slowdown that differs from the last one that was logged.
func (e *Entry) logSpeedLocked(now time.Time) {
	s := &e.speed
	learnt, last := slowdown.Material(s.learnt.At(now)), s.logged
	if last == 0 {
		last = 1
	}
	changed := learnt > last*loggedRatio || learnt < last/loggedRatio || learnt == 1 && last != 1
	if !changed || now.Sub(s.loggedAt) < speedLogInterval {
		return
	}
	s.logged, s.loggedAt = learnt, now
	e.fleet.deps.Log.Emit(event.UpstreamSpeedChanged, zap.String(event.FieldPeer, e.id), zap.Float64("slowdown", learnt), zap.Float64("stated", s.stated.At(now)))
}

// InheritSpeed records what another coordinator had learnt of the process by a time.
func (e *Entry) InheritSpeed(multiple float64, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speed.learnt.Inherit(multiple, at)
	e.speed.currentAt = time.Time{}
}

// Speed is what is known of the speed of an upstream, each as a multiple of the usual time.
type Speed struct {
	Expected  float64       // by which requests are sent there; 1: as usual
	Learnt    float64       // from the times that were observed there; 1: as usual
	Stated    float64       // last stated by the upstream; 0: it states none
	StatedAge time.Duration // since then
}

// Speed returns what is known of its speed.
func (e *Entry) Speed(now time.Time) Speed {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := Speed{Expected: e.speed.at(now), Learnt: e.speed.learnt.At(now), Stated: e.speed.stated.Last()}
	if out.Expected == 0 {
		out.Expected = 1
	}
	if out.Stated > 0 {
		out.StatedAge = now.Sub(e.speed.stated.HeardAt())
	}
	return out
}

// LearntSpeed returns the slowdown that this host has learnt, and by when; 0: there is
// none that differs from the service's.
func (e *Entry) LearntSpeed(now time.Time) (multiple float64, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if multiple = slowdown.Material(e.speed.learnt.At(now)); multiple == 1 {
		return 0, time.Time{}
	}
	return multiple, e.speed.learnt.ObservedAt()
}

// StatedSlowdown returns what the upstream stated lately, if it differs from the usual; 0
// otherwise.
func (e *Entry) StatedSlowdown(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.speed.stated.Heard(now) {
		return 0
	}
	if s := slowdown.Material(e.speed.stated.At(now)); s != 1 {
		return s
	}
	return 0
}

// ObservedSlowdown returns how long work takes there now, as a multiple of the usual time
// of its service, by what was observed here and reported to this host; 0: it is not known
// to differ.
func (e *Entry) ObservedSlowdown(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.speed.combine(e.speed.stated.At(now), now)
}

// minLastingLearnt is the learnt slowdown from which an upstream is a smaller place for
// models: a load takes about as long as what was learnt is remembered, and by then a small
// difference may have been chance.
const minLastingLearnt = 1.5

// LastingSlowdown returns how long work takes there apart from changes of less than some
// seconds, as a multiple of the usual time of its service; 0: it is not known to differ.
func (e *Entry) LastingSlowdown(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	learnt := e.speed.learnt.At(now)
	if learnt < minLastingLearnt {
		learnt = 1
	}
	return combined(learnt, e.speed.stated.Usual(now))
}

// currentFor is how long a result of at is used again: each pick asks for all upstreams
// that could serve it, and in this time nothing fades by more than a twentieth.
const currentFor = 20 * time.Millisecond

// at returns how long work takes, as a multiple of the usual time; 0: it is not known to
// differ.
func (s *speedOfProcess) at(now time.Time) float64 {
	if age := now.Sub(s.currentAt); age < 0 || age >= currentFor {
		s.current, s.currentAt = s.estimate(now), now
	}
	return s.current
}

func (s *speedOfProcess) estimate(now time.Time) float64 {
	if !s.stated.Heard(now) && s.relayed.multiple > 0 && now.Sub(s.relayed.at) < relayedTTL {
		return s.relayed.multiple
	}
	return s.combine(s.stated.At(now), now)
}

// combine multiplies a stated slowdown with the learnt one, which is apart from it.
func (s *speedOfProcess) combine(stated float64, now time.Time) float64 {
	return combined(slowdown.Material(s.learnt.At(now)), stated)
}

// combined returns the product of a learnt and a stated slowdown, if there is one; 0 if it
// is that of equal upstreams.
func combined(learnt, stated float64) float64 {
	if stated == 0 {
		stated = 1
	}
	if both := slowdown.Material(learnt * stated); both != 1 {
		return both
	}
	return 0
}
