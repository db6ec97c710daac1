package poison

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// strongestPart returns the part of prompts with the most evidence against it, if it is
// enough to bar it; nil: there is none. Of several, the one is returned that the fewest
// requests have.
func (l *Ledger) strongestPart(now time.Time) *entry {
	settled := l.settledParts(now)
	var strongest *entry
	most := 0
	for e := range settled {
		n := l.partEvidence(e, settled, now)
		if n < fullWeight*l.neededPartCrashes(e, settled[e]) {
			continue
		}
		if strongest == nil || n > most || n == most && e.isNarrower(strongest) {
			strongest, most = e, n
		}
	}
	return strongest
}

// isNarrower reports whether fewer requests have a part than another one. Parts at the same
// place are in a fixed order.
func (e *entry) isNarrower(o *entry) bool {
	return cmp.Or(cmp.Compare(e.Place, o.Place), bytes.Compare(e.Digest[:], o.Digest[:])) > 0
}

// settledParts returns the suspected parts that have gone without an answer for long
// enough to be barred, with the times of their crashes. It notes when the next one will have.
func (l *Ledger) settledParts(now time.Time) map[*entry][]time.Time {
	var settled map[*entry][]time.Time
	l.settlesAt = time.Time{}
	for _, e := range l.entries {
		if !e.IsPart() || e.State != Suspected || len(e.crashes) < l.settlesFrom(e) {
			continue
		}
		times := l.crashTimes(e, l.countsFor(e, now))
		if !l.isSettled(e, times, now) {
			l.noteSettles(e, times)
			continue
		}
		if settled == nil {
			settled = map[*entry][]time.Time{}
		}
		settled[e] = times
	}
	return settled
}

// noteSettles notes when a part settles, given the times of its crashes.
func (l *Ledger) noteSettles(e *entry, times []time.Time) {
	from := l.settlesFrom(e)
	if len(times) < from {
		return
	}
	if at := times[from-1].Add(l.settleTime(e)); l.settlesAt.IsZero() || at.Before(l.settlesAt) {
		l.settlesAt = at
	}
}

