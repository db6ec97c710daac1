package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// isPartBarred polls the ledger, as hosts do, and reports whether a part is barred.
func isPartBarred(l *Ledger, f Fingerprint, now time.Time) bool {
	l.ChangedSince(0, maxEntries, now)
	_, ok := l.BarredUntil(f.Digest, now)
	return ok
}

// crashParts records the crash of an upstream that ran one request with each of the parts.
func crashParts(l *Ledger, upstream string, now time.Time, parts ...Fingerprint) {
	l.RecordCrash(upstream, append([]Fingerprint{named("request at " + upstream)}, parts...), now, now)
}

// Guards against barring the first part of a route's prompts for what a later part does, when
// nothing is answered meanwhile.
func TestOfTwoPartsInTheSameCrashesTheLaterOneIsBarred(t *testing.T) {
	l, now := NewLedger(DefaultPolicy), start
	first, second := PartFingerprint("first", 0), PartFingerprint("second", 1)
	for i := range DefaultPolicy.MinBlindPartCrashes {
		crashParts(l, fmt.Sprint("u", i), now, first, second)
		now = now.Add(time.Second)
	}
	now = now.Add(DefaultPolicy.FirstPartSettleTime)
	assert.Assert(t, isPartBarred(l, second, now))
	assert.Assert(t, !isPartBarred(l, first, now))
}

// Guards against a first part that goes on crashing upstreams because a later part, barred
// for it, is taken to explain its crashes.
func TestAPartThatGoesOnCrashingUpstreamsIsBarredToo(t *testing.T) {
	l, now := NewLedger(DefaultPolicy), start
	first, second := PartFingerprint("first", 0), PartFingerprint("second", 1)
	for i := range 2 * DefaultPolicy.MinBlindPartCrashes {
		parts := []Fingerprint{first}
		if i < DefaultPolicy.MinBlindPartCrashes {
			parts = append(parts, second)
		}
		crashParts(l, fmt.Sprint("u", i), now, parts...)
		now = now.Add(time.Second)
	}
	assert.Assert(t, isPartBarred(l, first, now.Add(DefaultPolicy.FirstPartSettleTime)))
}

// Guards against barring all that is popular when a service loses its upstreams one after the
// other for another reason.
func TestPartsAreNotBarredWhileNothingIsAnswered(t *testing.T) {
	l, now := NewLedger(DefaultPolicy), start
	part := PartFingerprint("popular", 1)
	for i := range DefaultPolicy.MinBlindPartCrashes - 1 {
		crashParts(l, fmt.Sprint("u", i), now, part)
		now = now.Add(time.Second)
	}
	now = now.Add(DefaultPolicy.FirstPartSettleTime)
	assert.Assert(t, !isPartBarred(l, part, now))
	l.Clear(named("request at u1").Digest, now, now)
	assert.Assert(t, isPartBarred(l, part, now), "others were answered, and it was not")
}

// Property: whatever requests crash upstreams, each as often as its caller tries, and are barred for it, a
// part that they have in common and that was not answered is barred after its fifth crash, once it has
// settled, unless one request ran in all crashes.
func TestAPartIsBarredThoughEachRequestWithItIsBarred(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewLedger(SharedPolicy()), start
		part, first := PartFingerprint("fatal", 1), PartFingerprint("first", 0)
		var second, last time.Time
		crashes, requests := 0, 0
		besideIn := [4]int{} // crashes by sound requests that run beside
		for crashes < DefaultPolicy.MinBlindPartCrashes || requests < 2 || slices.Max(besideIn[:]) == crashes {
			request, own := named(fmt.Sprint(requests)), PartFingerprint(fmt.Sprint("own", requests), 2)
			requests++
			for range rapid.IntRange(1, 4).Draw(t, "sends") {
				now = now.Add(DefaultPolicy.MassWindow + time.Duration(rapid.IntRange(1, 800).Draw(t, "ms"))*time.Millisecond)
				beside := rapid.IntRange(0, len(besideIn)-1).Draw(t, "beside") // may be barred, too
				besideIn[beside]++
				l.RecordCrash(fmt.Sprint("u", crashes), []Fingerprint{request, first, part, own, named(fmt.Sprint("beside ", beside))}, now, now)
				l.Clear(first.Digest, now, now)
				crashes, last = crashes+1, now
				if crashes == DefaultPolicy.MinSoleCrashes {
					second = now
				}
			}
		}
		settled := second.Add(DefaultPolicy.PartSettleTime)
		if settled.Before(last) {
			settled = last
		}
		assert.Assert(t, isPartBarred(l, part, settled.Add(expireInterval)), "%d crashes by %d requests", crashes, requests)
		assert.Assert(t, !isPartBarred(l, first, settled.Add(expireInterval)))
	})
}

// Guards against a part that is sent on while nothing looks at what has settled.
func TestAPartIsBarredAsSoonAsItHasSettled(t *testing.T) {
	l, now := NewLedger(SharedPolicy()), start
	part := PartFingerprint("fatal", 1)
	for i := range DefaultPolicy.MinBlindPartCrashes {
		crashParts(l, fmt.Sprint("u", i), now, part)
		now = now.Add(expireInterval / 3)
	}
	settles := start.Add(expireInterval / 3).Add(DefaultPolicy.PartSettleTime)
	l.ChangedSince(0, maxEntries, settles.Add(-time.Millisecond))
	assert.Assert(t, isPartBarred(l, part, settles))
}

