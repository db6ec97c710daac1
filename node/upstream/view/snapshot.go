package view

import (
	"time"

	"peridotpier.example/core/route"
)

// Snapshot returns the current snapshot for routing, which callers must not modify.
// It is rebuilt when the view has changed and the last snapshot is old enough for
// its size, so that the cost for each request stays small with many upstreams.
func (v *View) Snapshot() *route.Snapshot {
	old := v.snap.Load()
	if old != nil && !v.dirty.Load() {
		return old
	}
	if !v.rebuildMu.TryLock() {
		if old != nil {
			return old
		}
		v.rebuildMu.Lock()
	}
	defer v.rebuildMu.Unlock()
	now := v.now()
	if old != nil && !v.topologyChanged.Load() && now.Sub(old.Taken) < time.Duration(len(old.Endpoints))*rebuildIntervalPerEndpoint {
		return old
	}
	v.dirty.Store(false)
	s := v.build(now, old, v.topologyChanged.Swap(false))
	v.snap.Store(s)
	return s
}

// build copies the states into a new snapshot. It reuses the indexes of old unless
// topologyChanged is set: residents, states or the set of upstreams changed.
func (v *View) build(now time.Time, old *route.Snapshot, topologyChanged bool) *route.Snapshot {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s := &route.Snapshot{Taken: now, Endpoints: make([]route.Endpoint, len(v.names))}
	for i, name := range v.names {
		st := v.states[name]
		st.mu.Lock()
		st.fill(&s.Endpoints[i], now)
		st.mu.Unlock()
		s.Endpoints[i].DistanceMs = v.distance(v.dataCentre, s.Endpoints[i].DataCentre)
	}
	if !topologyChanged && old != nil && len(old.Endpoints) == len(s.Endpoints) {
		s.ByModel, s.ByPool = old.ByModel, old.ByPool
		return s
	}
	s.ByModel, s.ByPool = map[route.ModelKey][]int32{}, map[string][]int32{}
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		s.ByPool[e.Pool] = append(s.ByPool[e.Pool], int32(i))
		for k := range e.Ready {
			s.ByModel[k] = append(s.ByModel[k], int32(i))
		}
	}
	return s
}

func (s *upstreamState) fill(e *route.Endpoint, now time.Time) {
	*e = route.Endpoint{
		Upstream: s.cfg.Name, Address: s.cfg.Address, Pool: s.cfg.Pool, DataCentre: s.cfg.DataCentre,
		Incarnation: s.report.Incarnation, Draining: s.draining[s.report.Incarnation], Down: now.Before(s.downUntil),
		MaxBatch: s.cfg.MaxBatch, Accelerators: s.cfg.Accelerators, Ready: s.ready,
		Running: s.running, Waiting: s.waiting, PeerDispatchedSinceReport: s.peerDispatched,
		InFlight: s.inFlight, PrefillMs: s.prefillMs, MeanAnswerTokens: s.meanAnswerTokens, Prefixes: s.prefixes,
	}
	e.DispatchedSinceReport, e.CompletedSinceReport = s.sinceLoad.count()
	if now.Sub(s.stepAt) < stepTimeValidity {
		e.RecentStepMs = s.stepMs
	}
	if !s.loadAt.IsZero() {
		e.ReportAge = now.Sub(s.loadAt)
	}
}
