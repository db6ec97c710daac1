// Package view is what one host knows of the upstreams: their lagging
// reports, corrected by the host's own dispatches, by what rode on answers
// and by what peers say. Readers get immutable snapshots.
package view

import (
	"sync"
	"sync/atomic"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/route"
	"peridotpier.example/node/upstream/engineapi"
)

const (
	// downDuration is how long an upstream that could not be reached gets no new
	// work unless a report or an answer shows it alive sooner.
	downDuration = 2 * time.Second
	// rebuildIntervalPerEndpoint bounds the cost of snapshots: one is rebuilt at most once in
	// this time for each endpoint in it (350 endpoints: every 1.75 ms).
	rebuildIntervalPerEndpoint = 5 * time.Microsecond
	// maxPrefixes bounds the prefix hints kept for one upstream.
	maxPrefixes = 4096
)

// View holds the upstreams' states, each under its own lock.
type View struct {
	dataCentre string // this host's data centre
	now        func() time.Time
	mu         sync.RWMutex // guards the map, not the states; taken before a state's lock
	states     map[string]*upstreamState
	names      []string
	distance   func(from, to string) float64

	dirty           atomic.Bool
	topologyChanged atomic.Bool // residents, states or the set of upstreams changed
	snap            atomic.Pointer[route.Snapshot]
	rebuildMu       sync.Mutex
}

// upstreamState is one upstream.
type upstreamState struct {
	mu               sync.Mutex
	cfg              config.Upstream
	isService        bool
	report           engineapi.Report
	takenAt          time.Time // this host's time at which the report was taken, as estimated
	offset           time.Duration
	offsetSet        bool
	running          int
	waiting          int
	loadAt           time.Time
	draining         map[string]bool // incarnations that are leaving: never undone
	downUntil        time.Time
	lastReported     time.Time // when this host read a report itself
	lastSeen         time.Time // when it last had a word from the upstream
	inFlight         int
	sinceLoad        deltas // own dispatches and completions since loadAt
	peerDispatched   int
	ready            map[route.ModelKey]bool
	prefixes         map[uint64]bool
	stepMs           float64   // time of one decoding step, as streams showed it
	stepAt           time.Time // when it was last seen
	meanAnswerTokens float64   // mean length of its answers
	prefillMs        float64   // time to the first token where no queue was expected
}

// New makes an empty view for a host in the given data centre; distance gives
// the round trip between data centres in milliseconds.
func New(dataCentre string, now func() time.Time, distance func(from, to string) float64) *View {
	if distance == nil {
		distance = func(string, string) float64 { return 0 }
	}
	v := &View{dataCentre: dataCentre, now: now, states: map[string]*upstreamState{}, distance: distance}
	v.markTopologyChanged()
	return v
}

