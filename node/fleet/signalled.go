package fleet

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/event"
)

// Signalled is what an upstream's answers asked of all hosts last.
type Signalled struct {
	Upstream string
	Born     int64 // start of the process that asked; 0: not said
	backpressure.Signal
}

// noLimit stands in logs for an upstream that names no limit.
const noLimit = -1.0

// Heed takes what an answer of the upstream said; source says who heard it.
func (e *Entry) Heed(s backpressure.Signal, source string) {
	e.mu.Lock()
	was := e.told
	e.signal = backpressure.Latest(e.signal, s)
	now := e.signal
	limited := now.Limit.Differs(was.Limit)
	changed := limited || now.Leaving != was.Leaving
	if changed {
		e.told, e.askedAt, e.askedBy = now, s.Heard, source
	}
	if changed || now.Limit.Differs(s.Limit) || now.Leaving != s.Leaving { // a host that tells what does not hold any more has to hear it
		e.signalled = e.fleet.signals.Add(1)
	}
	if now.Leaving {
		e.leaveLocked("its answers, by " + source)
	}
	e.mu.Unlock()
	if limited {
		e.fleet.deps.Log.Emit(event.UpstreamLimited, zap.String(event.FieldPeer, e.id), zap.Float64("per_second", logged(now.Limit)),
			zap.Float64("was", logged(was.Limit)), zap.String("source", source))
	}
	if changed {
		e.fleet.Tell()
	}
}

func logged(l backpressure.Limit) float64 {
	if !l.Named {
		return noLimit
	}
	return l.PerSecond
}

// Limit is what the upstream takes from all hosts together, by its newest word.
func (e *Entry) Limit() backpressure.Limit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.signal.Limit
}

// Limited says whether any upstream of a service that gets work names a limit.
func (f *Fleet) Limited(service string) bool {
	for _, e := range f.Service(service) {
		if e.Usable() && e.Limit().Named {
			return true
		}
	}
	return false
}

// sharing is how this host sends to upstreams that name a limit.
type sharing struct {
	share backpressure.Share
	alone bool      // nobody counts for all; else no request goes there without a turn
	since time.Time // when that began
}

// SetShare tells this host's part in what upstreams take that name a limit. Another
// host counts for all, so that it sends there by turns.
func (f *Fleet) SetShare(s backpressure.Share) {
	if was := f.sharing.Load(); was.share != s || was.alone {
		f.sharing.Store(&sharing{share: s})
	}
}

// SetAlone says that nobody counts for all: this host goes by its share from now on.
func (f *Fleet) SetAlone() {
	if was := f.sharing.Load(); !was.alone {
		f.sharing.Store(&sharing{share: was.share, alone: true, since: f.deps.Now()})
	}
}

// uncounted is how long an upstream that names a limit is passed over by a host
// that has no turn for it: until it may have found who gives turns.
const uncounted = 500 * time.Millisecond

// backoffLocked is for how long nothing more may go to the upstream from here.
func (e *Entry) backoffLocked(now time.Time) time.Duration {
	rest := max(e.restUntil.Sub(now), 0)
	if e.start.Full() {
		rest = max(rest, TrialWait)
	}
	if !e.signal.Limit.Named {
		return rest
	}
	s := e.fleet.sharing.Load()
	if !s.alone || s.share.Of == 0 {
		return max(rest, uncounted)
	}
	return max(rest, e.pacerLocked(s).Wait(e.signal.Limit.Rate(), s.share, now))
}

// Rest notes that the upstream wants nothing from this host for a time. When that
// is over, requests come back by a slow start.
func (e *Entry) Rest(lasts time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := e.fleet.deps.Now().Add(lasts); until.After(e.restUntil) {
		e.restUntil = until
		e.fleet.restedUntil(until)
	}
	e.start.Begin()
}

// TrialWait is when a request is tried again that waits for how another fares at
// an upstream after its rest. Mostly that is known, and told, before.
const TrialWait = 100 * time.Millisecond

// Asking is what one upstream asks for now.
type Asking struct {
	Upstream string
	Service  string
	Leaving  bool // its answers say so
	Limit    backpressure.Limit
	Rest     time.Duration // that is left of what it asked this host for
	Starting bool          // after a rest requests come back by a slow start
	Since    time.Time     // when its answers said so first, of leaving and limit
	Source   string        // who heard that
}

