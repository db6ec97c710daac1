package quarantine

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/pace"
)

// maxEvents bounds the events that are kept for the acting coordinator. The oldest
// is dropped first; it has most likely been reported already.
const maxEvents = 1024

// maxEventsPerReport bounds the events of one report; the remainder follows with
// the next reports. A coordinator that has just taken over gets reports of hundreds
// of hosts at once.
const maxEventsPerReport = 64

// GuardDeps are the dependencies of a Guard.
type GuardDeps struct {
	// Connected reports whether this host is connected to an acting coordinator,
	// which knows more than this host has seen by itself.
	Connected func() bool
	Log       *event.Log
	Metrics   *metrics.Set
	Now       func() time.Time
}

// Guard knows which requests this host must not send to any upstream: those that
// the acting coordinator bars and, without one, also those that this host has
// found out itself.
type Guard struct {
	deps     GuardDeps
	answered *answeredRequests
	view     atomic.Pointer[view] // replaced as a whole; nil: no request is suspected or barred

	mu              sync.Mutex
	local           *poison.Ledger                 // what this host has seen itself
	fromCoordinator map[poison.Digest]poison.Entry // entries received from the acting coordinator
	former          map[poison.Digest]formerBar    // bars that former coordinators announced
	events          []Event
	dropped         int    // number of events dropped before events[0]
	coordinator     string // address of the acting coordinator that acknowledged the last report
	acknowledged    int    // number of events, counted from the first ever, that it has received
	quarantineID    uint64 // identifies its quarantine
	revision        uint64 // of that quarantine, up to which this host has it

	answeredReported map[poison.Digest]time.Time // when this host last reported a barred request as answered
}

// Event is an event to report to the acting coordinator; one of the pointers is set.
type Event struct {
	Crash     *Crash         // an upstream terminated
	Completed *poison.Digest // a suspected request ran to its end
	Answered  *poison.Digest // a barred request was answered at this host not long ago
	Released  *poison.Digest // an operator released a barred request
	At        time.Time      // when this host learnt of it
}

// Crash is the termination of an upstream while requests of this host were running
// there.
type Crash struct {
	Upstream string
	At       time.Time
	Running  []poison.Fingerprint
}

// Report is what the acting coordinator has not received from this host yet.
type Report struct {
	Events       []Event
	Barred       []poison.Entry // all bars that this host knows of; set in the first report to a coordinator
	ID           uint64         // identifies the quarantine that Revision belongs to
	Revision     uint64         // up to which this host has that quarantine
	coordinator  string
	acknowledges int  // number of events that the coordinator has once it received this report
	complete     bool // starts with the first event that is kept
}

// Update is what changed in the acting coordinator's quarantine.
type Update struct {
	ID       uint64 // identifies the quarantine
	Revision uint64 // that the host has after applying Changed
	Changed  []poison.Entry
}

// NewGuard returns a Guard without suspects and bars.
func NewGuard(d GuardDeps) *Guard {
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Log == nil {
		d.Log = event.NewLog(nil)
	}
	g := &Guard{deps: d, answered: newAnsweredRequests(), local: poison.NewLedger(poison.DefaultPolicy), fromCoordinator: map[poison.Digest]poison.Entry{}, former: map[poison.Digest]formerBar{}, answeredReported: map[poison.Digest]time.Time{}}
	d.Metrics.SetFunc(metrics.PoisonSuspects, func() any { return g.count(poison.Suspected) })
	d.Metrics.SetFunc(metrics.PoisonBarred, func() any { return g.count(poison.Barred) })
	return g
}

// Barred reports whether a request must not be sent to any upstream, and until
// when.
func (g *Guard) Barred(r *poison.Request) (until time.Time, ok bool) {
	v := g.view.Load()
	if v == nil {
		return time.Time{}, false
	}
	now := g.deps.Now()
	for i := range r.Len() {
		if !v.shapes[r.Shape(i)] {
			continue
		}
		for _, e := range g.entriesFor(v, r.Fingerprint(i), now) {
			if e.State == poison.Barred && now.Before(e.BarredUntil) {
				g.reportAnswered(&e, r, now)
				return e.BarredUntil, true
			}
		}
	}
	return time.Time{}, false
}

