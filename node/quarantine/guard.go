package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
)

// eventsMost bounds the events that are kept for the host that acts for all. The
// oldest goes first; it was mostly reported already.
const eventsMost = 1024

// reportMost bounds the events of one report; the rest follows with the next ones. A
// successor meets hundreds of hosts at once.
const reportMost = 64

// GuardDeps are what a Guard works with.
type GuardDeps struct {
	// Linked says whether this host hears one that acts for all, which knows
	// better than what this host has seen alone.
	Connected func() bool
	Log       *event.Log
	Metrics   *metrics.Set
	Now       func() time.Time
}

// Guard says which requests this host must not send to any upstream: those that
// the host which acts for all says are barred, and without it those that this
// host has found out itself.
type Guard struct {
	deps GuardDeps
	view atomic.Pointer[view] // replaced whole; nil: nothing is held against any request

	mu       sync.Mutex
	own      *poison.Ledger                 // of what this host has seen
	site     map[poison.Digest]poison.Entry // as the host that acts for all has it
	events   []Event
	dropped  int    // events before the first of events
	holder   string // address of the host that acts for all, as of the last report
	acked    int    // events, counted from the first ever, that it has received
	id       uint64 // names its quarantine
	revision uint64 // up to which this host has that
}

// view is what requests are compared with.
type view struct {
	shapes    map[poison.Shape]bool
	site, own map[poison.Digest]poison.Entry
	led       bool // the host that acts for all keeps a quarantine: those of earlier releases keep none
}

// Event is something that the host which acts for all must hear of.
type Event struct {
	Crash     *Crash         // an upstream ended
	Completed *poison.Digest // a suspect ran to its end
	Released  *poison.Digest // an operator ended a bar
	at        time.Time
}

// Crash is the end of an upstream while requests of this host were under way there.
type Crash struct {
	Upstream string
	At       time.Time
	Running  []poison.Fingerprint
}

// Report is what the host that acts for all has not heard of yet.
type Report struct {
	Events   []Event
	Barred   []poison.Entry // all that are known; to a host that is met
	ID       uint64         // of the quarantine that Revision is of
	Revision uint64         // up to which this host has it
	holder   string
	upTo     int  // events that it brings the holder to
	whole    bool // it begins with the first event that is kept
}

// Update is what changed of the quarantine of the host that acts for all.
type Update struct {
	ID       uint64 // names the quarantine
	Revision uint64 // that Changed brings who asked to
	Changed  []poison.Entry
}

// NewGuard makes a Guard that knows of nothing.
func NewGuard(d GuardDeps) *Guard {
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Log == nil {
		d.Log = event.NewLog(nil)
	}
	g := &Guard{deps: d, own: poison.NewLedger(poison.DefaultPolicy), site: map[poison.Digest]poison.Entry{}}
	d.Metrics.SetFunc(metrics.PoisonSuspects, func() any { return g.count(poison.Suspected) })
	d.Metrics.SetFunc(metrics.PoisonBarred, func() any { return g.count(poison.Barred) })
	return g
}

// Barred says until when a request must not be sent to any upstream.
func (g *Guard) Barred(r *poison.Request) (until time.Time, ok bool) {
	v := g.view.Load()
	if v == nil || !v.shapes[r.Shape()] {
		return time.Time{}, false
	}
	d, now := r.Fingerprint().Digest, g.deps.Now()
	for _, e := range g.standing(v, d) {
		if e.State == poison.Barred && now.Before(e.BarredUntil) {
			return e.BarredUntil, true
		}
	}
	return time.Time{}, false
}

// standing is what is held against a request by those whose word counts now.
func (g *Guard) standing(v *view, d poison.Digest) []poison.Entry {
	if v.led && g.deps.Connected() {
		return []poison.Entry{v.site[d]}
	}
	return []poison.Entry{v.site[d], v.own[d]}
}