// crashTimes returns when the upstreams crashed on which a suspect ran, the earliest first.
// Crashes at about the same time may have another cause in common, and count as one; a series
// of them, which a request that is sent again and again makes, does not.
func (l *Ledger) crashTimes(e *entry, counts func(c *crash) bool) []time.Time {
	var all []time.Time
	for c := range e.crashes {
		if counts(c) {
			all = append(all, c.at)
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	apart := all[:0]
	for _, at := range all {
		if len(apart) == 0 || at.Sub(apart[len(apart)-1]) > l.policy.MassWindow {
			apart = append(apart, at)
		}
	}
	return apart
}

// countCrashes returns how many of a suspect's crashes count. One that a barred request explains
// has no other cause, and counts by itself, however soon the next one follows.
func (l *Ledger) countCrashes(e *entry, counts func(c *crash) bool) int {
	explained := 0
	others := l.crashTimes(e, func(c *crash) bool {
		if counts(c) && l.explainedByRequest(c) {
			explained++
			return false
		}
		return counts(c)
	})
	return explained + len(others)
}

func everyCrash(*crash) bool { return true }

// countsFor returns which crashes count against a part now. Those that are known from another
// ledger only do not, until the part has gone without an answer since then.
func (l *Ledger) countsFor(e *entry, now time.Time) func(c *crash) bool {
	settleTime := l.settleTime(e)
	return func(c *crash) bool {
		at, adopted := e.adopted[c]
		return !adopted || now.Sub(at) >= settleTime
	}
}

// settleTime returns for how long a part must have gone without an answer.
func (l *Ledger) settleTime(e *entry) time.Duration {
	if e.Place == firstPlace && len(l.crashTimes(e, everyCrash)) < manyCrashes*l.policy.MinBlindPartCrashes {
		return l.policy.FirstPartSettleTime
	}
	return l.policy.PartSettleTime
}

// settlesFrom returns the number of the crash after which a part has to go without an
// answer: the second, or the first one after an earlier bar.
func (l *Ledger) settlesFrom(e *entry) int {
	if e.BarCount > 0 {
		return probationCrashes
	}
	return l.policy.MinSoleCrashes
}

// isSettled reports whether the part has not been answered for long enough since one of its
// crashes, given their times.
func (l *Ledger) isSettled(e *entry, times []time.Time, now time.Time) bool {
	from := l.settlesFrom(e)
	return len(times) >= from && now.Sub(times[from-1]) >= l.settleTime(e)
}

const (
	// firstPlace is the place of the first part of a prompt.
	firstPlace = 1
	// manyCrashes is the multiple of MinBlindPartCrashes from which a first part is barred as
	// soon as others: so many mean a flood of requests with it.
	manyCrashes = 2
)

// partEvidence returns the evidence of the crashes against a part, in halves of a crash. One
// that a barred part explains does not count. So many that chance does not explain them
// count fully, unless one barred request explains all of them: several requests that crash
// upstreams are explained best by what they have in common. Of fewer, one that a barred
// request, or a settled part of fewer requests, may explain does not count, and one that
// another settled part may explain counts half.
func (l *Ledger) partEvidence(e *entry, settled map[*entry][]time.Time, now time.Time) int {
	counts := l.countsFor(e, now)
	own := func(c *crash) bool { return counts(c) && !l.explainedByPart(c, e, 0) }
	if all := l.countCrashes(e, own); all >= l.policy.MinBlindPartCrashes && !l.explainedByOneRequest(e, own) {
		return fullWeight * all
	}
	unexplained := func(c *crash) bool { return counts(c) && !l.explainedByBar(c, e) }
	ambiguous := func(c *crash, onlyLater bool) bool {
		for d := range c.ran {
			if o := l.entries[d]; o != e && settled[o] != nil && (!onlyLater || o.Place > e.Place) {
				return true
			}
		}
		return false
	}
	counted := len(l.crashTimes(e, func(c *crash) bool { return unexplained(c) && !ambiguous(c, true) }))
	certain := len(l.crashTimes(e, func(c *crash) bool { return unexplained(c) && !ambiguous(c, false) }))
	return fullWeight*certain + explainedWeight*(counted-certain)
}

// neededPartCrashes returns how many unexplained crashes it takes to bar a part, given the
// times of all its crashes.
func (l *Ledger) neededPartCrashes(e *entry, times []time.Time) int {
	switch {
	case e.BarCount > 0:
		return probationCrashes
	case l.othersAnswered(e, times):
		return l.policy.MinPartCrashes
	default:
		return l.policy.MinBlindPartCrashes
	}
}

// othersAnswered reports whether a suspect that shared a crash with a part has been
// answered since the part's second crash: that the part has not says something then.
func (l *Ledger) othersAnswered(e *entry, times []time.Time) bool {
	second := times[l.settlesFrom(e)-1]
	for c := range e.crashes {
		if c.answeredAt.After(second) {
			return true
		}
	}
	return false
}

// liftExplainedParts ends the bars of parts all of whose crashes other barred suspects of as
// few requests, or fewer, explain: those of the most requests, with the least evidence, first.
func (l *Ledger) liftExplainedParts(now time.Time) {
	var barred []*entry
	for _, e := range l.entries {
		if e.IsPart() && e.State == Barred && len(e.crashes) >= l.policy.MinPartCrashes { // with fewer, for example after Adopt, the ledger does not know all of them
			barred = append(barred, e)
		}
	}
	slices.SortFunc(barred, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.Place, b.Place), cmp.Compare(len(a.crashes), len(b.crashes)), bytes.Compare(a.Digest[:], b.Digest[:]))
	})
	for _, e := range barred {
		if l.explainedByNarrowerBars(e) {
			l.lift(e, now)
		}
	}
}

// explainedByNarrowerBars reports whether in each of a part's crashes another barred part ran
// that comes no earlier, or one and the same barred request in those in which none did.
func (l *Ledger) explainedByNarrowerBars(e *entry) bool {
	return l.explainedByOneRequest(e, func(c *crash) bool { return !l.explainedByPart(c, e, e.Place) })
}

// explainedByPart reports whether another barred part ran in a crash, at this place of its
// prompt or a later one.
func (l *Ledger) explainedByPart(c *crash, e *entry, place uint8) bool {
	for d := range c.ran {
		if o := l.entries[d]; o != e && o.IsPart() && o.State == Barred && o.Place >= place {
			return true
		}
	}
	return false
}

// explainedByRequest reports whether a barred request ran in a crash.
func (l *Ledger) explainedByRequest(c *crash) bool {
	for d := range c.ran {
		if o := l.entries[d]; !o.IsPart() && o.State == Barred {
			return true
		}
	}
	return false
}

// explainedByOneRequest reports whether one barred request ran in all those of a part's crashes
// that count; true if there are none.
func (l *Ledger) explainedByOneRequest(e *entry, counts func(c *crash) bool) bool {
	all, ran := 0, map[Digest]int{}
	for c := range e.crashes {
		if !counts(c) {
			continue
		}
		all++
		for d := range c.ran {
			if o := l.entries[d]; !o.IsPart() && o.State == Barred {
				ran[d]++
			}
		}
	}
	for _, n := range ran {
		if n == all {
			return true
		}
	}
	return all == 0
}
