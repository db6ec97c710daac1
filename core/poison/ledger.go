package poison

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// Bounds of a Ledger. The entries with the least evidence are evicted first, so that many
// new suspects cannot displace known poison requests.
const (
	maxCrashes          = 512
	maxSuspectsPerCrash = 512  // several hosts together fill an engine's batch
	maxEntries          = 4096 // suspected, barred and cleared requests
	clearedTTL          = time.Minute
	probationCrashes    = 1 // crashes that bar a request again after its bar has expired
)

// entry is an Entry with the ledger's own data about the request.
type entry struct {
	Entry
	revision   uint64
	changedAt  time.Time
	answeredAt time.Time // the latest time of Clear
	releasedAt time.Time // when that, or an operator, last cleared it
	crashes    map[*crash]bool
	adopted    map[*crash]time.Time // those of crashes that only another ledger knew, and since when this one does
}

// crash is one crash of an upstream.
type crash struct {
	upstream   string
	at         time.Time // when a host first noticed it
	ran        map[Digest]bool
	answeredAt time.Time // the latest time of Clear of a suspect that ran there
}

// Ledger records which requests, with which parts of prompts, ran on upstreams that crashed,
// as reported by all hosts, and determines which of them caused the crashes. Its owner must
// guard it.
type Ledger struct {
	policy      Policy
	crashes     map[string][]*crash // by upstream, which may be back under its id
	entries     map[Digest]*entry
	revision    uint64
	answers     answers   // of what has no entry
	lastExpired time.Time // when expired entries were last removed
	settlesAt   time.Time // when the next part will have gone without an answer for long enough; zero: none is waited for
	transitions []Transition
}

// NewLedger returns an empty ledger.
func NewLedger(p Policy) *Ledger {
	return &Ledger{policy: p, crashes: map[string][]*crash{}, entries: map[Digest]*entry{}}
}

// RecordCrash records that an upstream crashed, at what time, and the requests in progress
// there. Each host reports its own requests, at its own time. It returns against how many
// of these the crash counts that did not before.
func (l *Ledger) RecordCrash(upstream string, running []Fingerprint, at, now time.Time) (counted int) {
	l.expire(now)
	c := l.crash(upstream, at)
	for _, m := range running {
		if c.ran[m.Digest] {
			if e := l.entries[m.Digest]; e != nil {
				e.confirm(c)
			}
			continue
		}
		if len(c.ran) >= maxSuspectsPerCrash {
			continue
		}
		if l.addCrash(m, c, at, now) {
			c.ran[m.Digest] = true
			counted++
		}
	}
	l.updateBars(now)
	return counted
}

// crash returns the crash of an upstream at a time, which it creates if necessary.
func (l *Ledger) crash(upstream string, at time.Time) *crash {
	for _, c := range l.crashes[upstream] {
		if at.Sub(c.at).Abs() < l.policy.MinRestart {
			return c
		}
	}
	l.makeRoom()
	c := &crash{upstream: upstream, at: at, ran: map[Digest]bool{}}
	l.crashes[upstream] = append(l.crashes[upstream], c)
	return c
}

// allCrashes returns the crashes of all upstreams.
func (l *Ledger) allCrashes() iter.Seq[*crash] {
	return func(yield func(*crash) bool) {
		for _, of := range l.crashes {
			for _, c := range of {
				if !yield(c) {
					return
				}
			}
		}
	}
}

// makeRoom removes the oldest crash if the ledger holds the maximum number of crashes.
func (l *Ledger) makeRoom() {
	var oldest *crash
	n := 0
	for c := range l.allCrashes() {
		n++
		if oldest == nil || c.at.Before(oldest.at) {
			oldest = c
		}
	}
	if n >= maxCrashes {
		l.dropCrash(oldest)
	}
}

// addCrash counts a crash against a suspect. It reports whether there was room for that. A
// part that has been answered since is not suspected of it.
func (l *Ledger) addCrash(f Fingerprint, c *crash, at, now time.Time) bool {
	e := l.entry(f)
	if e == nil || e.IsPart() && !at.After(e.answeredAt) {
		return false
	}
	e.crashes[c] = true
	e.Answered = e.Answered || f.Answered
	if e.State == Cleared {
		e.State = Suspected
	}
	l.touch(e, now)
	return true
}

