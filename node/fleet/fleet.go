// Package fleet is one host's view of the upstreams: what they say of
// themselves, what this host and the others have sent to them, and what their
// answers show. Requests read it at every pick.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/changes"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/health"
	"peridotpier.example/node/event"
	"peridotpier.example/node/pace"
)

// Config is what a Fleet is made of.
type Config struct {
	DataCentre string
	Health     health.Policy
	// LapseHold is how long after the store's return the entries that ran out
	// while it was away may take to come back, if their upstreams live.
	RecoveryGrace time.Duration
	// MassHold is how long upstreams are still used whose entries vanish in
	// great number though the store was not seen to be away.
	MassRemovalGrace time.Duration
}

// Deps are what a Fleet works with.
type Deps struct {
	Log *event.Log
	Now func() time.Time
	// Left is told the address of an upstream that is forgotten.
	OnForgotten func(address string)
	// Changed is called when something changed that every host has to hear of: who
	// an upstream is, that it leaves, or is gone. nil: nobody asks.
	OnListChange func()
	// Noticed is called when this host found something out that the one which acts
	// for all should hear of at once: an upstream is left alone, or asked all hosts
	// for something. It must not block. nil: nobody asks.
	OnUrgentChange func()
}

// Fleet holds the upstreams. The index is replaced whole when upstreams come
// or go; each entry has its own lock, so that requests to different upstreams
// do not wait for each other.
type Fleet struct {
	cfg   Config
	deps  Deps
	index atomic.Pointer[index]

	mu               sync.Mutex          // of writers of the index
	storeRecoveredAt time.Time           // when the store was last reached again
	revision         uint64              // rises with every change of the list
	listedLog        changes.Log[*Entry] // of what the list says
	identityLog      changes.Log[*Entry] // of that, what every host needs to hear
	identityRevision uint64              // newest state at which there was such a change
	removed          []removedUpstream   // the last ones
	removedFrom      uint64              // state from which on gone is complete
	versionMarks     []versionMark       // the last states, with the store's versions that they are of
	changes          pace.Signal
	residencyChanges pace.Signal
	checksNeeded     pace.Signal // given when there is something to watch again

	origin         time.Time
	sharing        atomic.Pointer[limitSharing]
	residentIndex  modelIndex // by what they hold
	loadingIndex   modelIndex // by what they are loading
	otherHosts     otherHostsLoad
	coordinator    atomic.Pointer[coordinatorTerm]
	backoffs       deadline                  // of upstreams
	limits         deadline                  // for so long some upstream is taken to name a limit
	signals        signalLog                 // of what others have to hear
	earlySignals   map[string]UpstreamSignal // of upstreams that the list does not name yet; under mu
	earlyResidency map[string]Residency      // likewise, what they hold

	// The entries that time changes something at, so that none of the others is
	// looked at: their number grows with the fleet.
	pendingChecks entrySet // with a request of this host, gone, or naming a limit
	rated         entrySet // with enough answers for their failures to count
	excluded      entrySet // left alone, or on trial
}

// New makes an empty Fleet.
func New(cfg Config, deps Deps) *Fleet {
	if cfg.Health == (health.Policy{}) {
		cfg.Health = health.DefaultPolicy
	}
	if deps.Now == nil {
		deps.Now = time.Now
	}
	if deps.Log == nil {
		deps.Log = event.NewLog(nil)
	}
	f := &Fleet{cfg: cfg, deps: deps, origin: deps.Now()}
	f.sharing.Store(&limitSharing{})
	f.coordinator.Store(&coordinatorTerm{})
	f.index.Store(&index{byID: map[string]*Entry{}, byService: map[string][]*Entry{}})
	return f
}

// Changed returns a channel that is closed at the next change which may let a
// waiting request go.
func (f *Fleet) Changed() <-chan struct{} { return f.changes.Next() }

// ResidencyChanged is like Changed for requests that wait for a model: it passes
// over the ends of others' requests, which come hundreds of times a second.
func (f *Fleet) ResidencyChanged() <-chan struct{} { return f.residencyChanges.Next() }

// NotifyChanged wakes the requests that wait for an upstream.
func (f *Fleet) NotifyChanged() { f.changes.Notify() }

// notifyResidencyChanged wakes those that wait for a model, too.
func (f *Fleet) notifyResidencyChanged() {
	f.residencyChanges.Notify()
	f.changes.Notify()
}

func (f *Fleet) notifyUrgentChange() {
	if f.deps.OnUrgentChange != nil {
		f.deps.OnUrgentChange()
	}
}

