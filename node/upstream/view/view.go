// Package view keeps one host's view of the upstreams: their reports, which lag,
// corrected by the host's own dispatches, by the load stated on answers and by
// peers' reports. Readers get immutable snapshots.
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
	// requests, unless a report or an answer arrives from it sooner.
	downDuration = 2 * time.Second
	// rebuildIntervalPerEndpoint bounds the cost of snapshots: the least time between
	// two rebuilds, for each endpoint in the snapshot (1.75 ms for 350 endpoints).
	rebuildIntervalPerEndpoint = 5 * time.Microsecond
	// maxPrefixes bounds the prefix hints kept for one upstream.
	maxPrefixes = 4096
)

// View holds the states of the upstreams, each with its own lock. It is safe for
// concurrent use.
type View struct {
	dataCentre string // this host's data centre
	now        func() time.Time
	mu         sync.RWMutex              // guards states and names, not the states themselves; taken before a state's lock
	states     map[string]*upstreamState // by name
	names      []string                  // of the upstreams, in the order of the configuration
	distance   func(from, to string) float64

	dirty           atomic.Bool // something changed since the last snapshot
	topologyChanged atomic.Bool // residents, states or the set of upstreams changed
	snap            atomic.Pointer[route.Snapshot]
	rebuildMu       sync.Mutex
}

// upstreamState is what the host knows of one upstream.
type upstreamState struct {
	mu               sync.Mutex
	cfg              config.Upstream
	report           engineapi.Report
	clockOffset      time.Duration // this host's clock minus that of TakenMs, see updateClockOffset
	hasClockOffset   bool
	running          int
	waiting          int
	loadAt           time.Time       // when running and waiting were current
	draining         map[string]bool // incarnations that are draining; never reset
	downUntil        time.Time
	lastReported     time.Time // when this host last received a report itself
	lastSeen         time.Time // when this host last received a report or an answer
	inFlight         int
	sinceLoad        deltas // own dispatches and completions since loadAt
	peerDispatched   int    // see SetPeerDispatched
	ready            map[route.ModelKey]bool
	prefixes         map[uint64]bool
	stepMs           float64   // mean time of one decoding step, as measured on streams
	stepAt           time.Time // when stepMs was last updated
	meanAnswerTokens float64   // mean length of the answers
	prefillMs        float64   // mean time to the first token when no queue was expected
}

// New returns an empty view for a host in the given data centre. distance returns
// the round-trip time between two data centres in milliseconds; nil means 0.
func New(dataCentre string, now func() time.Time, distance func(from, to string) float64) *View {
	if distance == nil {
		distance = func(string, string) float64 { return 0 }
	}
	v := &View{dataCentre: dataCentre, now: now, states: map[string]*upstreamState{}, distance: distance}
	v.markTopologyChanged()
	return v
}

// Configure replaces the set of upstreams by that of a configuration. It keeps the
// state of each upstream that remains at its address.
func (v *View) Configure(x *config.Index) {
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
		s.cfg = u
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

// ApplyReport applies an upstream's own report, received at the given time. It
// returns false and drops the report if the upstream is not configured, or if a
// report of the same incarnation with this sequence number or a later one was
// applied before.
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
	s.updateClockOffset(r.TakenMs, at)
	taken := at
	if s.hasClockOffset {
		taken = time.UnixMilli(r.TakenMs).Add(s.clockOffset)
	}
	changed := !same || s.ready == nil || !sameResidents(s.report.Residents, r.Residents) || r.Draining != s.report.Draining
	s.report = r
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

// updateClockOffset keeps the smallest observed difference between this host's clock and
// the upstream's, which is the one with the least lag in it. Reports alone are not
// enough, since all of them may be late by the same time; the time stamps on answers
// lag only by the transit time of the answer.
func (s *upstreamState) updateClockOffset(takenMs int64, at time.Time) {
	off := at.Sub(time.UnixMilli(takenMs))
	if !s.hasClockOffset || off < s.clockOffset {
		s.clockOffset, s.hasClockOffset = off, true
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

// readyModels returns the models that can answer requests: ready base models, and
// ready adapters whose base model is ready too.
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

// AttemptStarted counts an attempt sent to an upstream; AttemptFinished undoes it.
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

// ObserveAnswer applies the incarnation and the load stated in the head of an answer.
// The load is ignored if it is malformed or of an incarnation other than the known one.
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
	s.updateClockOffset(l.takenMs, now)
	s.running, s.waiting, s.loadAt = l.running, l.waiting, now
	s.sinceLoad.dropUntil(now)
	v.dirty.Store(true)
}

// MarkDraining marks an incarnation of an upstream as draining, permanently. An empty
// incarnation means the one currently known. It reports whether the mark is new.
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

// MarkDown excludes an upstream that could not be reached from new requests for
// downDuration.
func (v *View) MarkDown(upstream string) {
	if s := v.lockState(upstream); s != nil {
		s.downUntil = v.now().Add(downDuration)
		s.mu.Unlock()
		v.markTopologyChanged()
	}
}

// MarkNotReady records that a model is not resident at an upstream, which refused a
// request for it. The upstream's next report of changed residents replaces the mark.
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

// ObserveCacheEvent applies a cache event, which is a hint only: events may be lost.
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

// SetPeerDispatched sets how many attempts the peers together have in flight at an
// upstream beyond those that its report includes.
func (v *View) SetPeerDispatched(upstream string, attempts int) {
	if s := v.lockState(upstream); s != nil {
		s.peerDispatched = attempts
		s.mu.Unlock()
		v.dirty.Store(true)
	}
}

// Incarnation returns the known incarnation of an upstream; "" if none is known.
func (v *View) Incarnation(upstream string) string {
	s := v.lockState(upstream)
	if s == nil {
		return ""
	}
	defer s.mu.Unlock()
	return s.report.Incarnation
}
