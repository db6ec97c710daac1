package view

import (
	"time"

	"peridotpier.example/core/route"
	"peridotpier.example/node/upstream/engineapi"
)

// disconnectedAfter is the time since an upstream was last seen after which it counts
// as disconnected: several report intervals, so that one lost report does not cause
// models to be moved.
const disconnectedAfter = 10 * time.Second

// ownReportPrecedence is how long a report that this host received itself takes
// precedence over peers' reports of the same incarnation.
const ownReportPrecedence = 5 * time.Second

// ReceivedReport is the newest report that this host received from an upstream itself.
type ReceivedReport struct {
	Report       engineapi.Report
	Read         time.Time // when it was received
	Disconnected bool      // the upstream was not seen for disconnectedAfter
}

// Reports returns the newest report of each upstream of a pool that has reported to
// this host in its current incarnation.
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

// ApplyPeerReport applies what peers report of an upstream's newest incarnation: that
// it is draining, and the models that are ready there. The models are ignored while
// this host's own report takes precedence, see ownReportPrecedence.
func (v *View) ApplyPeerReport(upstream, incarnation string, draining bool, ready map[route.ModelKey]bool) {
	s := v.lockState(upstream)
	if s == nil {
		return
	}
	defer s.mu.Unlock()
	if draining {
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

// MarkRestarted records that an upstream refused an attempt meant for its incarnation
// from, because it now runs as the incarnation to. It applies only while from is the
// known incarnation: a late refusal must not restore an older one.
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
	s.ready = map[route.ModelKey]bool{} // nothing counts as resident until it reports
	v.markTopologyChanged()
}

// resetForIncarnation sets the report of a new incarnation and discards what was known
// of the former one.
func (s *upstreamState) resetForIncarnation(r engineapi.Report) {
	s.report = r
	s.hasClockOffset, s.loadAt, s.lastReported = false, time.Time{}, time.Time{}
	s.running, s.waiting = 0, 0
	s.prefixes = map[uint64]bool{}
	s.inFlight, s.sinceLoad = 0, s.sinceLoad[:0]
	s.stepMs, s.stepAt, s.prefillMs = 0, time.Time{}, 0
}