// Guards against crashes under several requests at the same time that count as one, though each of these
// is barred: no rack was lost.
func TestCrashesThatBarredRequestsExplainCountEach(t *testing.T) {
	l, now := NewLedger(SharedPolicy()), start
	part := PartFingerprint("fatal", 1)
	for i := range 3 {
		for j := range 2 {
			l.RecordCrash(fmt.Sprint("u", i, j), []Fingerprint{part, named(fmt.Sprint("fatal ", j))}, now, now)
			now = now.Add(DefaultPolicy.MassWindow / 4)
		}
		now = now.Add(200 * time.Millisecond)
	}
	assert.Assert(t, isPartBarred(l, part, now.Add(DefaultPolicy.PartSettleTime)))
}

// Guards against a bar that ends since requests that ran beside the part are barred for the same crashes.
func TestABarOfAPartOutlastsThoseOfRequests(t *testing.T) {
	l, now := NewLedger(SharedPolicy()), start
	part := PartFingerprint("fatal", 1)
	for i := range 6 {
		now = now.Add(500 * time.Millisecond)
		l.RecordCrash(fmt.Sprint("u", i), []Fingerprint{part, named(fmt.Sprint("fatal ", i)), named(fmt.Sprint("sound ", i%2))}, now, now)
	}
	now = now.Add(DefaultPolicy.PartSettleTime)
	assert.Assert(t, isPartBarred(l, part, now))
	for i := range 6 { // another host reports late what ran there, too
		l.RecordCrash(fmt.Sprint("u", i), []Fingerprint{named(fmt.Sprint("late ", i%2))}, now, now)
	}
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		assert.Assert(t, isPartBarred(l, part, now))
	}
}

// Guards against barring a part that is rare, but harmless, for the crashes of one request that has it.
func TestAPartOfOneBarredRequestIsNotBarred(t *testing.T) {
	l, now := NewLedger(SharedPolicy()), start
	part, request := PartFingerprint("rare", 1), named("fatal")
	for i := range 2 * DefaultPolicy.MinBlindPartCrashes {
		now = now.Add(200 * time.Millisecond)
		l.RecordCrash(fmt.Sprint("u", i), []Fingerprint{request, part}, now, now)
	}
	_, barred := l.BarredUntil(request.Digest, now)
	assert.Assert(t, barred)
	assert.Assert(t, !isPartBarred(l, part, now.Add(2*DefaultPolicy.PartSettleTime)))
	for _, d := range l.TakeTransitions() {
		assert.Assert(t, !d.IsPart(), "barred, and released at once")
	}
}

// Guards against a series of crashes that counts as one, since each comes soon after the one before: a
// request that is sent again at once makes such a series.
func TestASeriesOfCrashesIsNotOne(t *testing.T) {
	l, now := NewLedger(DefaultPolicy), start
	part := PartFingerprint("fatal", 1)
	for i := range 3 * DefaultPolicy.MinBlindPartCrashes {
		crashParts(l, fmt.Sprint("u", i), now, part)
		now = now.Add(DefaultPolicy.MassWindow / 2)
	}
	assert.Assert(t, isPartBarred(l, part, now.Add(DefaultPolicy.PartSettleTime)))
}

// Property: whatever crashes and answers are reported in whatever order, no part is barred
// that was answered later than its last crash.
func TestAPartThatWasAnsweredSinceIsNotBarred(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewLedger(DefaultPolicy), start
		var parts []Fingerprint
		for i := range 4 {
			parts = append(parts, PartFingerprint(fmt.Sprint(i), i%3))
		}
		crashedAt, answeredAt := map[Fingerprint]time.Time{}, map[Fingerprint]time.Time{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			part := rapid.SampledFrom(parts).Draw(t, "part")
			if rapid.IntRange(0, 5).Draw(t, "what") == 0 {
				l.Clear(part.Digest, now, now)
				answeredAt[part] = now
			} else {
				other := rapid.SampledFrom(parts).Draw(t, "other")
				at := now.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "late ms")) * time.Millisecond)
				l.RecordCrash(fmt.Sprint("u", i), []Fingerprint{part, other, named(fmt.Sprint(i))}, at, now)
				for _, f := range []Fingerprint{part, other} {
					if at.After(crashedAt[f]) {
						crashedAt[f] = at
					}
				}
			}
			for _, f := range parts {
				if answered, ok := answeredAt[f]; ok && answered.After(crashedAt[f]) {
					assert.Assert(t, !isPartBarred(l, f, now), "answered since")
				}
			}
		}
	})
}

// Guards against a part that is barred for crashes of before its answer, which are reported after it.
func TestAnAnswerHoldsForCrashesThatAreReportedLater(t *testing.T) {
	for _, answers := range []int{1, 2} {
		l, now := NewLedger(DefaultPolicy), start
		part := PartFingerprint("answered", 1)
		for range answers {
			now = now.Add(time.Second)
			l.Clear(part.Digest, now, now)
		}
		other := PartFingerprint("answered later", 2)
		for i := range 3 {
			l.RecordCrash(fmt.Sprint("u", i), []Fingerprint{named(fmt.Sprint(i)), part, other}, now.Add(-time.Duration(i+1)*800*time.Millisecond), now)
		}
		now = now.Add(700 * time.Millisecond)
		l.Clear(other.Digest, now, now)
		for range 60 {
			assert.Assert(t, !isPartBarred(l, part, now), "%d answers", answers)
			now = now.Add(time.Second)
		}
	}
}
