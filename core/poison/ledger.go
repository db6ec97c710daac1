package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of a Ledger. What is least suspect goes first, so that many new
// suspects can not push out what is known.
const (
	maxCrashes          = 512
	maxRequestsPerCrash = 512  // of one crash: several hosts fill an engine's batch
	maxEntries          = 4096 // suspects, barred and cleared
	clearedTTL          = time.Minute
	probationCrashes    = 1 // crashes after which one whose bar is over is barred again
)

// entry is an Entry with what the ledger needs besides.
type entry struct {
	Entry
	revision  uint64
	changedAt time.Time // of the last change
	crashes   map[string]bool
}

// crash is the end of one upstream.
type crash struct {
	at  time.Time
	ran map[Digest]bool
}

// Ledger holds which requests ran on upstreams that ended, as all hosts tell, and
// finds out which of them ended these. Its owner guards it.
type Ledger struct {
	policy      Policy
	crashes     map[string]*crash // by upstream: each process ends once
	entries     map[Digest]*entry
	revision    uint64
	lastExpired time.Time // when it was last looked for what is over
	transitions []Transition
}

// NewLedger makes one in which nothing is known.
func NewLedger(p Policy) *Ledger {
	return &Ledger{policy: p, crashes: map[string]*crash{}, entries: map[Digest]*entry{}}
}

// RecordCrash notes that an upstream ended while requests were under way there, and
// when. Each host tells its own, at its own time.
func (l *Ledger) RecordCrash(upstream string, ran []Fingerprint, at, now time.Time) {
	l.expire(now)
	c := l.crashes[upstream]
	if c == nil {
		l.makeRoom()
		c = &crash{at: at, ran: map[Digest]bool{}}
		l.crashes[upstream] = c
	}
	for _, m := range ran {
		if c.ran[m.Digest] || len(c.ran) >= maxRequestsPerCrash {
			continue
		}
		if l.addCrash(m, upstream, now) {
			c.ran[m.Digest] = true
		}
	}
	l.updateBars(now)
}

// makeRoom drops the oldest crash if there are as many as may be.
func (l *Ledger) makeRoom() {
	if len(l.crashes) < maxCrashes {
		return
	}
	oldest := ""
	for id, c := range l.crashes {
		if oldest == "" || c.at.Before(l.crashes[oldest].at) {
			oldest = id
		}
	}
	l.dropCrash(oldest)
}

// addCrash holds one crash against a request. It says no if there is no room.
func (l *Ledger) addCrash(m Fingerprint, upstream string, now time.Time) bool {
	e := l.entry(m)
	if e == nil {
		return false
	}
	e.crashes[upstream] = true
	if e.State == Cleared {
		e.State = Suspected
	}
	l.touch(e, now)
	return true
}

// entry finds a request's entry, or makes it; nil: there is no room.
func (l *Ledger) entry(m Fingerprint) *entry {
	e := l.entries[m.Digest]
	if e == nil && (len(l.entries) < maxEntries || l.evict()) {
		e = &entry{Entry: Entry{Fingerprint: m}, crashes: map[string]bool{}}
		l.entries[m.Digest] = e
	}
	return e
}

// evict drops the entries that are least held against; it says no if all are barred.
func (l *Ledger) evict() bool {
	all := slices.Collect(maps.Values(l.entries))
	all = slices.DeleteFunc(all, func(e *entry) bool { return e.State == Barred })
	slices.SortFunc(all, compareEvidence)
	for _, e := range all[:min(len(all), evictionBatch)] {
		l.remove(e)
	}
	return len(all) > 0
}

// evictionBatch is a small part of all entries, so that room is seldom looked for.
const evictionBatch = maxEntries / 16

// compareEvidence puts what is least held against first.
func compareEvidence(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(len(a.crashes), len(b.crashes)), a.changedAt.Compare(b.changedAt))
}

func (l *Ledger) remove(e *entry) {
	delete(l.entries, e.Digest)
	for id := range e.crashes {
		if c := l.crashes[id]; c != nil {
			delete(c.ran, e.Digest)
		}
	}
}

func (l *Ledger) touch(e *entry, now time.Time) {
	l.revision++
	e.revision, e.changedAt, e.CrashCount = l.revision, now, len(e.crashes)
}

// Clear notes that a request ran to its end, or for long after it had begun:
// what upstreams ended of before was something else.
func (l *Ledger) Clear(d Digest, now time.Time) {
	if e := l.entries[d]; e != nil && e.State != Cleared {
		l.clear(e, ByCompletion, now)
		e.BarCount = 0
		l.updateBars(now)
	}
}

