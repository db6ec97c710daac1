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

	mu       sync.Mutex          // of writers of the index
	backAt   time.Time           // when the store was last reached again
	state    uint64              // rises with every change of the list
	listed   changes.Log[*Entry] // of what the list says
	standing changes.Log[*Entry] // of that, what every host needs to hear
	forAll   uint64              // newest state at which there was such a change
	gone     []vanished          // the last ones
	goneFrom uint64              // state from which on gone is complete
	marks    []mark              // the last states, with the store's versions that they are of
	changes  pace.Signal
	holdings pace.Signal
	stirred  pace.Signal // given when there is something to watch again

	origin    time.Time
	sharing   atomic.Pointer[sharing]
	holders   holders // by what they hold
	loaders   holders // by what they are loading
	others    others
	word      atomic.Pointer[word]
	rests     deadline                  // of upstreams
	limits    deadline                  // for so long some upstream is taken to name a limit
	signals   signalLog                 // of what others have to hear
	early     map[string]UpstreamSignal // of upstreams that the list does not name yet; under mu
	earlyHeld map[string]Residency      // likewise, what they hold

	// The entries that time changes something at, so that none of the others is
	// looked at: their number grows with the fleet.
	watched entrySet // with a request of this host, gone, or naming a limit
	rated   entrySet // with enough answers for their failures to count
	resting entrySet // left alone, or on trial
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
	f.sharing.Store(&sharing{})
	f.word.Store(&word{})
	f.index.Store(&index{byID: map[string]*Entry{}, byService: map[string][]*Entry{}})
	return f
}

// Changed returns a channel that is closed at the next change which may let a
// waiting request go.
func (f *Fleet) Changed() <-chan struct{} { return f.changes.Next() }

// ResidencyChanged is like Changed for requests that wait for a model: it passes
// over the ends of others' requests, which come hundreds of times a second.
func (f *Fleet) ResidencyChanged() <-chan struct{} { return f.holdings.Next() }

// NotifyChanged wakes the requests that wait for an upstream.
func (f *Fleet) NotifyChanged() { f.changes.Notify() }

// tellHoldings wakes those that wait for a model, too.
func (f *Fleet) tellHoldings() {
	f.holdings.Notify()
	f.changes.Notify()
}

func (f *Fleet) noticed() {
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
	for _, e := range f.resting.all() {
		if e.restsAt(now) {
			out = append(out, e.id)
		}
	}
	return out
}

// Replace takes a full list of a version of the store: those that are missing
// are gone.
func (f *Fleet) Replace(all []deploy.Upstream, at uint64) {
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
	f.Apply(all, missing, at)
}

// Apply takes upstreams that came or changed, and ids of those whose entries
// are gone, up to a version of the store; 0: of no version.
func (f *Fleet) Apply(put []deploy.Upstream, gone []string, at uint64) {
	f.mu.Lock()
	now := f.deps.Now()
	f.state++
	d := &draft{index: f.index.Load()}
	for i := range put {
		f.put(d, put[i], now)
	}
	next := d.done()
	f.lapse(next, gone, now)
	f.markLocked(at)
	f.index.Store(next)
	forAll := f.forAll == f.state
	f.mu.Unlock()
	f.logSeen(d.seen)
	f.tellHoldings()
	if forAll && f.deps.OnListChange != nil {
		f.deps.OnListChange()
	}
}

// seenMost is how many upstreams that come together get a line each in the log.
const seenMost = 16

func (f *Fleet) logSeen(seen []*Entry) {
	if len(seen) > seenMost {
		f.deps.Log.Emit(event.UpstreamsListed, zap.Int("count", len(seen)))
		return
	}
	for _, e := range seen {
		u, _ := e.Description()
		f.deps.Log.Emit(event.UpstreamListed, zap.String(event.FieldPeer, u.ID), zap.String("service", u.Service),
			zap.String("address", u.Address), zap.Int64("born_ms", u.Born), zap.Int("residents", len(u.Residents)))
	}
}

func (f *Fleet) put(d *draft, u deploy.Upstream, now time.Time) {
	e, known := d.byID[u.ID]
	if known {
		switch e.relation(u.Born) {
		case formerProcess: // a heartbeat that was written late
			return
		case newProcess:
			f.retire(e)
			known = false
		}
	}
	if !known {
		e = &Entry{fleet: f, id: u.ID, service: u.Service, address: u.Address, dataCentre: u.DataCentre, born: u.Born, up: u, movable: map[*Attempt]struct{}{}}
		d.add(e)
		f.heedEarlyLocked(e)
		d.seen = append(d.seen, e)
	}
	switch e.describe(u, now, f.state) {
	case newsForAll:
		f.standing.Record(e, f.state)
		f.forAll = f.state
		fallthrough
	case newsOfHeld:
		f.listed.Record(e, f.state)
	}
	if !known {
		f.believeEarlyLocked(e, now)
	}
}