// entry returns a request's entry, which it creates if necessary; nil if there is no room.
func (l *Ledger) entry(f Fingerprint) *entry {
	e := l.entries[f.Digest]
	if e == nil && (len(l.entries) < maxEntries || l.evict()) {
		e = &entry{Entry: Entry{Fingerprint: f}, crashes: map[*crash]bool{}, answeredAt: l.answers.take(f.Digest)}
		l.entries[f.Digest] = e
	}
	return e
}

// evict removes the entries with the least evidence against them. It reports false if all
// entries are barred.
func (l *Ledger) evict() bool {
	all := slices.Collect(maps.Values(l.entries))
	all = slices.DeleteFunc(all, func(e *entry) bool { return e.State == Barred })
	slices.SortFunc(all, compareEvidence)
	for _, e := range all[:min(len(all), evictionBatch)] {
		l.remove(e)
	}
	return len(all) > 0
}

// evictionBatch is a small part of all entries; evicting that many at once keeps evictions rare.
const evictionBatch = maxEntries / 16

// compareEvidence orders the entries with the least evidence against them first.
func compareEvidence(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(len(a.crashes), len(b.crashes)), a.changedAt.Compare(b.changedAt))
}

func (l *Ledger) remove(e *entry) {
	delete(l.entries, e.Digest)
	for c := range e.crashes {
		delete(c.ran, e.Digest)
	}
}

func (l *Ledger) touch(e *entry, now time.Time) {
	l.revision++
	e.revision, e.changedAt, e.CrashCount = l.revision, now, len(e.crashes)
}

// Clear records that a suspect ran to completion, or for a long time, and at what time that
// shows it to be harmless: it is not the cause of crashes of before that time.
func (l *Ledger) Clear(d Digest, at, now time.Time) {
	e := l.entries[d]
	if e == nil {
		l.answers.record(d, at)
		return
	}
	e.answeredAt = latest(e.answeredAt, at)
	if e.State == Cleared {
		return
	}
	if l.clearUntil(e, at) > 0 {
		l.touch(e, now)
		return
	}
	l.clear(e, ByCompletion, now)
	e.BarCount, e.releasedAt = 0, now
	l.updateBars(now)
}

