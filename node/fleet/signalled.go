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

// UpstreamSignal is what an upstream's answers asked of all hosts last.
type UpstreamSignal struct {
	Upstream  string
	StartedMs int64 // start of the process that asked; 0: not said
	backpressure.Signal
}

// noLimit stands in logs for an upstream that names no limit.
const noLimit = -1.0

// ApplySignal takes what an answer of the upstream said to this host.
func (e *Entry) ApplySignal(s backpressure.Signal, source string) {
	if e.heed(s, source) {
		e.fleet.noticed()
	}
}

// heed takes what the upstream said; source says who heard it. It says whether that
// is news.
func (e *Entry) heed(s backpressure.Signal, source string) (changed bool) {
	e.mu.Lock()
	was := e.told
	e.signal = backpressure.Merge(e.signal, s)
	now := e.signal
	if now.Limit.Stated {
		e.fleet.watch(e)
		e.fleet.limits.extend(e.fleet.deps.Now().Add(limitedFor))
	}
	limited := now.Limit.DiffersMaterially(was.Limit)
	changed = limited || now.Draining != was.Draining
	if changed {
		e.told, e.askedAt, e.askedBy = now, s.ReceivedAt, source
	}
	if changed || now.Limit.DiffersMaterially(s.Limit) || now.Draining != s.Draining { // a host that tells what does not hold any more has to hear it
		e.fleet.signals.note(e)
	}
	if now.Draining {
		e.leaveLocked("its answers, by " + source)
	}
	e.mu.Unlock()
	if limited {
		e.fleet.deps.Log.Emit(event.UpstreamLimitChanged, zap.String(event.FieldPeer, e.id), zap.Float64("per_second", logged(now.Limit)),
			zap.Float64("was", logged(was.Limit)), zap.String("source", source))
	}
	if changed {
		e.fleet.NotifyChanged()
	}
	return changed
}

func logged(l backpressure.Limit) float64 {
	if !l.Stated {
		return noLimit
	}
	return l.PerSecond
}

// Restriction is what one upstream asks for now.
type Restriction struct {
	Upstream    string
	Service     string
	Draining    bool // its answers say so
	Limit       backpressure.Limit
	Backoff     time.Duration // that is left of what it asked this host for
	InSlowStart bool          // after a rest requests come back by a slow start
	SignalledAt time.Time     // when its answers said so first, of leaving and limit
	Source      string        // who heard that
}

// Restrictions lists the upstreams that ask for something.
func (f *Fleet) Restrictions() []Restriction {
	now := f.deps.Now()
	var out []Restriction
	for _, e := range f.All() {
		e.mu.Lock()
		a := Restriction{Upstream: e.id, Service: e.service, Draining: e.signal.Draining, Limit: e.signal.Limit, Backoff: max(e.restUntil.Sub(now), 0),
			InSlowStart: e.start.Active(), SignalledAt: e.askedAt, Source: e.askedBy}
		e.mu.Unlock()
		if a.Draining || a.Limit.Stated || a.Backoff > 0 || a.InSlowStart {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b Restriction) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

// signalsMost is how many signals one message carries; the rest follow with the next.
const signalsMost = 250

// signalLog is in which order upstreams asked for something that others have to
// hear. Its lock is taken after those of entries.
type signalLog struct {
	mu      sync.Mutex
	newest  uint64
	changed changes.Log[*Entry]
}

func (l *signalLog) note(e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest++
	l.changed.Record(e, l.newest)
}

func (l *signalLog) drop(e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changed.Forget(e)
}

// since returns the upstreams that asked after a revision, as many as one message
// carries, and the revision that it brings whoever hears of them to.
func (l *signalLog) since(revision uint64) ([]*Entry, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest == revision {
		return nil, revision
	}
	all, to, whole := l.changed.Since(revision, signalsMost)
	if whole {
		to = l.newest
	}
	return all, to
}

// SignalsSince returns what upstreams asked that is newer than a revision, the
// oldest first, and the revision that it brings whoever hears it to.
func (f *Fleet) SignalsSince(revision uint64) ([]UpstreamSignal, uint64) {
	changed, to := f.signals.since(revision)
	if len(changed) == 0 {
		return nil, to
	}
	out := make([]UpstreamSignal, len(changed))
	for i, e := range changed {
		e.mu.Lock()
		out[i] = UpstreamSignal{e.id, e.born, e.signal}
		e.mu.Unlock()
	}
	return out, to
}

// ApplySignals takes what another host heard.
func (f *Fleet) ApplySignals(all []UpstreamSignal, source string) {
	for i := range all {
		e, ok := f.Entry(all[i].Upstream)
		if !ok {
			f.keepEarly(all[i])
			continue
		}
		if e.StartedMs() == all[i].StartedMs {
			e.heed(all[i].Signal, source)
		}
	}
}

// keepEarly keeps what is told of an upstream before the list names it here: it
// is told once only.
func (f *Fleet) keepEarly(s UpstreamSignal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.early == nil || len(f.early) >= signalsMost {
		f.early = map[string]UpstreamSignal{}
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
	if s.StartedMs == e.born {
		e.heed(s.Signal, earlySource)
	}
}
