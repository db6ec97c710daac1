// Package quarantine decides for all hosts, while its host is the acting coordinator,
// which requests crash the upstreams that run them, and keeps what is barred in the
// platform's store. The part of every host is in node/quarantine.
//
// The ledger grows with the requests that ran when upstreams crashed, and an answer with
// the entries that changed; neither grows with the hosts, upstreams or models.
//
// The mutex of a Ledger guards its decisions and what is known of the rows. It is held
// while nothing is awaited, and no other lock of the coordinator is taken under it.
package quarantine

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/store"
)

// maxEntries is how many entries one answer contains; the remainder follows with the
// next answers. It bounds an answer's growth to 10 kB.
const maxEntries = 256

// Deps are the dependencies of a Ledger.
type Deps struct {
	Lease *lease.Lease
	Table store.Table // keeps what is barred
	Log   *event.Log
	Now   func() time.Time
}

// Ledger finds out for all hosts which requests crash upstreams, while this host is
// acting.
type Ledger struct {
	deps Deps

	mu     sync.Mutex
	id     uint64 // identifies the ledger; never 0
	ledger *poison.Ledger
	rows   rows
}

// New returns a Ledger that knows nothing yet.
func New(d Deps) *Ledger {
	q := &Ledger{deps: d}
	q.resetLocked()
	return q
}

// Reset drops what an earlier term left. All hosts report what they know.
func (q *Ledger) Reset() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.resetLocked()
}

func (q *Ledger) resetLocked() {
	q.id, q.ledger, q.rows = rand.Uint64()|1, poison.NewLedger(poison.SharedPolicy()), rows{}
}

// Receive enters a host's report.
func (q *Ledger) Receive(r *coordpb.HostReport, now time.Time) {
	if len(r.Crashes)+len(r.Completed)+len(r.Answered)+len(r.Released)+len(r.Barred) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, x := range r.Barred {
		if e, err := wire.DecodeEntry(x, now); err == nil {
			q.ledger.Adopt(e, now)
		}
	}
	if !r.Partitioned { // its network path may have refused the connections
		for _, x := range r.Crashes {
			q.enterCrashLocked(r.Host, x, now)
		}
	}
	for i, x := range r.Completed {
		if d, err := poison.DigestFromBytes(x); err == nil {
			q.ledger.Clear(d, completedAt(r, i, now), now)
		}
	}
	for _, x := range r.Answered {
		if d, err := poison.DigestFromBytes(x); err == nil {
			q.ledger.RecordAnsweredBefore(d, now)
		}
	}
	for _, x := range r.Released {
		if d, err := poison.DigestFromBytes(x); err == nil {
			q.ledger.Release(d, now)
		}
	}
	q.logDecisionsLocked(r.Host, now)
}

// completedAt returns when the i-th suspect that a report says was answered was answered. A
// host of an earlier release does not say.
func completedAt(r *coordpb.HostReport, i int, now time.Time) time.Time {
	if i >= len(r.CompletedAgesMs) {
		return now
	}
	return now.Add(-wire.Milliseconds(r.CompletedAgesMs[i]))
}

func (q *Ledger) enterCrashLocked(host string, x *coordpb.UpstreamCrash, now time.Time) {
	ran := make([]poison.Fingerprint, 0, len(x.Running))
	for _, m := range x.Running {
		if fp, err := wire.DecodeFingerprint(m); err == nil {
			ran = append(ran, fp)
		}
	}
	ran = append(ran, wire.DecodeParts(x.Parts)...)
	requests, parts := poison.DigestsOf(ran)
	counted := q.ledger.RecordCrash(x.Upstream, ran, now.Add(-wire.Milliseconds(x.AgeMs)), now)
	q.deps.Log.Emit(event.CrashReported, zap.String("host", host), zap.String(event.FieldPeer, x.Upstream),
		zap.Uint32("age_ms", x.AgeMs), zap.Stringers("under_way", requests), zap.Stringers("parts", parts), zap.Int("counted", counted))
	for _, a := range q.ledger.UnbarredParts(parts, now) {
		q.deps.Log.Emit(event.PartNotBarred, zap.Stringer("content", a.Digest), zap.Uint8("place", a.Place), zap.Int("crashes", a.Crashes),
			zap.Int("unexplained", a.Unexplained), zap.Int("needed", a.Needed), zap.Bool("settled", a.Settled))
	}
}

// logDecisionsLocked logs the bars that began and ended.
func (q *Ledger) logDecisionsLocked(host string, now time.Time) {
	for _, d := range q.ledger.TakeTransitions() {
		fields := []zap.Field{zap.Stringer("content", d.Digest), zap.Uint8("place", d.Place), zap.Stringer("cause", d.Cause), zap.String("host", host),
			zap.Int("crashes", d.CrashCount), zap.Strings("upstreams", d.Upstreams), zap.Int("bars", d.BarCount)}
		if d.State == poison.Barred {
			q.deps.Log.Emit(event.RequestBarred, append(fields, zap.Int64("for_ms", d.BarredUntil.Sub(now).Milliseconds()))...)
			continue
		}
		q.deps.Log.Emit(event.BarEnded, fields...)
	}
}

// AddTo adds the entries that the host does not have yet to an answer.
func (q *Ledger) AddTo(r *coordpb.HostReport, out *coordpb.SiteState, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	from := r.QuarantineRevision
	if r.QuarantineId != q.id {
		from = 0
	}
	changed, to := q.ledger.ChangedSince(from, maxEntries, now)
	out.QuarantineId, out.QuarantineRevision = q.id, to
	var minor []poison.Fingerprint
	for i := range changed {
		if isMinor(&changed[i]) {
			minor = append(minor, changed[i].Fingerprint)
			continue
		}
		out.Quarantine = append(out.Quarantine, wire.EncodeEntry(&changed[i], now))
	}
	out.SuspectedParts = wire.EncodeParts(minor)
	q.logDecisionsLocked("", now)
}

// isMinor reports whether an entry is a part that ran at one upstream that crashed. Most are,
// and take less room in an answer.
func isMinor(e *poison.Entry) bool {
	return e.IsPart() && e.State == poison.Suspected && e.CrashCount == 1 && e.BarCount == 0
}