// MayRepeat reports whether a request may be sent again although its upstream has just crashed.
// It may not while a part of its prompt is heavily suspected: the request ends one upstream
// after the other faster than hosts can tell of it.
func (g *Guard) MayRepeat(r *poison.Request) bool {
	v := g.view.Load()
	if v == nil {
		return true
	}
	now := g.deps.Now()
	for i := 1; i < r.Len(); i++ {
		if !v.shapes[r.Shape(i)] {
			continue
		}
		for _, e := range g.entriesFor(v, r.Fingerprint(i), now) {
			if e.IsHeavy() {
				return false
			}
		}
	}
	return true
}

// Completion is a run that an upstream survived.
type Completion struct {
	Attempt string    // id of the attempt
	Status  int       // of the response
	Began   time.Time // when the response began
	Ended   bool      // the response is complete; else the run has lasted
}

// RecordCompleted records that a request ran to its end, or ran for long. A part of its
// prompt is cleared only if the response began after this host heard that the part is
// suspected: it may have become harmful since.
func (g *Guard) RecordCompleted(r *poison.Request, c Completion) {
	g.answered.record(r, g.deps.Now())
	v := g.view.Load()
	if v == nil {
		return
	}
	for i := range r.Len() {
		if !v.shapes[r.Shape(i)] {
			continue
		}
		f := r.Fingerprint(i)
		if v.isSuspect(f) && (!f.IsPart() || c.Began.After(v.partsSince[f.Digest])) {
			g.clear(f.Digest, &c)
		}
	}
}

// clear clears a suspect at this host, and reports it.
func (g *Guard) clear(d poison.Digest, by *Completion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Now()
	g.local.Clear(d, now, now)
	delete(g.fromCoordinator, d)
	delete(g.former, d)
	g.exonerateLocked(d)
	g.addLocked(Event{Completed: &d, At: now})
	g.deps.Log.Emit(event.SuspectCompleted, zap.Stringer("content", d), zap.String("request", by.Attempt), zap.Int("status", by.Status),
		zap.Bool("ended", by.Ended), zap.Int64("began_ms", now.Sub(by.Began).Milliseconds()))
	g.refreshLocked(now)
}

// RecordCrash records that an upstream terminated while requests of this host were
// running there.
func (g *Guard) RecordCrash(upstream string, at time.Time, ran []poison.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Now()
	g.local.RecordCrash(upstream, ran, at, now)
	g.addLocked(Event{Crash: &Crash{Upstream: upstream, At: at, Running: ran}, At: now})
	g.refreshLocked(now)
}

// Release ends a bar on behalf of an operator. It reports whether there was one.
func (g *Guard) Release(d poison.Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Now()
	barredLocally, barredByCoordinator := g.local.Release(d, now), g.fromCoordinator[d].State == poison.Barred || now.Before(g.former[d].until)
	if !barredLocally && !barredByCoordinator {
		return false
	}
	delete(g.fromCoordinator, d)
	delete(g.former, d)
	g.addLocked(Event{Released: &d, At: now})
	g.refreshLocked(now)
	return true
}

// Entries lists the suspected and barred requests that this host knows of.
func (g *Guard) Entries() []poison.Entry {
	v := g.view.Load()
	if v == nil {
		return nil
	}
	var out []poison.Entry
	for _, e := range v.fromCoordinator {
		out = append(out, e)
	}
	for d, e := range v.local {
		if _, ok := v.fromCoordinator[d]; !ok {
			out = append(out, e)
		}
	}
	for d, b := range v.former {
		_, known := v.fromCoordinator[d]
		if _, ownToo := v.local[d]; !known && !ownToo {
			out = append(out, b.Entry)
		}
	}
	return out
}

func (g *Guard) count(s poison.State) int {
	n := 0
	for _, e := range g.Entries() {
		if e.State == s {
			n++
		}
	}
	return n
}

// exonerateLocked takes a suspect that was cleared out of the crashes so far. A successor
// of the acting coordinator receives them all again, perhaps without the answer that
// cleared it: the host that received that answer may be gone.
func (g *Guard) exonerateLocked(d poison.Digest) {
	for i := range g.events {
		x := g.events[i].Crash
		if x == nil || !slices.ContainsFunc(x.Running, func(f poison.Fingerprint) bool { return f.Digest == d }) {
			continue
		}
		kept := *x // a report may still refer to the former one
		kept.Running = slices.DeleteFunc(slices.Clone(x.Running), func(f poison.Fingerprint) bool { return f.Digest == d })
		g.events[i].Crash = &kept
	}
}