// retire ends all that was believed of a process whose successor has its ID:
// what it held and kept, what was sent there, how it answered, and its
// connections. To go on by it would send requests for models that the new
// process, which starts empty, does not hold, and orders for room that is gone.
func (f *Fleet) retire(e *Entry) {
	e.succeeded()
	f.dropLocked(e)
	if f.deps.OnForgotten != nil {
		f.deps.OnForgotten(e.Address())
	}
}

// massShare is the part of a service's upstreams that do not leave all at once.
const massShare = 0.34

// lapse notes entries that vanished. Normally their upstreams are leaving. But
// entries also run out while the store is away, and giving up all upstreams
// then would leave nobody to serve.
func (f *Fleet) lapse(ix *index, gone []string, now time.Time) {
	together := map[string]int{}
	for _, id := range gone {
		if e, ok := ix.byID[id]; ok {
			together[e.Service()]++
		}
	}
	for _, id := range gone {
		delete(f.earlyHeld, id)
	}
	away := f.cfg.RecoveryGrace - now.Sub(f.backAt) // what is left of the time after the store's return
	for _, id := range gone {
		e, ok := ix.byID[id]
		if !ok {
			continue
		}
		hold := max(away, 0)
		n := together[e.Service()]
		if hold == 0 && n > 1 && float64(n) >= massShare*float64(len(ix.byService[e.Service()])) {
			hold = f.cfg.MassRemovalGrace
		}
		if e.vanish(now, hold) {
			f.gone = append(f.gone, vanished{id, f.state, now})
			f.forAll = f.state
		}
	}
	f.forgetGoneLocked(now)
}

// forgetGoneLocked drops those that all hosts have been told of, but for the last.
func (f *Fleet) forgetGoneLocked(now time.Time) {
	over := len(f.gone) - goneMost
	for over > 0 && now.Sub(f.gone[over-1].since) < goneFor {
		over--
	}
	if over > 0 {
		f.goneFrom = f.gone[over-1].at
		f.gone = append([]vanished(nil), f.gone[over:]...)
	}
}

// StoreRecovered notes that the store is reached again after it was away.
func (f *Fleet) StoreRecovered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backAt = f.deps.Now()
}

// watch has Sweep look at an entry.
func (f *Fleet) watch(e *Entry) {
	if f.watched.add(e) {
		f.stirred.Notify()
	}
}

// HasPendingChecks says whether there is anything that Sweep has to look at often.
func (f *Fleet) HasPendingChecks() bool { return !f.watched.empty() }

// WakeChecks has those woken that wait until there is something to watch.
func (f *Fleet) WakeChecks() { f.stirred.Notify() }

// ChecksNeeded returns a channel that is closed once there is again.
func (f *Fleet) ChecksNeeded() <-chan struct{} { return f.stirred.Next() }

// RunChecks forgets upstreams that have left and answer nothing any more, ends
// holds that are over, and leaves alone those that are silent or stand out by
// their failures. It is called several times a second.
func (f *Fleet) RunChecks() {
	now := f.deps.Now()
	var forget []string
	for _, e := range f.watched.all() {
		if e.sweep(now) {
			forget = append(forget, e.ID())
		}
	}
	rated := map[string][]*Entry{}
	for _, e := range f.rated.all() {
		rated[e.Service()] = append(rated[e.Service()], e)
	}
	for service, entries := range rated {
		f.judge(entries, len(f.EntriesOfService(service)), now)
	}
	if len(forget) > 0 {
		f.forget(forget)
	}
}

func (f *Fleet) forget(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := &draft{index: f.index.Load()}
	for _, id := range ids {
		e, ok := d.byID[id]
		if !ok {
			continue
		}
		f.dropLocked(e)
		if f.deps.OnForgotten != nil {
			f.deps.OnForgotten(e.Address())
		}
		d.remove(id)
	}
	f.index.Store(d.done())
}

// dropLocked forgets an entry for good; f.mu is held.
func (f *Fleet) dropLocked(e *Entry) {
	e.forget()
	f.listed.Forget(e)
	f.standing.Forget(e)
	f.signals.drop(e)
	f.watched.remove(e)
	f.rated.remove(e)
	f.resting.remove(e)
}

// judge leaves alone those of a service's upstreams whose failures stand out; all
// is how many it has.
func (f *Fleet) judge(entries []*Entry, all int, now time.Time) {
	shares := make([]float64, len(entries))
	for i, e := range entries {
		shares[i] = e.failures(f.cfg.Health)
	}
	for i, failing := range health.Outliers(f.cfg.Health, shares, all) {
		if failing && entries[i].rest(now) {
			f.deps.Log.Emit(event.UpstreamExcluded, zap.String(event.FieldPeer, entries[i].ID()),
				zap.String("why", "failures"), zap.Float64("share", shares[i]))
		}
	}
}
