// Package fleet is one host's view of the upstreams: what they say of
// themselves, what this host and the others have sent to them, and what their
// answers show. Requests read it at every pick.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/health"
	"peridotpier.example/node/event"
)

// Config is what a Fleet is made of.
type Config struct {
	DataCentre string
	Health     health.Policy
	// LapseHold is how long after the store's return the entries that ran out
	// while it was away may take to come back, if their upstreams live.
	LapseHold time.Duration
	// MassHold is how long upstreams are still used whose entries vanish in
	// great number though the store was not seen to be away.
	MassHold time.Duration
}

// Deps are what a Fleet works with.
type Deps struct {
	Log *event.Log
	Now func() time.Time
	// Left is told the address of an upstream that is forgotten.
	Left func(address string)
}

// Fleet holds the upstreams. The index is replaced whole when upstreams come
// or go; each entry has its own lock, so that requests to different upstreams
// do not wait for each other.
type Fleet struct {
	cfg   Config
	deps  Deps
	index atomic.Pointer[index]

	mu       sync.Mutex // of writers of the index
	backAt   time.Time  // when the store was last reached again
	state    uint64     // rises with every change of the list
	gone     []vanished // the last ones
	goneFrom uint64     // state from which on gone is complete
	marks    []mark     // the last states, with the store's versions that they are of
	changes  signal
	holdings signal

	origin  time.Time
	sharing atomic.Pointer[sharing]
	holders holders
	rests   deadline             // of upstreams
	limits  deadline             // for so long some upstream is taken to name a limit
	signals atomic.Uint64        // rises with each signal that others have to hear
	early   map[string]Signalled // of upstreams that the list does not name yet; under mu
}

type index struct {
	byID      map[string]*Entry
	byService map[string][]*Entry
}

// New makes an empty Fleet.
func New(cfg Config, deps Deps) *Fleet {
	if cfg.Health == (health.Policy{}) {
		cfg.Health = health.Default
	}
	if deps.Now == nil {
		deps.Now = time.Now
	}
	if deps.Log == nil {
		deps.Log = event.NewLog(nil)
	}
	f := &Fleet{cfg: cfg, deps: deps, changes: newSignal(), holdings: newSignal(), origin: deps.Now()}
	f.sharing.Store(&sharing{})
	f.index.Store(&index{byID: map[string]*Entry{}, byService: map[string][]*Entry{}})
	return f
}

// Changed returns a channel that is closed at the next change which may let a
// waiting request go.
func (f *Fleet) Changed() <-chan struct{} { return f.changes.next() }

// HoldingsChanged is like Changed for requests that wait for a model: it passes
// over the ends of others' requests, which come hundreds of times a second.
func (f *Fleet) HoldingsChanged() <-chan struct{} { return f.holdings.next() }

// Tell wakes the requests that wait for an upstream.
func (f *Fleet) Tell() { f.changes.give() }

// tellHoldings wakes those that wait for a model, too.
func (f *Fleet) tellHoldings() {
	f.holdings.give()
	f.changes.give()
}

// Service returns the entries of a service.
func (f *Fleet) Service(name string) []*Entry { return f.index.Load().byService[name] }

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

