// Package fleet is one host's view of the upstreams: their descriptions in the store's
// list, the load that this host and the others have sent to them, and what their answers
// show. Every pick of an upstream reads it.
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

// Config holds the settings of a Fleet.
type Config struct {
	DataCentre string
	Health     health.Policy
	// RecoveryGrace is how long, after the store is reachable again, upstreams are still used
	// whose entries expired while it was unavailable. Upstreams that are alive write their
	// entries anew in that time.
	RecoveryGrace time.Duration
	// MassRemovalGrace is how long upstreams are still used when a large share of a service's
	// entries is removed together although the store was not seen to be unavailable.
	MassRemovalGrace time.Duration
	// StaleEntryTTL is how long after a restore of the store its list may have entries of
	// upstreams that had been removed: those of the copy, until the platform removes them
	// for the silence of their upstreams.
	StaleEntryTTL time.Duration
}

// Deps holds the dependencies of a Fleet.
type Deps struct {
	Log *event.Log
	Now func() time.Time
	// OnForgotten is called with the address of an upstream that the Fleet has forgotten;
	// nil: not called.
	OnForgotten func(address string)
	// OnListChange is called after a change of the list that every host must receive: the
	// identity of an upstream, its drain, or the removal of its entry. nil: not called.
	OnListChange func()
	// OnUrgentChange is called when this host has observed something that the acting
	// coordinator should receive at once: it excluded an upstream, or an upstream sent a
	// signal that concerns all hosts. It must not block. nil: not called.
	OnUrgentChange func()
}

// Fleet holds the entries of the upstreams. The index is replaced as a whole when entries
// are added or removed; each entry has its own lock, so that requests to different
// upstreams do not wait for each other.
type Fleet struct {
	cfg   Config
	deps  Deps
	index atomic.Pointer[index]

	mu               sync.Mutex          // held by writers of the index
	storeRecoveredAt time.Time           // when the store was last reachable again
	revision         uint64              // of the list; rises with each change
	listedLog        changes.Log[*Entry] // entries by the revision at which the list last changed them
	identityLog      changes.Log[*Entry] // the same, only for changes that every host must receive
	identityRevision uint64              // newest revision with such a change
	removed          []removedUpstream   // latest removals, oldest first
	removedFrom      uint64              // revision after which removed is complete
	versionMarks     []versionMark       // latest revisions, with the store's versions that they include
	gaps             []gap               // latest gaps in the changes, oldest first
	gapsFrom         uint64              // revision after which gaps is complete
	changes          pace.Signal
	residencyChanges pace.Signal
	checksNeeded     pace.Signal // notified when there are entries to check again

	origin         time.Time
	remote         atomic.Int64 // mean round trip to other data centres in nanoseconds; 0: not known
	sharing        atomic.Pointer[limitSharing]
	residentIndex  modelIndex // by models that may be resident
	loadingIndex   modelIndex // by models that are being loaded
	otherHosts     otherHostsLoad
	contact        contact
	coordinator    atomic.Pointer[coordinatorTerm]
	backoffs       deadline                  // latest end of a backoff of any upstream
	staleEntries   deadline                  // until when listed entries may be those of a copy that the store was restored from
	limits         deadline                  // until when some upstream is treated as stating a limit
	brittle        brittleServices           // whose upstreams are brittle
	signals        signalLog                 // signals that other hosts must receive
	earlySignals   map[string]UpstreamSignal // of processes that the list does not name yet; guarded by mu
	earlyResidency map[string]Residency      // the same for residency; guarded by mu

	// The sets of entries whose state changes with time. Other entries are not visited,
	// since their number grows with the fleet.
	pendingChecks entrySet // with a request of this host, delisted, or stating a limit
	rated         entrySet // with enough answers for their error share to count
	excluded      entrySet // excluded by this host, or sent one probe at a time after that
}