// Asking lists the upstreams that ask for something.
func (f *Fleet) Asking() []Asking {
	now := f.deps.Now()
	var out []Asking
	for _, e := range f.All() {
		e.mu.Lock()
		a := Asking{Upstream: e.id, Service: e.service, Leaving: e.signal.Leaving, Limit: e.signal.Limit, Rest: max(e.restUntil.Sub(now), 0),
			Starting: e.start.Active(), Since: e.askedAt, Source: e.askedBy}
		e.mu.Unlock()
		if a.Leaving || a.Limit.Named || a.Rest > 0 || a.Starting {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b Asking) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

// Takes says whether a request that was meant for the upstream may still go there:
// it has not asked meanwhile for rest, nor said that it leaves.
func (e *Entry) Takes() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.leaving && !e.fleet.deps.Now().Before(e.restUntil)
}

// Rests are for how long upstreams want nothing from this host, by their IDs.
type Rests map[string]time.Duration

// Rests returns those of a service; nil: none.
func (f *Fleet) Rests(service string) Rests {
	now := f.deps.Now()
	if now.UnixNano() >= f.rests.Load() {
		return nil
	}
	var out Rests
	for _, e := range f.Service(service) {
		e.mu.Lock()
		left := e.restUntil.Sub(now)
		e.mu.Unlock()
		if left <= 0 {
			continue
		}
		if out == nil {
			out = Rests{}
		}
		out[e.id] = left
	}
	return out
}

// restedUntil notes until when some upstream rests, so that requests need not look
// at each when none does.
func (f *Fleet) restedUntil(t time.Time) {
	for {
		was := f.rests.Load()
		if t.UnixNano() <= was || f.rests.CompareAndSwap(was, t.UnixNano()) {
			return
		}
	}
}

// pacerLocked is the pacer of the time since this host has been alone.
func (e *Entry) pacerLocked(s *sharing) *backpressure.Pacer {
	if e.pacer == nil || e.paced != s.since {
		e.pacer, e.paced = backpressure.NewPacer(e.fleet.origin, s.since), s.since
	}
	return e.pacer
}

// Pass says whether a request without a turn may go to the upstream, and counts it.
func (e *Entry) Pass(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.signal.Limit.Named {
		return true
	}
	s := e.fleet.sharing.Load()
	return s.alone && s.share.Of > 0 && e.pacerLocked(s).Take(e.signal.Limit.Rate(), s.share, now)
}

// signalsMost is how many signals one message carries; the rest follow with the next.
const signalsMost = 250

// SignalsSince returns what upstreams asked that is newer than a revision, the
// oldest first, and the revision that it brings whoever hears it to.
func (f *Fleet) SignalsSince(revision uint64) ([]Signalled, uint64) {
	newest := f.signals.Load()
	if newest == revision {
		return nil, newest
	}
	type numbered struct {
		Signalled
		revision uint64
	}
	var all []numbered
	for _, e := range f.index.Load().byID {
		e.mu.Lock()
		if e.signalled > revision {
			all = append(all, numbered{Signalled{e.id, e.born, e.signal}, e.signalled})
		}
		e.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b numbered) int { return int(a.revision) - int(b.revision) })
	if len(all) > signalsMost {
		all = all[:signalsMost]
		newest = all[signalsMost-1].revision
	}
	out := make([]Signalled, len(all))
	for i := range all {
		out[i] = all[i].Signalled
	}
	return out, newest
}

// HeedAll takes what another host heard.
func (f *Fleet) HeedAll(all []Signalled, source string) {
	for i := range all {
		e, ok := f.Entry(all[i].Upstream)
		if !ok {
			f.keepEarly(all[i])
			continue
		}
		if e.Born() == all[i].Born {
			e.Heed(all[i].Signal, source)
		}
	}
}

// keepEarly keeps what is told of an upstream before the list names it here: it
// is told once only.
func (f *Fleet) keepEarly(s Signalled) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.early == nil || len(f.early) >= signalsMost {
		f.early = map[string]Signalled{}
	}
	f.early[s.Upstream] = s
}

// earlySource is the source of what was told before the list named its upstream.
const earlySource = "host"

// heedEarlyLocked enters what was told of an upstream that has just come; f.mu is held.
func (f *Fleet) heedEarlyLocked(e *Entry) {
	s, ok := f.early[e.id]
	if !ok {
		return
	}
	delete(f.early, e.id)
	if s.Born == e.born {
		e.Heed(s.Signal, earlySource)
	}
}
