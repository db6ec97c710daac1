package poison

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Crash is the crash of an upstream, as another ledger adopts it.
type Crash struct {
	Upstream string
	At       time.Time
	Ran      []Fingerprint // suspects that ran there
}

// minCommonCrashes is the number of crashes from which a suspect is worth keeping for another
// ledger: one crash names dozens of suspects, most of which an answer clears.
const minCommonCrashes = 2

// CommonCrashes returns what another ledger needs to go on with the suspects that several
// crashes have in common; nil: there are none. It returns the latest crashes, the earliest
// first, with at most maxSuspects of these suspects: those of the most crashes. Suspects of
// as many crashes as one that is left out are left out, too: without it they would seem to
// be alone. Crashes in which none of them ran are included, since a mass failure is known by
// all its crashes.
func (l *Ledger) CommonCrashes(maxCrashes, maxSuspects int) []Crash {
	latest := l.latestCrashes(maxCrashes)
	common := withoutCut(l.commonSuspects(maxSuspects), latest)
	if len(common) == 0 {
		return nil
	}
	out := make([]Crash, len(latest))
	for i, c := range latest {
		out[i] = Crash{Upstream: c.upstream, At: c.at}
		for _, e := range common {
			if e.crashes[c] {
				out[i].Ran = append(out[i].Ran, e.Fingerprint)
			}
		}
	}
	return out
}

// latestCrashes returns the latest crashes, the earliest first.
func (l *Ledger) latestCrashes(limit int) []*crash {
	out := slices.SortedFunc(l.allCrashes(), func(a, b *crash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.upstream, b.upstream)) })
	return out[max(len(out)-limit, 0):]
}

// withoutCut leaves out the suspects that would seem to be alone, since others of as many
// crashes have too few of those that are left.
func withoutCut(common []*entry, crashes []*crash) []*entry {
	left := func(e *entry) (n int) {
		for _, c := range crashes {
			if e.crashes[c] {
				n++
			}
		}
		return n
	}
	tooFew := 0
	for _, e := range common {
		if left(e) < minCommonCrashes {
			tooFew = max(tooFew, len(e.crashes))
		}
	}
	return slices.DeleteFunc(common, func(e *entry) bool { return left(e) >= minCommonCrashes && left(e) <= tooFew })
}

// commonSuspects returns the suspects of CommonCrashes in a fixed order.
func (l *Ledger) commonSuspects(limit int) []*entry {
	common := slices.Collect(maps.Values(l.entries))
	common = slices.DeleteFunc(common, func(e *entry) bool { return e.State == Cleared || len(e.crashes) < minCommonCrashes })
	if len(common) > limit {
		slices.SortFunc(common, func(a, b *entry) int { return cmp.Compare(len(b.crashes), len(a.crashes)) })
		tooFew := len(common[limit].crashes)
		common = slices.DeleteFunc(common, func(e *entry) bool { return len(e.crashes) <= tooFew })
	}
	slices.SortFunc(common, func(a, b *entry) int { return bytes.Compare(a.Digest[:], b.Digest[:]) })
	return common
}

// AdoptCrashes records crashes that another ledger knew. What they speak against is judged
// only after the time that reports and answers take: a suspect may have been answered since
// the other ledger was kept, or may be answered now.
func (l *Ledger) AdoptCrashes(all []Crash, now time.Time) {
	l.expire(now)
	for _, x := range all {
		if x.At.After(now) { // the other host's clock differs
			x.At = now
		}
		if now.Sub(x.At) > l.policy.CrashRetention {
			continue
		}
		l.adoptCrash(&x, now)
	}
}

func (l *Ledger) adoptCrash(x *Crash, now time.Time) {
	c := l.crash(x.Upstream, x.At)
	for _, f := range x.Ran {
		if c.ran[f.Digest] || len(c.ran) >= maxSuspectsPerCrash || l.isReleasedSince(f.Digest, x.At) {
			continue
		}
		if l.addCrash(f, c, x.At, now) {
			c.ran[f.Digest] = true
			l.entries[f.Digest].adopt(c, now)
		}
	}
}

// isReleasedSince reports whether a suspect was cleared at a time or later.
func (l *Ledger) isReleasedSince(d Digest, at time.Time) bool {
	e := l.entries[d]
	return e != nil && !e.releasedAt.Before(at)
}

// adopt notes that a crash is known from another ledger, and since when.
func (e *entry) adopt(c *crash, now time.Time) {
	if e.adopted == nil {
		e.adopted = map[*crash]time.Time{}
	}
	e.adopted[c] = now
}

// confirm notes that a host reports a crash itself. Then hosts that had the suspect under
// way are there, and have answered it or not.
func (e *entry) confirm(c *crash) { delete(e.adopted, c) }

// isAdoptedFor reports whether the crashes that e has from another ledger only have been
// known for some time; true if there are none.
func (e *entry) isAdoptedFor(d time.Duration, now time.Time) bool {
	for _, at := range e.adopted {
		if now.Sub(at) < d {
			return false
		}
	}
	return true
}
