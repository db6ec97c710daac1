package link

import (
	"time"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
	local "peridotpier.example/node/quarantine"
)

// Quarantine is a host's part in finding requests that crash upstreams.
type Quarantine interface {
	// NextReport returns what the acting coordinator at an address has not received
	// yet; Acknowledge applies its answer.
	NextReport(holder string) local.Report
	Acknowledge(sent local.Report, u local.Update)
}

// reportQuarantine adds to a report what the coordinator has not received yet.
func reportQuarantine(r *coordpb.HostReport, next local.Report, now time.Time) {
	r.QuarantineRevision, r.QuarantineId = next.Revision, next.ID
	for i := range next.Barred {
		r.Barred = append(r.Barred, wire.EncodeEntry(&next.Barred[i], now))
	}
	for _, e := range next.Events {
		switch {
		case e.Crash != nil:
			r.Crashes = append(r.Crashes, encodeCrash(e.Crash, now))
		case e.Completed != nil:
			r.Completed = append(r.Completed, e.Completed[:])
			r.CompletedAgesMs = append(r.CompletedAgesMs, wire.AgeMs(now.Sub(e.At)))
		case e.Answered != nil:
			r.Answered = append(r.Answered, e.Answered[:])
		case e.Released != nil:
			r.Released = append(r.Released, e.Released[:])
		}
	}
}

func encodeCrash(x *local.Crash, now time.Time) *coordpb.UpstreamCrash {
	out := &coordpb.UpstreamCrash{Upstream: x.Upstream, AgeMs: wire.AgeMs(now.Sub(x.At))}
	for _, m := range x.Running {
		if !m.IsPart() {
			out.Running = append(out.Running, wire.EncodeFingerprint(m))
		}
	}
	out.Parts = wire.EncodeParts(x.Running)
	return out
}

// decodeUpdate decodes the quarantine entries of an answer.
func decodeUpdate(s *coordpb.SiteState, now time.Time) local.Update {
	a := local.Update{ID: s.QuarantineId, Revision: s.QuarantineRevision}
	for _, x := range s.Quarantine {
		if entry, err := wire.DecodeEntry(x, now); err == nil {
			a.Changed = append(a.Changed, entry)
		}
	}
	for _, f := range wire.DecodeParts(s.SuspectedParts) {
		a.Changed = append(a.Changed, poison.Entry{Fingerprint: f, State: poison.Suspected, CrashCount: 1})
	}
	return a
}

// noQuarantine is a Quarantine that watches nothing.
type noQuarantine struct{}

func (noQuarantine) NextReport(string) local.Report         { return local.Report{} }
func (noQuarantine) Acknowledge(local.Report, local.Update) {}