// Configure takes the set of upstreams from a configuration. What is known of
// those that stay is kept.
func (v *View) Configure(x *config.Index) {
	service := map[string]bool{}
	for _, p := range x.Pools {
		service[p.Name] = p.Kind == config.KindService
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	next := make(map[string]*upstreamState, len(x.Upstreams))
	v.names = v.names[:0:0]
	for _, u := range x.Upstreams {
		s := v.states[u.Name]
		if s == nil || s.cfg.Address != u.Address {
			s = &upstreamState{draining: map[string]bool{}, prefixes: map[uint64]bool{}}
		}
		s.mu.Lock()
		s.cfg, s.isService = u, service[u.Pool]
		s.mu.Unlock()
		next[u.Name] = s
		v.names = append(v.names, u.Name)
	}
	v.states = next
	v.markTopologyChanged()
}

func (v *View) markTopologyChanged() {
	v.topologyChanged.Store(true)
	v.dirty.Store(true)
}

// lockState returns an upstream's state, locked, or nil.
func (v *View) lockState(upstream string) *upstreamState {
	v.mu.RLock()
	s := v.states[upstream]
	v.mu.RUnlock()
	if s != nil {
		s.mu.Lock()
	}
	return s
}

// ApplyReport takes an upstream's own report, received at time at. Reports of an
// older incarnation's sequence or out of order are dropped.
func (v *View) ApplyReport(r engineapi.Report, at time.Time) bool {
	s := v.lockState(r.Upstream)
	if s == nil {
		return false
	}
	defer s.mu.Unlock()
	same := r.Incarnation == s.report.Incarnation
	if same && r.Sequence <= s.report.Sequence {
		return false
	}
	if !same {
		s.resetForIncarnation(r)
	}
	s.lastReported, s.lastSeen = at, at
	s.estimateTaken(r.TakenMs, at)
	taken := at
	if s.offsetSet {
		taken = time.UnixMilli(r.TakenMs).Add(s.offset)
	}
	changed := !same || s.ready == nil || !sameResidents(s.report.Residents, r.Residents) || r.Draining != s.report.Draining
	s.report, s.takenAt = r, taken
	if r.Draining {
		s.draining[r.Incarnation] = true
	}
	if taken.After(s.loadAt) {
		s.running, s.waiting, s.loadAt = r.Running, r.Waiting, taken
		s.sinceLoad.dropUntil(taken)
	}
	s.downUntil = time.Time{}
	if changed {
		s.ready = readyModels(r.Residents)
		v.topologyChanged.Store(true)
	}
	v.dirty.Store(true)
	return true
}

// estimateTaken keeps the smallest difference seen between this host's clock
// and the upstream's: the one with the least lag in it. Reports alone would
// not do, since all of them may be late by the same time; the stamps that ride
// on answers are as old as the way back only.
func (s *upstreamState) estimateTaken(takenMs int64, at time.Time) {
	off := at.Sub(time.UnixMilli(takenMs))
	if !s.offsetSet || off < s.offset {
		s.offset, s.offsetSet = off, true
	}
}

func sameResidents(a, b []engineapi.Resident) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// readyModels lists what can be answered: ready models, and ready adapters whose
// base model is ready too.
func readyModels(residents []engineapi.Resident) map[route.ModelKey]bool {
	ready := map[route.ModelKey]bool{}
	for _, r := range residents {
		if r.Adapter == "" && r.State == engineapi.StateReady {
			ready[route.ModelKey{Model: r.Model}] = true
		}
	}
	for _, r := range residents {
		if r.Adapter != "" && r.State == engineapi.StateReady && ready[route.ModelKey{Model: r.Model}] {
			ready[route.ModelKey{Model: r.Model, Adapter: r.Adapter}] = true
		}
	}
	return ready
}

// AttemptStarted counts an attempt sent to an upstream; Finished undoes it.
func (v *View) AttemptStarted(upstream string) {
	if s := v.lockState(upstream); s != nil {
		s.inFlight++
		s.sinceLoad.add(v.now(), 1)
		s.mu.Unlock()
		v.dirty.Store(true)
	}
}

// AttemptFinished counts the end of an attempt.
func (v *View) AttemptFinished(upstream string) {
	if s := v.lockState(upstream); s != nil {
		if s.inFlight > 0 {
			s.inFlight--
		}
		s.sinceLoad.add(v.now(), -1)
		s.mu.Unlock()
		v.dirty.Store(true)
	}
}

// ObserveAnswer takes what rode on an answer's head: the incarnation and the load.
func (v *View) ObserveAnswer(upstream, incarnation, load string) {
	s := v.lockState(upstream)
	if s == nil {
		return
	}
	defer s.mu.Unlock()
	s.downUntil, s.lastSeen = time.Time{}, v.now()
	l, ok := parseLoad(load)
	if !ok || incarnation != s.report.Incarnation && s.report.Incarnation != "" {
		return
	}
	now := v.now()
	s.estimateTaken(l.takenMs, now)
	s.running, s.waiting, s.loadAt = l.running, l.waiting, now
	s.sinceLoad.dropUntil(now)
	v.dirty.Store(true)
}

// MarkDraining marks an incarnation of an upstream as leaving, for good. An empty
// incarnation stands for the one now known. It answers whether that was news.
func (v *View) MarkDraining(upstream, incarnation string) bool {
	s := v.lockState(upstream)
	if s == nil {
		return false
	}
	defer s.mu.Unlock()
	if incarnation == "" {
		incarnation = s.report.Incarnation
	}
	first := !s.draining[incarnation]
	s.draining[incarnation] = true
	v.markTopologyChanged()
	return first
}

// MarkDown keeps new work from an upstream that could not be reached, for a while.
func (v *View) MarkDown(upstream string) {
	if s := v.lockState(upstream); s != nil {
		s.downUntil = v.now().Add(downDuration)
		s.mu.Unlock()
		v.markTopologyChanged()
	}
}

// MarkNotReady takes an upstream's refusal to answer for a model as word that the
// model is not resident there, until its next report.
func (v *View) MarkNotReady(upstream string, key route.ModelKey) {
	if s := v.lockState(upstream); s != nil {
		next := make(map[route.ModelKey]bool, len(s.ready))
		for k := range s.ready {
			if k != key {
				next[k] = true
			}
		}
		s.ready = next
		s.mu.Unlock()
		v.markTopologyChanged()
	}
}

// ObserveCacheEvent takes a cache event as a hint.
func (v *View) ObserveCacheEvent(upstream string, e engineapi.CacheEvent) {
	if s := v.lockState(upstream); s != nil {
		next := make(map[uint64]bool, len(s.prefixes)+1)
		if len(s.prefixes) < maxPrefixes {
			for k := range s.prefixes {
				next[k] = true
			}
		}
		next[e.Prefix] = e.Stored
		s.prefixes = next
		s.mu.Unlock()
		v.dirty.Store(true)
	}
}

// SetPeerDispatched takes how many attempts the peers together have in flight at an
// upstream beyond what its report shows.
func (v *View) SetPeerDispatched(upstream string, attempts int) {
	if s := v.lockState(upstream); s != nil {
		s.peerDispatched = attempts
		s.mu.Unlock()
		v.dirty.Store(true)
	}
}

// Incarnation returns the incarnation now known of an upstream.
func (v *View) Incarnation(upstream string) string {
	s := v.lockState(upstream)
	if s == nil {
		return ""
	}
	defer s.mu.Unlock()
	return s.report.Incarnation
}
