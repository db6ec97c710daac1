package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/changes"
	"peridotpier.example/node/event"
)

// UpstreamSignal is the latest signal to all hosts in an upstream's answers.
type UpstreamSignal struct {
	Upstream  string
	StartedMs int64 // start of the process that sent it, in Unix milliseconds; 0: not stated
	backpressure.Signal
}

// noLimit is logged for an upstream that states no limit.
const noLimit = -1.0

// ApplySignal applies a signal that this host received in an answer of the upstream.
func (e *Entry) ApplySignal(s backpressure.Signal, source string) {
	if e.applySignal(s, source) {
		e.fleet.notifyUrgentChange()
	}
}

// applySignal applies a signal of the upstream and reports whether that changed its limit
// or drain state; source says who received the signal.
func (e *Entry) applySignal(s backpressure.Signal, source string) (changed bool) {
	e.mu.Lock()
	was := e.announcedSignal
	e.signal = backpressure.Merge(e.signal, s)
	merged := e.signal
	e.noteBrittleLocked()
	if merged.Limit.Stated || merged.Brittle.Stated {
		e.fleet.scheduleChecks(e)
		e.fleet.limits.extend(e.fleet.deps.Now().Add(limitTTL))
	}
	limited := merged.Limit.DiffersMaterially(was.Limit)
	brittle := merged.Brittle != was.Brittle
	changed = limited || brittle || merged.Draining != was.Draining
	if changed {
		e.announcedSignal, e.signalledAt, e.signalSource = merged, s.ReceivedAt, source
	}
	if changed || merged.Limit.DiffersMaterially(s.Limit) || merged.Brittle != s.Brittle || merged.Draining != s.Draining { // a host that sent an outdated signal must receive the current one
		e.fleet.signals.record(e)
	}
	if merged.Draining {
		e.drainLocked("its answers, by " + source)
	}
	e.mu.Unlock()
	if limited {
		e.fleet.deps.Log.Emit(event.UpstreamLimitChanged, zap.String(event.FieldPeer, e.id), zap.Float64("per_second", loggedLimit(merged.Limit)),
			zap.Float64("was", loggedLimit(was.Limit)), zap.String("source", source))
	}
	if brittle {
		e.logBrittle(merged.Brittle, source)
	}
	if changed {
		e.fleet.NotifyChanged()
	}
	return changed
}

func loggedLimit(l backpressure.Limit) float64 {
	if !l.Stated {
		return noLimit
	}
	return l.PerSecond
}

// Restriction is what one upstream currently asks of hosts.
type Restriction struct {
	Upstream    string
	Service     string
	Draining    bool // its answers say so
	Limit       backpressure.Limit
	Brittle     backpressure.Brittle
	Backoff     time.Duration // remainder of the backoff that it asked of this host
	InSlowStart bool          // after a backoff, requests return by a slow start
	SignalledAt time.Time     // when the drain or limit in its answers last changed; zero: never
	Source      string        // who received that change
}

// Restrictions returns the restrictions of the upstreams that have any, sorted by
// upstream.
func (f *Fleet) Restrictions() []Restriction {
	now := f.deps.Now()
	var out []Restriction
	for _, e := range f.All() {
		e.mu.Lock()
		r := Restriction{Upstream: e.id, Service: e.service, Draining: e.signal.Draining, Limit: e.signal.Limit, Brittle: e.signal.Brittle, Backoff: max(e.backoffUntil.Sub(now), 0),
			InSlowStart: e.slowStart.Active(), SignalledAt: e.signalledAt, Source: e.signalSource}
		e.mu.Unlock()
		if r.Draining || r.Limit.Stated || r.Brittle.Stated || r.Backoff > 0 || r.InSlowStart {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Restriction) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

// maxSignals is how many signals one message carries; the remainder follows with the
// next.
const maxSignals = 250

// signalLog keeps the order in which upstreams sent signals that other hosts must
// receive. Its lock is taken after those of entries.
type signalLog struct {
	mu      sync.Mutex
	newest  uint64
	changed changes.Log[*Entry]
}

func (l *signalLog) record(e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest++
	l.changed.Record(e, l.newest)
}

func (l *signalLog) remove(e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changed.Forget(e)
}

// since returns the upstreams whose signals changed after a revision, as many as one
// message carries, and the revision that the receiver then has.
func (l *signalLog) since(revision uint64) ([]*Entry, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest == revision {
		return nil, revision
	}
	all, to, complete := l.changed.Since(revision, maxSignals)
	if complete {
		to = l.newest
	}
	return all, to
}

// SignalsSince returns signals that are newer than a revision, the oldest first, and the
// revision that the receiver then has.
func (f *Fleet) SignalsSince(revision uint64) ([]UpstreamSignal, uint64) {
	changed, to := f.signals.since(revision)
	if len(changed) == 0 {
		return nil, to
	}
	out := make([]UpstreamSignal, len(changed))
	for i, e := range changed {
		e.mu.Lock()
		out[i] = UpstreamSignal{e.id, e.startedMs, e.signal}
		e.mu.Unlock()
	}
	return out, to
}

// ApplySignals applies signals that another host received. One of a process that the list
// does not name here yet is kept until then, since it is sent only once.
func (f *Fleet) ApplySignals(all []UpstreamSignal, source string) {
	for i := range all {
		e, ok := f.Entry(all[i].Upstream)
		if ok && e.startedMs == all[i].StartedMs {
			e.applySignal(all[i].Signal, source)
			continue
		}
		f.keepEarlySignal(all[i], source)
	}
}

// maxEarlySignals bounds the signals kept for processes that the list does not name yet:
// more than are added at a time.
const maxEarlySignals = maxEarlyResidency

// keepEarlySignal keeps a signal of a process that the list does not name here yet.
func (f *Fleet) keepEarlySignal(s UpstreamSignal, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e, ok := f.Entry(s.Upstream); ok { // it may have been added meanwhile
		if e.startedMs == s.StartedMs {
			e.applySignal(s.Signal, source)
		}
		if e.startedMs >= s.StartedMs {
			return
		}
	}
	if kept, ok := f.earlySignals[s.Upstream]; ok {
		if kept.StartedMs > s.StartedMs {
			return
		}
		if kept.StartedMs == s.StartedMs {
			s.Signal = backpressure.Merge(kept.Signal, s.Signal)
		}
	}
	if f.earlySignals == nil || len(f.earlySignals) >= maxEarlySignals {
		f.earlySignals = map[string]UpstreamSignal{}
	}
	f.earlySignals[s.Upstream] = s
}

// earlySignalSource is the source of a signal that arrived before the list named its
// upstream.
const earlySignalSource = "host"

// applyEarlySignalLocked applies the kept signal of an upstream that was just added. f.mu
// must be held.
func (f *Fleet) applyEarlySignalLocked(e *Entry) {
	s, ok := f.earlySignals[e.id]
	if !ok || s.StartedMs > e.startedMs { // none, or of a process that the list names later
		return
	}
	delete(f.earlySignals, e.id)
	if s.StartedMs == e.startedMs {
		e.applySignal(s.Signal, earlySignalSource)
	}
}
