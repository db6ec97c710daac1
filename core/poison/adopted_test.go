package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testCrashes  = 64
	testSuspects = 64
)

// successorOf returns a ledger that adopts what another one keeps.
func successorOf(l *Ledger, now time.Time) *Ledger {
	next := NewLedger(SharedPolicy())
	next.AdoptCrashes(l.CommonCrashes(testCrashes, testSuspects), now)
	return next
}

// Guards against a fatal part that starts with no crash again, since all who knew its crashes are gone.
func TestASuspectedPartIsBarredByASuccessorThatAdoptsItsCrashes(t *testing.T) {
	l, now := NewLedger(SharedPolicy()), start
	fatal := PartFingerprint("fatal", 1)
	for i := range DefaultPolicy.MinBlindPartCrashes {
		crashParts(l, fmt.Sprint("u", i), now, fatal)
		now = now.Add(200 * time.Millisecond)
	}
	assert.Assert(t, !isPartBarred(l, fatal, now))
	next := successorOf(l, now)
	assert.Assert(t, !isPartBarred(next, fatal, now.Add(DefaultPolicy.PartSettleTime-time.Millisecond)), "it may be answered")
	assert.Assert(t, isPartBarred(next, fatal, now.Add(DefaultPolicy.PartSettleTime+expireInterval)))
}

// Guards against barring a harmless part that was answered after the other ledger was kept.
func TestAnAdoptedPartThatIsAnsweredIsNotBarred(t *testing.T) {
	l, now := NewLedger(SharedPolicy()), start
	harmless := PartFingerprint("harmless", 0)
	for i := range DefaultPolicy.MinBlindPartCrashes {
		crashParts(l, fmt.Sprint("u", i), now, harmless)
		now = now.Add(200 * time.Millisecond)
	}
	next := successorOf(l, now.Add(10*time.Second))
	now = now.Add(11 * time.Second)
	crashParts(next, "after", now, harmless)
	assert.Assert(t, !isPartBarred(next, harmless, now))
	next.Clear(harmless.Digest, now, now)
	next.AdoptCrashes(l.CommonCrashes(testCrashes, testSuspects), now)
	assert.Assert(t, !isPartBarred(next, harmless, now.Add(time.Minute)))
}

// Guards against a request that is suspected again since a crash of before its answer is read later.
func TestARequestThatWasAnsweredIsNotAdopted(t *testing.T) {
	l, now := NewLedger(SharedPolicy()), start
	now = crashes(l, now, []string{"x", "a"}, []string{"x", "b"})
	kept := l.CommonCrashes(testCrashes, testSuspects)
	l.Clear(named("x").Digest, now, now)
	l.AdoptCrashes(kept, now)
	assert.Equal(t, len(l.CommonCrashes(testCrashes, testSuspects)), 0)
}

// Guards against a bar that comes later at a successor because it also adopts what hosts report to it.
func TestWhatHostsReportAgainIsNotWaitedFor(t *testing.T) {
	l, now := NewLedger(SharedPolicy()), start
	fatal := PartFingerprint("fatal", 1)
	for i := range DefaultPolicy.MinBlindPartCrashes {
		crashParts(l, fmt.Sprint("u", i), now.Add(time.Duration(i)*time.Second), fatal)
	}
	now = now.Add(10 * time.Second)
	next := successorOf(l, now)
	for i := range DefaultPolicy.MinBlindPartCrashes {
		next.RecordCrash(fmt.Sprint("u", i), []Fingerprint{fatal}, start.Add(time.Duration(i)*time.Second), now)
	}
	assert.Assert(t, isPartBarred(next, fatal, now))
}

// Guards against a bar that comes later at a successor because it also knows crashes from the
// store, which no host reports any more: those that hosts report suffice.
func TestCrashesThatNobodyReportsDelayNoBar(t *testing.T) {
	l, now := NewLedger(SharedPolicy()), start
	fatal := PartFingerprint("fatal", 2)
	for i := range minCommonCrashes {
		crashParts(l, fmt.Sprint("u", i), now.Add(time.Duration(i)*time.Second), fatal)
	}
	now = now.Add(10 * time.Second)
	for _, next := range []*Ledger{NewLedger(SharedPolicy()), successorOf(l, now)} {
		for i := range DefaultPolicy.MinBlindPartCrashes {
			next.RecordCrash(fmt.Sprint("v", i), []Fingerprint{fatal}, now.Add(time.Duration(i-6)*time.Second), now)
		}
		assert.Assert(t, isPartBarred(next, fatal, now))
	}
}