// RecordCompleted notes that a request ran to its end, or for long after it had begun.
func (g *Guard) RecordCompleted(r *poison.Request) {
	v := g.view.Load()
	if v == nil || !v.shapes[r.Shape()] {
		return
	}
	d := r.Fingerprint().Digest
	if v.site[d].State == poison.Cleared && v.own[d].State == poison.Cleared {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Now()
	g.own.Clear(d, now)
	delete(g.site, d)
	g.addLocked(Event{Completed: &d, at: now})
	g.deps.Log.Emit(event.SuspectCompleted, zap.Stringer("content", d))
	g.refreshLocked(now)
}

// RecordCrash notes that an upstream ended while requests of this host were under way there.
func (g *Guard) RecordCrash(upstream string, at time.Time, ran []poison.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Now()
	g.own.RecordCrash(upstream, ran, at, now)
	g.addLocked(Event{Crash: &Crash{Upstream: upstream, At: at, Running: ran}, at: now})
	g.refreshLocked(now)
}

// Release ends a bar by an operator's word. It says no if there is none.
func (g *Guard) Release(d poison.Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Now()
	own, told := g.own.Release(d, now), g.site[d].State == poison.Barred
	if !own && !told {
		return false
	}
	delete(g.site, d)
	g.addLocked(Event{Released: &d, at: now})
	g.refreshLocked(now)
	return true
}

// Entries lists what is held against requests, as this host knows.
func (g *Guard) Entries() []poison.Entry {
	v := g.view.Load()
	if v == nil {
		return nil
	}
	var out []poison.Entry
	for _, e := range v.site {
		out = append(out, e)
	}
	for d, e := range v.own {
		if _, ok := v.site[d]; !ok {
			out = append(out, e)
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

func (g *Guard) addLocked(n Event) {
	g.events = append(g.events, n)
	if over := len(g.events) - eventsMost; over > 0 {
		g.events = append([]Event(nil), g.events[over:]...)
		g.dropped += over
	}
}

// NextReport returns what holder, which acts for all, has not heard of yet. Acknowledge
// confirms it.
func (g *Guard) NextReport(holder string) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Now()
	for len(g.events) > 0 && now.Sub(g.events[0].at) > poison.DefaultPolicy.CrashRetention {
		g.events, g.dropped = g.events[1:], g.dropped+1
	}
	next := Report{holder: holder, whole: holder != g.holder, ID: g.id, Revision: g.revision}
	from := max(g.acked-g.dropped, 0)
	if next.whole {
		from, next.Barred = 0, g.barredLocked(now)
	}
	next.Events = g.events[from:min(from+reportMost, len(g.events))]
	next.upTo = g.dropped + from + len(next.Events)
	return next
}

// barredLocked are all bars that this host knows of.
func (g *Guard) barredLocked(now time.Time) []poison.Entry {
	var out []poison.Entry
	for _, all := range [][]poison.Entry{g.own.All(now), values(g.site)} {
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

// Acknowledge takes the answer to a report.
func (g *Guard) Acknowledge(sent Report, u Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Now()
	g.holder, g.acked = sent.holder, sent.upTo
	other := u.ID != g.id
	if other {
		g.expireFormerLocked(now)
		if !sent.whole { // another term, or process: it must hear all
			g.holder = ""
		}
	}
	g.id, g.revision = u.ID, u.Revision
	for _, e := range u.Changed {
		g.applyLocked(e, now)
	}
	if other || len(u.Changed) > 0 {
		g.refreshLocked(now)
	}
}

// expireFormerLocked lets go of what a former holder told: what still counts is told
// again by its successor, which hears of all bars from all hosts.
func (g *Guard) expireFormerLocked(now time.Time) {
	for d, e := range g.site {
		if e.State != poison.Barred {
			delete(g.site, d)
			continue
		}
		if last := now.Add(formerKept); e.BarredUntil.After(last) {
			e.BarredUntil = last
			g.site[d] = e
		}
	}
}

// formerKept is how long a bar goes on that only a former holder has told: a few reports.
const formerKept = 2 * time.Second

func (g *Guard) applyLocked(e poison.Entry, now time.Time) {
	before := g.site[e.Digest].State
	switch e.State {
	case poison.Cleared:
		delete(g.site, e.Digest)
		g.own.Clear(e.Digest, now)
	default:
		g.site[e.Digest] = e
	}
	if e.State == poison.Barred && before != poison.Barred {
		g.logLocked(e, "told", now)
	}
}

func (g *Guard) logLocked(e poison.Entry, source string, now time.Time) {
	g.deps.Log.Emit(event.BarReceived, zap.Stringer("content", e.Digest), zap.String("source", source),
		zap.Int("crashes", e.CrashCount), zap.Int64("for_ms", e.BarredUntil.Sub(now).Milliseconds()))
}

// refreshLocked renews what requests are compared with.
func (g *Guard) refreshLocked(now time.Time) {
	for _, d := range g.own.TakeTransitions() {
		if d.State == poison.Barred && !g.deps.Connected() {
			g.logLocked(d.Entry, "own", now)
		}
	}
	own := g.own.All(now)
	if len(own)+len(g.site) == 0 {
		g.view.Store(nil)
		return
	}
	v := &view{shapes: map[poison.Shape]bool{}, site: make(map[poison.Digest]poison.Entry, len(g.site)),
		own: make(map[poison.Digest]poison.Entry, len(own)), led: g.id != 0}
	for d, e := range g.site {
		v.site[d], v.shapes[e.Shape] = e, true
	}
	for _, e := range own {
		v.own[e.Digest], v.shapes[e.Shape] = e, true
	}
	g.view.Store(v)
}
