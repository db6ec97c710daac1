package view

import (
	"time"

	"peridotpier.example/core/route"
	"peridotpier.example/node/upstream/engineapi"
)

// disconnectedAfter is how long an upstream must not have been heard of before it
// counts as lost: several reports, so that one lost does not move models.
const disconnectedAfter = 10 * time.Second

// ownReportPrecedence is how long a report that this host read itself goes before what
// peers say of the same process.
const ownReportPrecedence = 5 * time.Second

// ReceivedReport is the newest report of an upstream that this host read itself.
type ReceivedReport struct {
	Report       engineapi.Report
	Read         time.Time
	Disconnected bool // not heard of for lostAfter
}

// Reports returns the newest reports of a pool's upstreams.
func (v *View) Reports(pool string) []ReceivedReport {
	now := v.now()
	v.mu.RLock()
	defer v.mu.RUnlock()
	var out []ReceivedReport
	for _, name := range v.names {
		s := v.states[name]
		s.mu.Lock()
		if s.cfg.Pool == pool && !s.lastReported.IsZero() {
			out = append(out, ReceivedReport{Report: s.report, Read: s.lastReported, Disconnected: now.Sub(s.lastSeen) > disconnectedAfter})
		}
		s.mu.Unlock()
	}
	return out
}

// ApplyPeerReport takes what peers say of an upstream's newest process.
func (v *View) ApplyPeerReport(upstream, incarnation string, leaving bool, ready map[route.ModelKey]bool) {
	s := v.lockState(upstream)
	if s == nil {
		return
	}
	defer s.mu.Unlock()
	if leaving {
		s.draining[incarnation] = true
	}
	own := s.report.Incarnation == incarnation && v.now().Sub(s.lastReported) < ownReportPrecedence
	if !own {
		if s.report.Incarnation != incarnation {
			s.resetForIncarnation(engineapi.Report{Upstream: upstream, Incarnation: incarnation})
		}
		s.ready = ready
	}
	v.markTopologyChanged()
}

// MarkRestarted takes an upstream's own word, on an attempt meant for its process
// from, that the process to runs there now. It counts only while from is the
// process known: a refusal that arrives late must not bring an older one back.
func (v *View) MarkRestarted(upstream, from, to string) {
	s := v.lockState(upstream)
	if s == nil {
		return
	}
	defer s.mu.Unlock()
	if to == "" || s.report.Incarnation != from {
		return
	}
	s.resetForIncarnation(engineapi.Report{Upstream: upstream, Incarnation: to})
	s.ready = map[route.ModelKey]bool{} // its memory is empty until it reports
	v.markTopologyChanged()
}

// resetForIncarnation forgets what held for a former process.
func (s *upstreamState) resetForIncarnation(r engineapi.Report) {
	s.report = r
	s.offsetSet, s.loadAt, s.lastReported = false, time.Time{}, time.Time{}
	s.running, s.waiting = 0, 0
	s.prefixes = map[uint64]bool{}
	s.inFlight, s.sinceLoad = 0, s.sinceLoad[:0]
	s.stepMs, s.stepAt, s.prefillMs = 0, time.Time{}, 0
}