// Release ends a bar by an operator's word. It says no if there is none.
func (l *Ledger) Release(d Digest, now time.Time) bool {
	e := l.entries[d]
	if e == nil || e.State != Barred {
		return false
	}
	l.clear(e, ByOperator, now)
	e.BarCount = 0
	return true
}

func (l *Ledger) clear(e *entry, why Cause, now time.Time) {
	if e.State == Barred {
		l.transition(e, Cleared, why)
	}
	for id := range e.crashes {
		if c := l.crashes[id]; c != nil {
			delete(c.ran, e.Digest)
		}
	}
	e.crashes, e.State, e.BarredUntil = map[string]bool{}, Cleared, time.Time{}
	l.touch(e, now)
}

// Adopt takes over a bar that another ledger found.
func (l *Ledger) Adopt(b Entry, now time.Time) {
	if b.State != Barred || !b.BarredUntil.After(now) {
		return
	}
	e := l.entry(b.Fingerprint)
	if e == nil || e.State == Barred && !b.BarredUntil.After(e.BarredUntil) {
		return
	}
	e.BarredUntil, e.BarCount = b.BarredUntil, max(e.BarCount, b.BarCount)
	if e.State != Barred {
		l.transition(e, Barred, ByReport)
	}
	l.touch(e, now)
}

// transition notes the begin or the end of a bar.
func (l *Ledger) transition(e *entry, s State, why Cause) {
	e.State, e.CrashCount = s, len(e.crashes)
	if len(l.transitions) < maxEntries {
		l.transitions = append(l.transitions, Transition{Entry: e.Entry, Cause: why, Upstreams: slices.Sorted(maps.Keys(e.crashes))})
	}
}

// TakeTransitions returns the bars that began and ended since it was called last.
func (l *Ledger) TakeTransitions() []Transition {
	out := l.transitions
	l.transitions = nil
	return out
}

// expireInterval is how often it is looked for what is over: each host asks for changes
// several times a second.
const expireInterval = 500 * time.Millisecond

// expire drops what is over.
func (l *Ledger) expire(now time.Time) {
	if now.Sub(l.lastExpired) < expireInterval {
		return
	}
	l.lastExpired = now
	for id, c := range l.crashes {
		if now.Sub(c.at) > l.policy.CrashRetention {
			l.dropCrash(id)
		}
	}
	for _, e := range l.entries {
		switch {
		case e.State == Barred && !now.Before(e.BarredUntil), e.State == Suspected && len(e.crashes) == 0:
			l.clear(e, ByExpiry, now)
		case e.State == Cleared && e.BarCount == 0 && now.Sub(e.changedAt) > clearedTTL, e.State == Cleared && now.Sub(e.changedAt) > l.policy.MaxBar:
			delete(l.entries, e.Digest)
		}
	}
}

func (l *Ledger) dropCrash(id string) {
	for d := range l.crashes[id].ran {
		if e := l.entries[d]; e != nil {
			delete(e.crashes, id)
		}
	}
	delete(l.crashes, id)
}

// BarredUntil says until when a request is barred.
func (l *Ledger) BarredUntil(d Digest, now time.Time) (until time.Time, ok bool) {
	e := l.entries[d]
	if e == nil || e.State != Barred || !now.Before(e.BarredUntil) {
		return time.Time{}, false
	}
	return e.BarredUntil, true
}

// Counts are how many requests are suspected, and barred.
func (l *Ledger) Counts() (suspected, barred int) {
	for _, e := range l.entries {
		switch e.State {
		case Suspected:
			suspected++
		case Barred:
			barred++
		}
	}
	return suspected, barred
}

// All returns what is suspected and barred.
func (l *Ledger) All(now time.Time) []Entry {
	all, _ := l.ChangedSince(0, maxEntries, now)
	return all
}

// Revision rises with each change of what is known.
func (l *Ledger) Revision() uint64 { return l.revision }

// ChangedSince returns up to most entries that changed after a revision, oldest change
// first, and the revision up to which they bring who asks.
func (l *Ledger) ChangedSince(revision uint64, most int, now time.Time) (changed []Entry, to uint64) {
	l.expire(now)
	if revision == l.revision {
		return nil, revision
	}
	all := slices.Collect(maps.Values(l.entries))
	all = slices.DeleteFunc(all, func(e *entry) bool { return e.revision <= revision || revision == 0 && e.State == Cleared })
	slices.SortFunc(all, func(a, b *entry) int { return cmp.Compare(a.revision, b.revision) })
	to = l.revision
	if len(all) > most {
		all, to = all[:most], all[most-1].revision
	}
	for _, e := range all {
		changed = append(changed, e.Entry)
	}
	return changed, to
}