// Down lists the upstreams that this host leaves alone now for what their
// answers, or their silence, showed.
func (f *Fleet) Down() []string {
	now := f.deps.Now()
	var out []string
	for id, e := range f.index.Load().byID {
		if e.down(now) {
			out = append(out, id)
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
	next := f.index.Load().copy()
	for i := range put {
		f.put(next, put[i], now)
	}
	f.lapse(next, gone, now)
	f.markLocked(at)
	f.index.Store(next.indexed())
	f.mu.Unlock()
	f.tellHoldings()
}

func (f *Fleet) put(ix *index, u deploy.Upstream, now time.Time) {
	e, known := ix.byID[u.ID]
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
		e = &Entry{fleet: f, id: u.ID, service: u.Service, address: u.Address, dataCentre: u.DataCentre, born: u.Born, up: u, movable: map[*Exchange]struct{}{}}
		ix.byID[u.ID] = e
		f.heedEarlyLocked(e)
		f.deps.Log.Emit(event.UpstreamSeen, zap.String(event.FieldPeer, u.ID), zap.String("service", u.Service),
			zap.String("address", u.Address), zap.Int64("born_ms", u.Born), zap.Int("residents", len(u.Residents)))
	}
	e.describe(u, now, f.state)
}

// retire ends all that was believed of a process whose successor has its ID:
// what it held and kept, what was sent there, how it answered, and its
// connections. To go on by it would send requests for models that the new
// process, which starts empty, does not hold, and orders for room that is gone.
func (f *Fleet) retire(e *Entry) {
	e.succeeded()
	e.forget()
	if f.deps.Left != nil {
		f.deps.Left(e.Address())
	}
}

// massShare is the part of a service's upstreams that do not leave all at once.
const massShare = 0.34

// lapse notes entries that vanished. Normally their upstreams are leaving. But
// entries also run out while the store is away, and giving up all upstreams
// then would leave nobody to serve.
func (f *Fleet) lapse(ix *index, gone []string, now time.Time) {
	together, all := map[string]int{}, map[string]int{}
	for _, id := range gone {
		if e, ok := ix.byID[id]; ok {
			together[e.Service()]++
		}
	}
	for _, e := range ix.byID {
		all[e.Service()]++
	}
	away := f.cfg.LapseHold - now.Sub(f.backAt) // what is left of the time after the store's return
	for _, id := range gone {
		e, ok := ix.byID[id]
		if !ok {
			continue
		}
		hold := max(away, 0)
		n := together[e.Service()]
		if hold == 0 && n > 1 && float64(n) >= massShare*float64(all[e.Service()]) {
			hold = f.cfg.MassHold
		}
		if e.vanish(now, hold) {
			f.gone = append(f.gone, vanished{id, f.state})
		}
	}
	if over := len(f.gone) - goneMost; over > 0 {
		f.goneFrom = f.gone[over-1].at
		f.gone = append([]vanished(nil), f.gone[over:]...)
	}
}

// StoreBack notes that the store is reached again after it was away.
func (f *Fleet) StoreBack() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backAt = f.deps.Now()
}

// Sweep forgets upstreams that have left and answer nothing any more, ends
// holds that are over, and leaves alone those that are silent or stand out by
// their failures. It is called several times a second.
func (f *Fleet) Sweep() {
	now := f.deps.Now()
	ix := f.index.Load()
	var forget []string
	for _, e := range ix.byID {
		if e.sweep(now) {
			forget = append(forget, e.ID())
		}
	}
	for _, entries := range ix.byService {
		f.judge(entries, now)
	}
	if len(forget) > 0 {
		f.forget(forget)
	}
}

func (f *Fleet) forget(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.index.Load().copy()
	for _, id := range ids {
		e, ok := next.byID[id]
		if !ok {
			continue
		}
		e.forget()
		if f.deps.Left != nil {
			f.deps.Left(e.Address())
		}
		delete(next.byID, id)
	}
	f.index.Store(next.indexed())
}

// judge leaves alone the upstreams of one service whose failures stand out.
func (f *Fleet) judge(entries []*Entry, now time.Time) {
	shares := make([]float64, len(entries))
	for i, e := range entries {
		shares[i] = e.failures(f.cfg.Health)
	}
	for i, failing := range health.Failing(f.cfg.Health, shares) {
		if failing && entries[i].rest(now) {
			f.deps.Log.Emit(event.UpstreamResting, zap.String(event.FieldPeer, entries[i].ID()),
				zap.String("why", "failures"), zap.Float64("share", shares[i]))
		}
	}
}

func (ix *index) copy() *index {
	next := &index{byID: make(map[string]*Entry, len(ix.byID)+1)}
	for id, e := range ix.byID {
		next.byID[id] = e
	}
	return next
}

func (ix *index) indexed() *index {
	ix.byService = map[string][]*Entry{}
	for _, e := range ix.byID {
		ix.byService[e.Service()] = append(ix.byService[e.Service()], e)
	}
	return ix
}