// clearUntil takes an entry out of the crashes up to a time, and returns how many are left.
func (l *Ledger) clearUntil(e *entry, at time.Time) (left int) {
	for c := range e.crashes {
		if c.at.After(at) {
			continue
		}
		c.answeredAt = latest(c.answeredAt, at)
		delete(c.ran, e.Digest)
		delete(e.crashes, c)
		delete(e.adopted, c)
	}
	return len(e.crashes)
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// RecordAnsweredBefore records that a suspect was answered not long before its crashes, by a
// host that did not report them. Its bar is then as short as if the crashes had said so.
func (l *Ledger) RecordAnsweredBefore(d Digest, now time.Time) {
	e := l.entries[d]
	if e == nil || e.IsPart() || e.Answered {
		return
	}
	began := e.BarredUntil.Add(-l.latestBar(&e.Entry))
	e.Answered = true
	if e.State == Barred {
		e.BarredUntil = began.Add(l.latestBar(&e.Entry))
	}
	l.touch(e, now)
}

// Release ends a bar on behalf of an operator. It reports whether there was one.
func (l *Ledger) Release(d Digest, now time.Time) bool {
	e := l.entries[d]
	if e == nil || e.State != Barred {
		return false
	}
	l.clear(e, ByOperator, now)
	e.BarCount, e.releasedAt = 0, now
	return true
}

func (l *Ledger) clear(e *entry, cause Cause, now time.Time) {
	if e.State == Barred {
		l.transition(e, Cleared, cause)
	}
	for c := range e.crashes {
		delete(c.ran, e.Digest)
	}
	e.crashes, e.adopted, e.State, e.BarredUntil = map[*crash]bool{}, nil, Cleared, time.Time{}
	l.touch(e, now)
}

// Adopt records a bar that another ledger has begun.
func (l *Ledger) Adopt(b Entry, now time.Time) {
	if b.State != Barred || !b.BarredUntil.After(now) {
		return
	}
	e := l.entry(b.Fingerprint)
	if e == nil || e.State == Barred && !b.BarredUntil.After(e.BarredUntil) || l.wasReleasedSince(e, &b) {
		return
	}
	e.BarredUntil, e.BarCount = b.BarredUntil, max(e.BarCount, b.BarCount)
	if e.State != Barred {
		l.transition(e, Barred, ByReport)
	}
	l.touch(e, now)
}

// wasReleasedSince reports whether e was cleared after the bar b had begun: whoever reports
// the bar has not heard of that.
func (l *Ledger) wasReleasedSince(e *entry, b *Entry) bool {
	began := b.BarredUntil.Add(-l.latestBar(b))
	return e.releasedAt.After(began)
}

// transition records the beginning or the end of a bar.
func (l *Ledger) transition(e *entry, s State, cause Cause) {
	e.State, e.CrashCount = s, len(e.crashes)
	if len(l.transitions) < maxEntries {
		l.transitions = append(l.transitions, Transition{Entry: e.Entry, Cause: cause, Upstreams: e.upstreams()})
	}
}

// upstreams returns the upstreams that crashed, as often as they did.
func (e *entry) upstreams() []string {
	all := make([]string, 0, len(e.crashes))
	for c := range e.crashes {
		all = append(all, c.upstream)
	}
	slices.Sort(all)
	return all
}

// TakeTransitions returns the transitions since the previous call.
func (l *Ledger) TakeTransitions() []Transition {
	out := l.transitions
	l.transitions = nil
	return out
}

// expireInterval is the minimum time between two removals of expired entries. Each host polls
// for changes several times a second, and removals at each poll are not needed.
const expireInterval = 500 * time.Millisecond

// expire removes expired crashes, bars and entries, and bars the parts that have gone without
// an answer for long enough by now.
func (l *Ledger) expire(now time.Time) {
	if now.Sub(l.lastExpired) < expireInterval {
		if !l.settlesAt.IsZero() && !now.Before(l.settlesAt) {
			l.updateBars(now)
		}
		return
	}
	l.lastExpired = now
	l.answers.expire(now.Add(-l.policy.CrashRetention))
	for c := range l.allCrashes() {
		if now.Sub(c.at) > l.policy.CrashRetention {
			l.dropCrash(c)
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
	l.updateBars(now)
}

func (l *Ledger) dropCrash(c *crash) {
	for d := range c.ran {
		if e := l.entries[d]; e != nil {
			delete(e.crashes, c)
			delete(e.adopted, c)
		}
	}
	left := slices.DeleteFunc(slices.Clone(l.crashes[c.upstream]), func(o *crash) bool { return o == c }) // the former list may be iterated over
	if len(left) == 0 {
		delete(l.crashes, c.upstream)
		return
	}
	l.crashes[c.upstream] = left
}

// BarredUntil returns until when a request is barred, and whether it is.
func (l *Ledger) BarredUntil(d Digest, now time.Time) (until time.Time, ok bool) {
	e := l.entries[d]
	if e == nil || e.State != Barred || !now.Before(e.BarredUntil) {
		return time.Time{}, false
	}
	return e.BarredUntil, true
}

// Counts returns how many requests are suspected and how many are barred.
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

// All returns the entries of all suspected and barred requests.
func (l *Ledger) All(now time.Time) []Entry {
	all, _ := l.ChangedSince(0, maxEntries, now)
	return all
}

// Revision returns a number that increases with each change of an entry.
func (l *Ledger) Revision() uint64 { return l.revision }

// ChangedSince returns up to limit entries that changed after a revision, in the order of
// their changes, and the revision up to which the caller is then current.
func (l *Ledger) ChangedSince(revision uint64, limit int, now time.Time) (changed []Entry, to uint64) {
	l.expire(now)
	if revision == l.revision {
		return nil, revision
	}
	all := slices.Collect(maps.Values(l.entries))
	all = slices.DeleteFunc(all, func(e *entry) bool { return e.revision <= revision || revision == 0 && e.State == Cleared })
	slices.SortFunc(all, func(a, b *entry) int { return cmp.Compare(a.revision, b.revision) })
	to = l.revision
	if len(all) > limit {
		all, to = all[:limit], all[limit-1].revision
	}
	for _, e := range all {
		changed = append(changed, e.Entry)
	}
	return changed, to
}
