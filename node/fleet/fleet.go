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
	// LapseHold is how long an upstream whose entry vanished together with
	// others is still used: entries run out while the store is away, and come
	// back within this time after its return if their upstreams live.
	LapseHold time.Duration
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

	mu      sync.Mutex // of writers of the index
	change  chan struct{}
	changes sync.Mutex // guards change
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
	f := &Fleet{cfg: cfg, deps: deps, change: make(chan struct{})}
	f.index.Store(&index{byID: map[string]*Entry{}, byService: map[string][]*Entry{}})
	return f
}

// Changed returns a channel that is closed at the next change which may let a
// waiting request go.
func (f *Fleet) Changed() <-chan struct{} {
	f.changes.Lock()
	defer f.changes.Unlock()
	return f.change
}

// Tell wakes the requests that wait for an upstream.
func (f *Fleet) Tell() { f.tell() }

func (f *Fleet) tell() {
	f.changes.Lock()
	close(f.change)
	f.change = make(chan struct{})
	f.changes.Unlock()
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

// Replace takes a full list: those that are missing are gone.
func (f *Fleet) Replace(all []deploy.Upstream) {
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
	f.Apply(all, missing)
}

// Apply takes upstreams that came or changed, and ids of those whose entries
// are gone.
func (f *Fleet) Apply(put []deploy.Upstream, gone []string) {
	f.mu.Lock()
	now := f.deps.Now()
	next := f.index.Load().copy()
	for i := range put {
		f.put(next, put[i], now)
	}
	f.lapse(next, gone, now)
	f.index.Store(next.indexed())
	f.mu.Unlock()
	f.tell()
}

func (f *Fleet) put(ix *index, u deploy.Upstream, now time.Time) {
	e, known := ix.byID[u.ID]
	if !known {
		e = &Entry{fleet: f, up: u, movable: map[*Exchange]struct{}{}}
		ix.byID[u.ID] = e
		f.deps.Log.Emit(event.UpstreamSeen, zap.String(event.FieldPeer, u.ID), zap.String("service", u.Service),
			zap.String("address", u.Address), zap.Int("residents", len(u.Residents)))
	}
	e.describe(u, now)
}

// lapse notes entries that vanished. One that vanishes alone is leaving at
// once. When several vanish together, their records may only have run out
// while the store was away, and giving them all up would leave nobody to serve.
func (f *Fleet) lapse(ix *index, gone []string, now time.Time) {
	together := map[string]int{}
	for _, id := range gone {
		if e, ok := ix.byID[id]; ok {
			together[e.Service()]++
		}
	}
	for _, id := range gone {
		e, ok := ix.byID[id]
		if !ok {
			continue
		}
		hold := time.Duration(0)
		if together[e.Service()] > 1 {
			hold = f.cfg.LapseHold
		}
		e.vanish(now, hold)
	}
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
		if e, ok := next.byID[id]; ok && f.deps.Left != nil {
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
