package poison

import "time"

// Policy sets how many crashes lead to a bar, and how long bars and crashes last.
type Policy struct {
	// MinSoleCrashes is the number of crashes after which a request is barred if it is the
	// only one that all these crashes have in common. MinCrashes is the number for a
	// request that is not the only one.
	MinSoleCrashes, MinCrashes int
	// SoleSettleTime is how long after its last crash a request is barred for fewer than
	// MinCrashes, if several hosts report to the ledger: by then the others have reported
	// what they had running there.
	SoleSettleTime time.Duration
	// MassWindow is the time within which MinMassCrashes or more crashes have a cause other
	// than a request, such as the loss of a rack, unless most of these upstreams ran it.
	MassWindow     time.Duration
	MinMassCrashes int
	// MinPartCrashes is the number of crashes after which a part of prompts is barred, if
	// other suspects have been answered meanwhile, and MinBlindPartCrashes the number if
	// none has: then nothing may be answered because of a wider failure.
	MinPartCrashes, MinBlindPartCrashes int
	// PartSettleTime is how long a part must have gone without an answer after its second
	// crash until it is barred. In this time hosts hear of the suspicion, requests with the
	// part are answered if it is harmless, and that is reported. FirstPartSettleTime is the
	// same for the first part of prompts, which a whole route may need.
	PartSettleTime, FirstPartSettleTime time.Duration
	// MinRestart is the shortest time between two crashes of an upstream that is back under its
	// id. Reports that differ by less are of the same crash: hosts notice it one after the other.
	MinRestart time.Duration
	// CrashRetention is how long a crash counts against the requests that ran on the upstream.
	CrashRetention time.Duration
	// InitialBar is the length of a request's first bar. Each further bar is twice as
	// long as the previous one, up to MaxBar.
	InitialBar, MaxBar time.Duration
	// AnsweredBar is the length of the first bar of a request that was answered before its
	// first crash: then the upstreams most likely crashed for another reason, and it can be
	// answered again once they are back.
	AnsweredBar time.Duration
}

// DefaultPolicy is the policy that hosts use.
var DefaultPolicy = Policy{
	MinSoleCrashes: 2,
	MinCrashes:     3,
	MassWindow:     50 * time.Millisecond, // hosts notice the same crash within a few milliseconds of each other
	MinMassCrashes: 3,
	MinPartCrashes: 3, MinBlindPartCrashes: 5,
	PartSettleTime:      2000 * time.Millisecond,
	FirstPartSettleTime: 2500 * time.Millisecond,
	MinRestart:          time.Second,
	CrashRetention:      10 * time.Minute, // a poison request may arrive only once a minute
	InitialBar:          2 * time.Minute,  // far longer than the restart of an upstream, so that a crash costs little in comparison
	MaxBar:              time.Hour,
	AnsweredBar:         3 * time.Second, // the restart of an upstream
}

// SharedPolicy is the policy of a ledger that several hosts report to.
func SharedPolicy() Policy {
	p := DefaultPolicy
	p.SoleSettleTime = 300 * time.Millisecond // hosts report several times a second
	return p
}

// updateBars bars the requests, and then the parts of prompts, without which the crashes
// cannot be explained. The request that most crashes have in common explains these, which
// then count less against the other requests that ran in them. This is repeated until none
// is found.
func (l *Ledger) updateBars(now time.Time) {
	for found := l.strongestSuspects(now); len(found) > 0; found = l.strongestSuspects(now) {
		for _, e := range found {
			l.bar(e, now)
		}
	}
	for e := l.strongestPart(now); e != nil; e = l.strongestPart(now) {
		l.bar(e, now)
	}
	l.liftExplainedBars(now)
	l.liftExplainedParts(now)
}

// strongestSuspects returns the suspects with the most evidence against them, if it is
// enough to bar them.
func (l *Ledger) strongestSuspects(now time.Time) []*entry {
	highest := 0
	var found []*entry
	for _, e := range l.entries {
		if e.IsPart() || e.State != Suspected || e.BarCount == 0 && len(e.crashes) < l.policy.MinSoleCrashes {
			continue
		}
		n, needed := l.evidence(e, l.explainedByBar), l.neededCrashes(e)
		if n < fullWeight*needed || n < highest || n < fullWeight*l.policy.MinCrashes && !l.isReported(e, now) {
			continue
		}
		if n > highest {
			highest, found = n, nil
		}
		found = append(found, e)
	}
	return found
}

// Weights of a crash as evidence. An explained crash still counts half, because two poison
// requests may have run in the same batches.
const (
	fullWeight      = 2 // a crash that nothing explains
	explainedWeight = 1
)