// Guards against barring a request for the loss of a rack of which a successor knows a part only.
func TestAnAdoptedMassFailureNamesNobody(t *testing.T) {
	l, now := NewLedger(SharedPolicy()), start
	for i := range 8 {
		ran := named(fmt.Sprint("other", i))
		if i < 2 {
			ran = named("popular")
		}
		l.RecordCrash(fmt.Sprint("u", i), []Fingerprint{ran}, now, now)
	}
	next := successorOf(l, now.Add(time.Second))
	assert.Equal(t, len(next.CommonCrashes(testCrashes, testSuspects)), 8)
	now = now.Add(time.Minute)
	next.ChangedSince(0, maxEntries, now)
	assert.Assert(t, !isBarred(next, "popular", now))
}

// Guards against barring a request since those that ran beside it in all crashes were left out.
func TestSuspectsThatNothingTellsApartAreKeptTogether(t *testing.T) {
	l, now := NewLedger(SharedPolicy()), start
	crashes(l, now, []string{"x", "y", "z"}, []string{"x", "y", "z"})
	assert.Equal(t, len(l.CommonCrashes(testCrashes, 3)), 2)
	assert.Equal(t, len(l.CommonCrashes(testCrashes, 2)), 0)
	assert.Equal(t, len(l.CommonCrashes(1, 3)), 1, "the latest")
	next := successorOf(l, now.Add(time.Second))
	now = now.Add(time.Minute)
	next.ChangedSince(0, maxEntries, now)
	for _, name := range []string{"x", "y", "z"} {
		assert.Assert(t, !isBarred(next, name, now), name)
	}
}

// Guards against a request that is judged before the hosts have reported what ran beside it.
func TestAnAdoptedRequestIsJudgedOnceHostsHaveReported(t *testing.T) {
	l, now := NewLedger(SharedPolicy()), start
	crashes(l, now, []string{"x", "a"}, []string{"x", "b"})
	now = now.Add(10 * time.Second)
	next := successorOf(l, now)
	next.updateBars(now)
	assert.Assert(t, !isBarred(next, "x", now))
	next.updateBars(now.Add(SharedPolicy().SoleSettleTime))
	assert.Assert(t, isBarred(next, "x", now.Add(SharedPolicy().SoleSettleTime)))
}

// Guards against crashes that count for ever, or from the future, by another host's clock.
func TestAdoptedCrashesExpire(t *testing.T) {
	next, now := NewLedger(SharedPolicy()), start
	old := Crash{Upstream: "u", At: now.Add(-DefaultPolicy.CrashRetention - time.Second), Ran: []Fingerprint{named("old")}}
	early := Crash{Upstream: "v", At: now.Add(time.Hour), Ran: []Fingerprint{named("early")}}
	next.AdoptCrashes([]Crash{old, early}, now)
	suspected, _ := next.Counts()
	assert.Equal(t, suspected, 1)
	next.ChangedSince(0, maxEntries, now.Add(DefaultPolicy.CrashRetention+time.Second))
	suspected, _ = next.Counts()
	assert.Equal(t, suspected, 0)
}

// Guards against a suspect that seems to be alone since one of as many crashes lost some of them
// with the earliest crashes.
func TestASuspectBesideOneThatWasCutIsLeftOut(t *testing.T) {
	l := NewLedger(DefaultPolicy)
	cut, other := PartFingerprint("cut", 1), PartFingerprint("other", 1)
	l.RecordCrash("u1", []Fingerprint{cut}, start, start)
	l.RecordCrash("u2", []Fingerprint{cut, other}, start.Add(time.Second), start.Add(time.Second))
	l.RecordCrash("u3", []Fingerprint{other}, start.Add(2*time.Second), start.Add(2*time.Second))
	assert.Equal(t, len(l.CommonCrashes(3, 10)), 3)
	for _, c := range l.CommonCrashes(2, 10) {
		assert.Assert(t, !slices.Contains(c.Ran, other))
	}
}