// EntriesOfService returns the entries of a service.
func (f *Fleet) EntriesOfService(name string) []*Entry { return f.index.Load().byService[name] }

// Entry finds an upstream.
func (f *Fleet) Entry(id string) (*Entry, bool) {
	e, ok := f.index.Load().byID[id]
	return e, ok
}

// All returns every entry, in no order.
func (f *Fleet) All() []*Entry {
	ix := f.index.Load()
	out := make([]*Entry, 0, len(ix.byID))
	for _, e := range ix.byID {
		out = append(out, e)
	}
	return out
}

// DownIDs lists the upstreams that this host leaves alone now for what their
// answers, or their silence, showed.
func (f *Fleet) DownIDs() []string {
	now := f.deps.Now()
	var out []string
	for _, e := range f.excluded.all() {
		if e.refreshExcluded(now) {
			out = append(out, e.id)
		}
	}
	return out
}

// Replace takes a full list of a version of the store: those that are missing
// are gone.
func (f *Fleet) Replace(all []deploy.Upstream, version uint64) {
	listed := map[string]bool{}
	for i := range all {
		listed[all[i].ID] = true
	}
	var missing []string
	for id := range f.index.Load().byID {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	f.Apply(all, missing, version)
}

// Apply takes upstreams that came or changed, and ids of those whose entries
// are gone, up to a version of the store; 0: of no version.
func (f *Fleet) Apply(put []deploy.Upstream, removed []string, version uint64) {
	f.mu.Lock()
	now := f.deps.Now()
	f.revision++
	next := &nextIndex{index: f.index.Load()}
	for i := range put {
		f.putLocked(next, put[i], now)
	}
	done := next.done()
	f.delistLocked(done, removed, now)
	f.recordVersionLocked(version)
	f.index.Store(done)
	identityChanged := f.identityRevision == f.revision
	f.mu.Unlock()
	f.logSeen(next.added)
	f.notifyResidencyChanged()
	if identityChanged && f.deps.OnListChange != nil {
		f.deps.OnListChange()
	}
}

// maxLoggedSeen is how many upstreams that come together get a line each in the log.
const maxLoggedSeen = 16

func (f *Fleet) logSeen(seen []*Entry) {
	if len(seen) > maxLoggedSeen {
		f.deps.Log.Emit(event.UpstreamsSeen, zap.Int("count", len(seen)))
		return
	}
	for _, e := range seen {
		u, _ := e.Description()
		f.deps.Log.Emit(event.UpstreamSeen, zap.String(event.FieldPeer, u.ID), zap.String("service", u.Service),
			zap.String("address", u.Address), zap.Int64("born_ms", u.Born), zap.Int("residents", len(u.Residents)))
	}
}

func (f *Fleet) putLocked(next *nextIndex, u deploy.Upstream, now time.Time) {
	e, known := next.byID[u.ID]
	if known {
		switch e.compareProcess(u.Born) {
		case earlierProcess: // a heartbeat that was written late
			return
		case laterProcess:
			f.retireLocked(e)
			known = false
		}
	}
	if !known {
		e = &Entry{fleet: f, id: u.ID, service: u.Service, address: u.Address, dataCentre: u.DataCentre, startedMs: u.Born, desc: u, movable: map[*Attempt]struct{}{}}
		next.add(e)
		f.applyEarlySignalLocked(e)
		next.added = append(next.added, e)
	}
	switch e.describe(u, now, f.revision) {
	case identityChange:
		f.identityLog.Record(e, f.revision)
		f.identityRevision = f.revision
		fallthrough
	case copiesChange:
		f.listedLog.Record(e, f.revision)
	}
	if !known {
		f.applyEarlyResidencyLocked(e, now)
	}
}

// retireLocked ends all that was believed of a process whose successor has its ID:
// what it held and kept, what was sent there, how it answered, and its
// connections. To go on by it would send requests for models that the new
// process, which starts empty, does not hold, and orders for room that is gone.
func (f *Fleet) retireLocked(e *Entry) {
	e.markSuperseded()
	f.dropLocked(e)
	if f.deps.OnForgotten != nil {
		f.deps.OnForgotten(e.Address())
	}
}

// massRemovalShare is the part of a service's upstreams that do not leave all at once.
const massRemovalShare = 0.34

// delistLocked notes entries that vanished. Normally their upstreams are leaving. But
// entries also run out while the store is away, and giving up all upstreams
// then would leave nobody to serve.
func (f *Fleet) delistLocked(ix *index, ids []string, now time.Time) {
	countByService := map[string]int{}
	for _, id := range ids {
		if e, ok := ix.byID[id]; ok {
			countByService[e.Service()]++
		}
	}
	for _, id := range ids {
		delete(f.earlyResidency, id)
	}
	graceLeft := f.cfg.RecoveryGrace - now.Sub(f.storeRecoveredAt) // what is left of the time after the store's return
	for _, id := range ids {
		e, ok := ix.byID[id]
		if !ok {
			continue
		}
		grace := max(graceLeft, 0)
		n := countByService[e.Service()]
		if grace == 0 && n > 1 && float64(n) >= massRemovalShare*float64(len(ix.byService[e.Service()])) {
			grace = f.cfg.MassRemovalGrace
		}
		if e.markDelisted(now, grace) {
			f.removed = append(f.removed, removedUpstream{id, f.revision, now})
			f.identityRevision = f.revision
		}
	}
	f.trimRemovedLocked(now)
}

// trimRemovedLocked drops those that all hosts have been told of, but for the last.
func (f *Fleet) trimRemovedLocked(now time.Time) {
	over := len(f.removed) - minRemovedKept
	for over > 0 && now.Sub(f.removed[over-1].removedAt) < removedTTL {
		over--
	}
	if over > 0 {
		f.removedFrom = f.removed[over-1].revision
		f.removed = append([]removedUpstream(nil), f.removed[over:]...)
	}
}

// StoreRecovered notes that the store is reached again after it was away.
func (f *Fleet) StoreRecovered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeRecoveredAt = f.deps.Now()
}