func (g *Guard) addLocked(e Event) {
	g.events = append(g.events, e)
	if excess := len(g.events) - maxEvents; excess > 0 {
		g.events = append([]Event(nil), g.events[excess:]...)
		g.dropped += excess
	}
}

// NextReport returns what the acting coordinator at the given address has not
// received yet. Acknowledge confirms it.
func (g *Guard) NextReport(coordinator string) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Now()
	for len(g.events) > 0 && now.Sub(g.events[0].At) > poison.DefaultPolicy.CrashRetention {
		g.events, g.dropped = g.events[1:], g.dropped+1
	}
	next := Report{coordinator: coordinator, complete: coordinator != g.coordinator, ID: g.quarantineID, Revision: g.revision}
	from := max(g.acknowledged-g.dropped, 0)
	if next.complete {
		from, next.Barred = 0, g.barredLocked(now)
	}
	next.Events = slices.Clone(g.events[from:min(from+maxEventsPerReport, len(g.events))]) // read after the lock is released
	next.acknowledges = g.dropped + from + len(next.Events)
	return next
}

// barredLocked returns all bars that this host knows of.
func (g *Guard) barredLocked(now time.Time) []poison.Entry {
	var out []poison.Entry
	for _, all := range [][]poison.Entry{g.local.All(now), values(g.fromCoordinator), g.formerLocked(now)} {
		for _, e := range all {
			if e.State == poison.Barred && now.Before(e.BarredUntil) {
				out = append(out, e)
			}
		}
	}
	return out
}

func values(m map[poison.Digest]poison.Entry) []poison.Entry {
	out := make([]poison.Entry, 0, len(m))
	for _, e := range m {
		out = append(out, e)
	}
	return out
}

// Acknowledge processes the answer to a report.
func (g *Guard) Acknowledge(sent Report, u Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Now()
	g.coordinator, g.acknowledged = sent.coordinator, sent.acknowledges
	newQuarantine := u.ID != g.quarantineID
	if newQuarantine {
		g.expireFormerLocked(now)
		if !sent.complete { // another epoch, or process: it must receive all events
			g.coordinator = ""
		}
	}
	g.quarantineID, g.revision = u.ID, u.Revision
	for _, e := range u.Changed {
		g.applyLocked(e, now)
	}
	if newQuarantine || len(u.Changed) > 0 {
		g.refreshLocked(now)
	}
}

func (g *Guard) applyLocked(e poison.Entry, now time.Time) {
	before := g.fromCoordinator[e.Digest].State
	switch e.State {
	case poison.Cleared:
		delete(g.fromCoordinator, e.Digest)
		delete(g.former, e.Digest)
		g.local.Clear(e.Digest, now, now)
		g.exonerateLocked(e.Digest)
	case poison.Barred:
		delete(g.former, e.Digest)
		g.fromCoordinator[e.Digest] = e
	default:
		g.fromCoordinator[e.Digest] = e
	}
	if e.State == poison.Barred && before != poison.Barred {
		g.logLocked(e, "told", now)
	}
}

func (g *Guard) logLocked(e poison.Entry, source string, now time.Time) {
	g.deps.Log.Emit(event.BarReceived, zap.Stringer("content", e.Digest), zap.Uint8("place", e.Place), zap.String("source", source),
		zap.Int("crashes", e.CrashCount), zap.Int64("for_ms", e.BarredUntil.Sub(now).Milliseconds()))
}

// refreshInterval is how often a Guard that knows suspects judges them again.
const refreshInterval = 250 * time.Millisecond

// Run judges what this host has seen itself from time to time, until ctx ends: a part of
// prompts is barred some time after its last crash.
func (g *Guard) Run(ctx context.Context) error {
	for pace.Sleep(ctx, refreshInterval) {
		if g.view.Load() == nil {
			continue
		}
		g.mu.Lock()
		g.refreshLocked(g.deps.Now())
		g.mu.Unlock()
	}
	return ctx.Err()
}
