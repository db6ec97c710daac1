package poison

import "time"

// PartAccount is what a Ledger holds against a suspected part, for logs.
type PartAccount struct {
	Fingerprint
	Crashes     int  // of upstreams on which it ran; those at about the same time count once
	Unexplained int  // those of them that no bar explains
	Needed      int  // number of these that bars it
	Settled     bool // it has gone without an answer for long enough
}

// UnbarredParts returns the accounts of those of the given parts that are suspected of enough
// crashes for a bar, and not barred.
func (l *Ledger) UnbarredParts(parts []Digest, now time.Time) []PartAccount {
	var out []PartAccount
	for _, d := range parts {
		e := l.entries[d]
		if e == nil || e.State != Suspected || len(e.crashes) < l.policy.MinBlindPartCrashes {
			continue
		}
		counts := l.countsFor(e, now)
		times := l.crashTimes(e, counts)
		a := PartAccount{Fingerprint: e.Fingerprint, Crashes: len(times), Settled: l.isSettled(e, times, now), Needed: l.policy.MinBlindPartCrashes}
		a.Unexplained = len(l.crashTimes(e, func(c *crash) bool { return counts(c) && !l.explainedByBar(c, e) }))
		if a.Settled {
			a.Needed = l.neededPartCrashes(e, times)
		}
		out = append(out, a)
	}
	return out
}
