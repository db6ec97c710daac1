package poison

import "time"

// Policy bounds what is held against a request, and for how long.
type Policy struct {
	// SoleCrashes is in how many crashes a request must have run to be barred if it is
	// the only one that all of these have in common. Crashes is the same for one
	// that is not.
	MinSoleCrashes, MinCrashes int
	// MassWindow is within which time MassCrashes upstreams or more end of something else
	// than a request, as when a rack is lost, unless most of them ran it.
	MassWindow     time.Duration
	MinMassCrashes int
	// Memory is how long a crash is held against what ran there.
	CrashRetention time.Duration
	// Bar is how long a request is barred at first. Each further bar is twice as
	// long as the one before, up to BarMost.
	InitialBar, MaxBar time.Duration
}

// DefaultPolicy is what hosts go by.
var DefaultPolicy = Policy{
	MinSoleCrashes: 2,
	MinCrashes:     3,
	MassWindow:     50 * time.Millisecond, // hosts notice one crash within a few
	MinMassCrashes: 3,
	CrashRetention: 10 * time.Minute, // such a request may come once a minute
	InitialBar:     2 * time.Minute,  // far above an upstream's restart, so that what one costs is little
	MaxBar:         time.Hour,
}

// updateBars bars the requests that what happened can not be explained without. The
// one that most crashes have in common explains these, and clears the others
// that ran there of them; then the next one is looked for.
func (l *Ledger) updateBars(now time.Time) {
	for found := l.strongestSuspects(); len(found) > 0; found = l.strongestSuspects() {
		for _, e := range found {
			l.bar(e, now)
		}
	}
	l.liftExplainedBars(now)
}

// strongestSuspects are the suspects that most crashes speak against, if these are enough to
// bar them.
func (l *Ledger) strongestSuspects() []*entry {
	most := 0
	var found []*entry
	for _, e := range l.entries {
		if e.State != Suspected || e.BarCount == 0 && len(e.crashes) < l.policy.MinSoleCrashes {
			continue
		}
		n := l.evidence(e, l.explainedByBar)
		if n < fullWeight*l.neededCrashes(e) || n < most {
			continue
		}
		if n > most {
			most, found = n, nil
		}
		found = append(found, e)
	}
	return found
}

// A crash that something else explains speaks half against a request: two that
// end upstreams may have run in the same batches.
const (
	fullWeight      = 2 // of a crash that nothing explains
	explainedWeight = 1
)

// evidence adds up the crashes that speak against a request, in halves. Those of a
// moment in which many upstreams ended speak as one.
func (l *Ledger) evidence(e *entry, explained func(c *crash, e *entry) bool) int {
	sum, mass := 0, 0
	for id := range e.crashes {
		c := l.crashes[id]
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

// partOfMass says whether so many upstreams ended in the moment of a crash, most of
// which did not run the request, that something else ended them.
func (l *Ledger) partOfMass(c *crash, e *entry) bool {
	all, ran := 0, 0
	for _, o := range l.crashes {
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

// explainedByBar says whether something that is barred ran there.
func (l *Ledger) explainedByBar(c *crash, _ *entry) bool {
	for d := range c.ran {
		if l.entries[d].State == Barred {
			return true
		}
	}
	return false
}

// neededCrashes is how many crashes it takes to bar a suspect.
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

// isSoleCandidate says whether nothing else that ran in a suspect's crashes ran in as many.
func (l *Ledger) isSoleCandidate(e *entry) bool {
	for id := range e.crashes {
		for d := range l.crashes[id].ran {
			if o := l.entries[d]; o != e && o.State == Suspected && len(o.crashes) >= len(e.crashes) {
				return false
			}
		}
	}
	return true
}

func (l *Ledger) bar(e *entry, now time.Time) {
	e.BarredUntil = now.Add(min(l.policy.InitialBar<<min(e.BarCount, maxBarDoublings), l.policy.MaxBar))
	e.BarCount++
	l.transition(e, Barred, ByCrashes)
	l.touch(e, now)
}

// maxBarDoublings bounds the shift in bar; far more than lead to BarMost.
const maxBarDoublings = 16

// liftExplainedBars ends the bars of requests whose crashes others explain that were in
// more of them: a request that ran beside several poisons by chance is barred
// only until these are known. More than a few crashes are no chance.
func (l *Ledger) liftExplainedBars(now time.Time) {
	for _, e := range l.entries {
		if e.State != Barred || len(e.crashes) < l.policy.MinSoleCrashes || len(e.crashes) >= l.policy.MinCrashes {
			continue // of one with fewer, as when it was adopted, the crashes are not all here
		}
		if l.evidence(e, l.explainedByStrongerBar) < fullWeight*l.policy.MinSoleCrashes {
			e.BarredUntil, e.BarCount = time.Time{}, e.BarCount-1
			l.transition(e, Suspected, ByOtherSuspects)
			l.touch(e, now)
		}
	}
}

// explainedByStrongerBar says whether another barred request ran there that more
// upstreams ended under.
func (l *Ledger) explainedByStrongerBar(c *crash, e *entry) bool {
	for d := range c.ran {
		if o := l.entries[d]; o != e && o.State == Barred && len(o.crashes) > len(e.crashes) {
			return true
		}
	}
	return false
}
