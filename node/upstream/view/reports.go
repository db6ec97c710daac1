package view

import (
	"time"

	"peridotpier.example/core/route"
	"peridotpier.example/node/upstream/engineapi"
)

// lostAfter is how long an upstream must not have been heard of before it
// counts as lost: several reports, so that one lost does not move models.
const lostAfter = 10 * time.Second

// ownFor is how long a report that this host read itself goes before what
// peers say of the same process.
const ownFor = 5 * time.Second

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
	for _, name := range v.order {
		s := v.state[name]
		s.mu.Lock()
		if s.cfg.Pool == pool && !s.readAt.IsZero() {
			out = append(out, ReceivedReport{Report: s.report, Read: s.readAt, Disconnected: now.Sub(s.heardAt) > lostAfter})
		}
		s.mu.Unlock()
	}
	return out
}

// ApplyPeerReport takes what peers say of an upstream's newest process.
func (v *View) ApplyPeerReport(upstream, incarnation string, leaving bool, ready map[route.ModelKey]bool) {
	s := v.of(upstream)
	if s == nil {
		return
	}
	defer s.mu.Unlock()
	if leaving {
		s.leaving[incarnation] = true
	}
	own := s.report.Incarnation == incarnation && v.now().Sub(s.readAt) < ownFor
	if !own {
		if s.report.Incarnation != incarnation {
			s.restarted(engineapi.Report{Upstream: upstream, Incarnation: incarnation})
		}
		s.ready = ready
	}
	v.changed()
}

// MarkRestarted takes an upstream's own word, on an attempt meant for its process
// from, that the process to runs there now. It counts only while from is the
// process known: a refusal that arrives late must not bring an older one back.
func (v *View) MarkRestarted(upstream, from, to string) {
	s := v.of(upstream)
	if s == nil {
		return
	}
	defer s.mu.Unlock()
	if to == "" || s.report.Incarnation != from {
		return
	}
	s.restarted(engineapi.Report{Upstream: upstream, Incarnation: to})
	s.ready = map[route.ModelKey]bool{} // its memory is empty until it reports
	v.changed()
}

// restarted forgets what held for a former process.
func (s *state) restarted(r engineapi.Report) {
	s.report = r
	s.offsetSet, s.loadAt, s.readAt = false, time.Time{}, time.Time{}
	s.running, s.waiting = 0, 0
	s.prefixes = map[uint64]bool{}
	s.inFlight, s.recent = 0, s.recent[:0]
	s.stepMs, s.stepAt, s.prefillMs = 0, time.Time{}, 0
}