// evidence returns the evidence of the crashes against a request, in halves of a crash.
// Explained crashes count half only while there are fewer than MinCrashes. Crashes that
// are part of a mass failure count as one.
func (l *Ledger) evidence(e *entry, explained func(c *crash, e *entry) bool) int {
	sum, mass := 0, 0
	for c := range e.crashes {
		weight := fullWeight
		if explained(c, e) && len(e.crashes) < l.policy.MinCrashes {
			weight = explainedWeight
		}
		if l.partOfMass(c, e) {
			mass = max(mass, weight)
			continue
		}
		sum += weight
	}
	return sum + mass
}

// partOfMass reports whether a crash is part of a mass failure: so many upstreams crashed
// at about the same time, most of them without running the request, that the cause must
// be something else.
func (l *Ledger) partOfMass(c *crash, e *entry) bool {
	all, ran := 0, 0
	for o := range l.allCrashes() {
		if apart := o.at.Sub(c.at); apart > l.policy.MassWindow || apart < -l.policy.MassWindow {
			continue
		}
		all++
		if o.ran[e.Digest] {
			ran++
		}
	}
	return all >= l.policy.MinMassCrashes && 2*ran < all
}

// explainedByBar reports whether a barred request ran on the upstream.
func (l *Ledger) explainedByBar(c *crash, _ *entry) bool {
	for d := range c.ran {
		if l.entries[d].State == Barred {
			return true
		}
	}
	return false
}

// neededCrashes returns how many crashes it takes to bar a suspect.
func (l *Ledger) neededCrashes(e *entry) int {
	switch {
	case e.BarCount > 0:
		return probationCrashes
	case l.isSoleCandidate(e):
		return l.policy.MinSoleCrashes
	default:
		return l.policy.MinCrashes
	}
}

// isReported reports whether the last crash of e was long enough ago for the reports of all
// hosts on it.
func (l *Ledger) isReported(e *entry, now time.Time) bool {
	if e.BarCount > 0 {
		return true
	}
	for c := range e.crashes {
		if now.Sub(c.at) < l.policy.SoleSettleTime {
			return false
		}
	}
	return e.isAdoptedFor(l.policy.SoleSettleTime, now)
}

// isSoleCandidate reports whether no other suspect that was part of one of e's crashes
// was part of as many crashes as e.
func (l *Ledger) isSoleCandidate(e *entry) bool {
	for c := range e.crashes {
		for d := range c.ran {
			if o := l.entries[d]; o != e && o.State == Suspected && len(o.crashes) >= len(e.crashes) {
				return false
			}
		}
	}
	return true
}

func (l *Ledger) bar(e *entry, now time.Time) {
	e.BarredUntil = now.Add(l.barDuration(&e.Fingerprint, e.BarCount))
	e.BarCount++
	l.transition(e, Barred, ByCrashes)
	l.touch(e, now)
}

// latestBar returns the length of a suspect's latest bar.
func (l *Ledger) latestBar(e *Entry) time.Duration {
	return l.barDuration(&e.Fingerprint, max(e.BarCount-1, 0))
}

// maxAnsweredBars is how many bars of a request that was answered before its first crash are
// short. If it is not answered after these either, it does crash upstreams by now.
const maxAnsweredBars = 2

// barDuration returns how long a suspect's bar lasts that follows so many others.
func (l *Ledger) barDuration(f *Fingerprint, former int) time.Duration {
	if f.Answered && former < maxAnsweredBars {
		return l.policy.AnsweredBar << former
	}
	if f.Answered {
		former -= maxAnsweredBars
	}
	return min(l.policy.InitialBar<<min(former, maxBarDoublings), l.policy.MaxBar)
}

// maxBarDoublings bounds the shift in bar. It is far more than it takes to reach MaxBar.
const maxBarDoublings = 16

// liftExplainedBars ends the bars of requests whose crashes are explained by other barred
// requests that were part of more crashes: a request that by chance ran beside several
// poison requests stays barred only until these are known. A request that was part of
// many crashes was not there by chance, and stays barred.
func (l *Ledger) liftExplainedBars(now time.Time) {
	for _, e := range l.entries {
		if e.IsPart() || e.State != Barred || len(e.crashes) < l.policy.MinSoleCrashes || len(e.crashes) >= l.policy.MinCrashes {
			continue // with fewer crashes, for example after Adopt, the ledger does not know all of them
		}
		if l.evidence(e, l.explainedByStrongerBar) < fullWeight*l.policy.MinSoleCrashes {
			l.lift(e, now)
		}
	}
}

// lift ends a bar whose crashes others explain.
func (l *Ledger) lift(e *entry, now time.Time) {
	e.BarredUntil, e.BarCount = time.Time{}, e.BarCount-1
	l.transition(e, Suspected, ByOtherSuspects)
	l.touch(e, now)
}

// explainedByStrongerBar reports whether another barred request ran on the upstream that
// was part of more crashes than e.
func (l *Ledger) explainedByStrongerBar(c *crash, e *entry) bool {
	for d := range c.ran {
		if o := l.entries[d]; o != e && o.State == Barred && len(o.crashes) > len(e.crashes) {
			return true
		}
	}
	return false
}