// New returns an empty Fleet.
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
	f.contact.begin()
	f.sharing.Store(&limitSharing{})
	f.coordinator.Store(&coordinatorTerm{})
	f.index.Store(&index{byID: map[string]*Entry{}, byService: map[string][]*Entry{}})
	return f
}

// Changed returns a channel that is closed at the next change which may let a waiting
// request proceed.
func (f *Fleet) Changed() <-chan struct{} { return f.changes.Next() }

// ResidencyChanged is like Changed, for requests that wait for a model. Its channel is not
// closed when other requests end, which happens hundreds of times a second.
func (f *Fleet) ResidencyChanged() <-chan struct{} { return f.residencyChanges.Next() }

// NotifyChanged wakes the requests that wait for an upstream.
func (f *Fleet) NotifyChanged() { f.changes.Notify() }

// notifyResidencyChanged also wakes the requests that wait for a model.
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

// Entry returns the entry of an upstream.
func (f *Fleet) Entry(id string) (*Entry, bool) {
	e, ok := f.index.Load().byID[id]
	return e, ok
}

// SetRemoteRoundTrip sets the mean round trip to other data centres; 0: not known.
func (f *Fleet) SetRemoteRoundTrip(d time.Duration) { f.remote.Store(int64(d)) }

func (f *Fleet) remoteRoundTrip() time.Duration { return time.Duration(f.remote.Load()) }

// DataCentre returns the data centre of this host.
func (f *Fleet) DataCentre() string { return f.cfg.DataCentre }

// All returns all entries in no particular order.
func (f *Fleet) All() []*Entry {
	ix := f.index.Load()
	out := make([]*Entry, 0, len(ix.byID))
	for _, e := range ix.byID {
		out = append(out, e)
	}
	return out
}

// DownIDs returns the IDs of the upstreams that this host currently excludes because
// their answers failed or they were unresponsive; none while that may be due to its own
// network path.
func (f *Fleet) DownIDs() []string {
	if f.OwnEvidenceDoubted() {
		return nil
	}
	now := f.deps.Now()
	var out []string
	for _, e := range f.excluded.all() {
		if e.refreshExcluded(now) {
			out = append(out, e.id)
		}
	}
	return out
}

// Replace applies the complete list at a version of the store: entries that are missing
// from it are removed.
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

// Apply applies a change of the list up to a version of the store: descriptions that were
// added or changed, and the IDs of removed entries. Version 0 is a change without a
// version of the store.
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
	f.logAdded(next.added)
	f.notifyResidencyChanged()
	if identityChanged && f.deps.OnListChange != nil {
		f.deps.OnListChange()
	}
}

// maxLoggedAdded is the maximum number of upstreams added by one change that are logged
// one by one; of more, only the number is logged.
const maxLoggedAdded = 16

func (f *Fleet) logAdded(added []*Entry) {
	if len(added) > maxLoggedAdded {
		f.deps.Log.Emit(event.UpstreamsListed, zap.Int("count", len(added)))
		return
	}
	for _, e := range added {
		f.logSharedAddress(e)
		u, _ := e.Description()
		f.deps.Log.Emit(event.UpstreamListed, zap.String(event.FieldPeer, u.ID), zap.String("service", u.Service),
			zap.String("address", u.Address), zap.Int64("born_ms", u.Born), zap.Int("residents", len(u.Residents)))
	}
}

// logSharedAddress logs which upstreams in use are listed at the address of a new one.
func (f *Fleet) logSharedAddress(added *Entry) {
	for _, e := range f.index.Load().byID {
		if e != added && e.address == added.address && e.Usable() {
			f.deps.Log.Emit(event.UpstreamAddressShared, zap.String(event.FieldPeer, added.id), zap.String("other", e.id), zap.String("address", e.address))
		}
	}
}