// scheduleChecks has Sweep look at an entry.
func (f *Fleet) scheduleChecks(e *Entry) {
	if f.pendingChecks.add(e) {
		f.checksNeeded.Notify()
	}
}

// HasPendingChecks says whether there is anything that Sweep has to look at often.
func (f *Fleet) HasPendingChecks() bool { return !f.pendingChecks.empty() }

// WakeChecks has those woken that wait until there is something to watch.
func (f *Fleet) WakeChecks() { f.checksNeeded.Notify() }

// ChecksNeeded returns a channel that is closed once there is again.
func (f *Fleet) ChecksNeeded() <-chan struct{} { return f.checksNeeded.Next() }

// RunChecks forgets upstreams that have left and answer nothing any more, ends
// holds that are over, and leaves alone those that are silent or stand out by
// their failures. It is called several times a second.
func (f *Fleet) RunChecks() {
	now := f.deps.Now()
	var forget []string
	for _, e := range f.pendingChecks.all() {
		if e.runChecks(now) {
			forget = append(forget, e.ID())
		}
	}
	rated := map[string][]*Entry{}
	for _, e := range f.rated.all() {
		rated[e.Service()] = append(rated[e.Service()], e)
	}
	for service, entries := range rated {
		f.excludeOutliers(entries, len(f.EntriesOfService(service)), now)
	}
	if len(forget) > 0 {
		f.forget(forget)
	}
}

func (f *Fleet) forget(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := &nextIndex{index: f.index.Load()}
	for _, id := range ids {
		e, ok := next.byID[id]
		if !ok {
			continue
		}
		f.dropLocked(e)
		if f.deps.OnForgotten != nil {
			f.deps.OnForgotten(e.Address())
		}
		next.remove(id)
	}
	f.index.Store(next.done())
}

// dropLocked forgets an entry for good; f.mu is held.
func (f *Fleet) dropLocked(e *Entry) {
	e.forget()
	f.listedLog.Forget(e)
	f.identityLog.Forget(e)
	f.signals.remove(e)
	f.pendingChecks.remove(e)
	f.rated.remove(e)
	f.excluded.remove(e)
}

// excludeOutliers leaves alone those of a service's upstreams whose failures stand out; all
// is how many it has.
func (f *Fleet) excludeOutliers(entries []*Entry, total int, now time.Time) {
	shares := make([]float64, len(entries))
	for i, e := range entries {
		shares[i] = e.errorShare(f.cfg.Health)
	}
	for i, isOutlier := range health.Outliers(f.cfg.Health, shares, total) {
		if isOutlier && entries[i].exclude(now) {
			f.deps.Log.Emit(event.UpstreamResting, zap.String(event.FieldPeer, entries[i].ID()),
				zap.String("why", "failures"), zap.Float64("share", shares[i]))
		}
	}
}