func (f *Fleet) putLocked(next *nextIndex, u deploy.Upstream, now time.Time) {
	e, known := next.byID[u.ID]
	if known {
		switch e.compareProcess(u.Born) {
		case earlierProcess: // a late heartbeat of the earlier process
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

// retireLocked drops everything that is known of a process when a later process has taken
// over its ID: its residents and cached prompts, what was sent to it, its health and its
// connections. Otherwise requests would be sent for models that the new process, which
// starts empty, does not have, and orders would be given for memory that was freed with
// the old one.
func (f *Fleet) retireLocked(e *Entry) {
	e.markSuperseded()
	f.dropLocked(e)
	if f.deps.OnForgotten != nil {
		f.deps.OnForgotten(e.Address())
	}
}

// massRemovalShare is the share of a service's upstreams from which on their removal
// together is not treated as drains.
const massRemovalShare = 0.34

// delistLocked records that entries were removed from the list. Normally their upstreams
// are draining. But entries also expire while the store is unavailable, and if all
// upstreams were given up then, none would be left to serve requests.
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
	graceLeft := f.cfg.RecoveryGrace - now.Sub(f.storeRecoveredAt) // remainder of the grace after the store's recovery
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

// trimRemovedLocked drops removals that are older than removedTTL, and so known to all
// hosts, but keeps the latest minRemovedKept.
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

// StoreRecovered records that the store is reachable again after it was unavailable.
func (f *Fleet) StoreRecovered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeRecoveredAt = f.deps.Now()
}

// StoreRestored records that the list is now of a store that was restored from a copy.
func (f *Fleet) StoreRestored() {
	f.StoreRecovered()
	f.staleEntries.extend(f.deps.Now().Add(f.cfg.StaleEntryTTL))
}

// scheduleChecks has RunChecks visit an entry.
func (f *Fleet) scheduleChecks(e *Entry) {
	if f.pendingChecks.add(e) {
		f.checksNeeded.Notify()
	}
}

// HasPendingChecks reports whether there are entries to check, for which RunChecks must
// run often.
func (f *Fleet) HasPendingChecks() bool { return !f.pendingChecks.empty() }

// WakeChecks wakes the goroutines that wait for ChecksNeeded.
func (f *Fleet) WakeChecks() { f.checksNeeded.Notify() }

// ChecksNeeded returns a channel that is closed when there are entries to check again.
func (f *Fleet) ChecksNeeded() <-chan struct{} { return f.checksNeeded.Next() }

// RunChecks forgets delisted upstreams that have no requests left, ends grace periods
// that are over, and excludes upstreams that are unresponsive or whose error share is an
// outlier. It is called several times a second.
func (f *Fleet) RunChecks() {
	now := f.deps.Now()
	var forget, relist []string
	for _, e := range f.pendingChecks.all() {
		switch e.runChecks(now) {
		case forgetEntry:
			forget = append(forget, e.ID())
		case relistEntry:
			relist = append(relist, e.ID())
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
	if len(relist) > 0 {
		f.relist(relist)
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

// dropLocked removes an entry for good. f.mu must be held.
func (f *Fleet) dropLocked(e *Entry) {
	e.forget()
	f.listedLog.Forget(e)
	f.identityLog.Forget(e)
	f.signals.remove(e)
	f.pendingChecks.remove(e)
	f.rated.remove(e)
	f.excluded.remove(e)
}

// excludeOutliers excludes those of a service's upstreams whose error share is an
// outlier, and ends that for the others; total is the number of its upstreams.
func (f *Fleet) excludeOutliers(entries []*Entry, total int, now time.Time) {
	shares := make([]float64, len(entries))
	for i, e := range entries {
		shares[i] = e.errorShare(f.cfg.Health)
	}
	for i, isOutlier := range health.Outliers(f.cfg.Health, shares, total) {
		if !isOutlier {
			entries[i].endExclusionForShare(now)
			continue
		}
		if entries[i].excludeFailing(now) {
			f.deps.Log.Emit(event.UpstreamExcluded, zap.String(event.FieldPeer, entries[i].ID()),
				zap.String("why", "failures"), zap.Float64("share", shares[i]))
		}
	}
}
