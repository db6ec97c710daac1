package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func named(text string) Fingerprint { return (&Content{Target: text}).Fingerprint() }

func isBarred(l *Ledger, text string, now time.Time) bool {
	_, ok := l.BarredUntil(named(text).Digest, now)
	return ok
}

// crashes records crashes of upstreams, a second apart, each with the named requests running.
func crashes(l *Ledger, from time.Time, ran ...[]string) time.Time {
	for i, names := range ran {
		var fingerprints []Fingerprint
		for _, n := range names {
			fingerprints = append(fingerprints, named(n))
		}
		l.RecordCrash(fmt.Sprint("u", from.Unix(), "-", i), fingerprints, from, from)
		from = from.Add(time.Second)
	}
	return from
}

func TestWhatCrashesHaveInCommonIsBarred(t *testing.T) {
	for name, c := range map[string]struct {
		ran      [][]string
		barred   []string
		innocent []string
	}{
		"one crash names nobody":            {[][]string{{"x"}}, nil, []string{"x"}},
		"alone in two":                      {[][]string{{"x", "a"}, {"x", "b"}}, []string{"x"}, []string{"a", "b"}},
		"two in the same two":               {[][]string{{"x", "y"}, {"x", "y"}}, nil, []string{"x", "y"}},
		"the third tells them apart":        {[][]string{{"x", "y"}, {"x", "y"}, {"x", "z"}}, []string{"x"}, []string{"y", "z"}},
		"beside a known one, once more":     {[][]string{{"x"}, {"x", "a"}, {"a", "b"}}, []string{"x"}, []string{"a", "b"}},
		"two at once, in different batches": {[][]string{{"x", "a"}, {"y", "b"}, {"x", "c"}, {"y", "d"}}, []string{"x", "y"}, []string{"a", "b", "c", "d"}},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(DefaultPolicy)
			now := crashes(l, start, c.ran...)
			for _, n := range c.barred {
				assert.Assert(t, isBarred(l, n, now), n)
			}
			for _, n := range c.innocent {
				assert.Assert(t, !isBarred(l, n, now), n)
			}
		})
	}
}

// Guards against blaming a popular request for the loss of a rack, when it ran on a few of
// many upstreams that crashed at the same time.
func TestAMassFailureBarsNothing(t *testing.T) {
	l := NewLedger(DefaultPolicy)
	for i := range 6 {
		ran := []Fingerprint{named(fmt.Sprint("other", i))}
		if i < 2 {
			ran = append(ran, named("popular"))
		}
		l.RecordCrash(fmt.Sprint("u", i), ran, start.Add(time.Duration(i)*time.Millisecond), start)
	}
	assert.Assert(t, !isBarred(l, "popular", start))
}

func TestCopiesThatCrashUpstreamsAtOnceAreBarred(t *testing.T) {
	l := NewLedger(DefaultPolicy)
	for i := range 3 {
		l.RecordCrash(fmt.Sprint("u", i), []Fingerprint{named("x"), named(fmt.Sprint("other", i))}, start, start)
	}
	assert.Assert(t, isBarred(l, "x", start))
}

func TestCompletionClearsASuspect(t *testing.T) {
	l := NewLedger(DefaultPolicy)
	now := crashes(l, start, []string{"x", "a"})
	l.Clear(named("x").Digest, now, now)
	now = crashes(l, now, []string{"x", "b"})
	assert.Assert(t, !isBarred(l, "x", now))
	crashes(l, now, []string{"x", "c"})
	assert.Assert(t, isBarred(l, "x", now))
}

func TestABarEndsAndTheNextIsLonger(t *testing.T) {
	l := NewLedger(DefaultPolicy)
	now := crashes(l, start, []string{"x"}, []string{"x"})
	until, ok := l.BarredUntil(named("x").Digest, now)
	assert.Assert(t, ok)
	assert.Assert(t, !isBarred(l, "x", until))
	now = crashes(l, until, []string{"x", "a"})
	again, ok := l.BarredUntil(named("x").Digest, now)
	assert.Assert(t, ok, "one crash is enough for a request that was barred before")
	assert.Equal(t, again.Sub(until), 2*DefaultPolicy.InitialBar)
	assert.Assert(t, l.Release(named("x").Digest, now))
	assert.Assert(t, !isBarred(l, "x", now))
	assert.Assert(t, !l.Release(named("x").Digest, now))
	crashes(l, now, []string{"x", "b"})
	assert.Assert(t, !isBarred(l, "x", now), "a release by an operator clears the request")
}

// Guards against a bar that lasts although other poison requests explain its crashes.
func TestABarEndsWhenOthersExplainItsCrashes(t *testing.T) {
	l := NewLedger(DefaultPolicy)
	now := crashes(l, start, []string{"p", "x"}, []string{"q", "x"})
	assert.Assert(t, isBarred(l, "x", now), "sole candidate in two crashes")
	now = crashes(l, now, []string{"p"}, []string{"p"}, []string{"q"}, []string{"q"})
	assert.Assert(t, isBarred(l, "p", now) && isBarred(l, "q", now))
	assert.Assert(t, !isBarred(l, "x", now))
}

func TestAnAdoptedBarApplies(t *testing.T) {
	from, to := NewLedger(DefaultPolicy), NewLedger(DefaultPolicy)
	now := crashes(from, start, []string{"x"}, []string{"x"})
	for _, e := range from.All(now) {
		to.Adopt(e, now)
	}
	assert.Assert(t, isBarred(to, "x", now))
	crashes(to, now, []string{"x", "a"}) // was in progress when it was barred
	assert.Assert(t, isBarred(to, "x", now))
	transitions := to.TakeTransitions()
	assert.Equal(t, len(transitions), 1)
	assert.Equal(t, transitions[0].Cause, ByReport)
}

func TestEachChangeIsReturnedOnce(t *testing.T) {
	l := NewLedger(DefaultPolicy)
	now := crashes(l, start, []string{"x"}, []string{"x", "a"})
	first, at := l.ChangedSince(0, 1, now)
	assert.Equal(t, len(first), 1)
	remaining, at := l.ChangedSince(at, 10, now)
	assert.Equal(t, len(remaining), 1)
	assert.Equal(t, at, l.Revision())
	none, _ := l.ChangedSince(at, 10, now)
	assert.Equal(t, len(none), 0)
	l.Clear(named("x").Digest, now, now)
	cleared, _ := l.ChangedSince(at, 10, now)
	assert.Equal(t, len(cleared), 1)
	assert.Equal(t, cleared[0].State, Cleared)
}

// Guards against many new suspects that displace known poison requests, and against unbounded growth.
func TestAFloodOfSuspectsKeepsBars(t *testing.T) {
	l := NewLedger(DefaultPolicy)
	now := crashes(l, start, []string{"x"}, []string{"x"})
	for i := range 2 * maxCrashes {
		var ran []Fingerprint
		for j := range 16 {
			ran = append(ran, named(fmt.Sprint(i, "-", j)))
		}
		now = now.Add(10 * time.Millisecond)
		l.RecordCrash(fmt.Sprint("flood", i), ran, now, now)
	}
	assert.Assert(t, isBarred(l, "x", now))
	assert.Assert(t, len(l.entries) <= maxEntries)
	assert.Assert(t, len(l.crashes) <= maxCrashes)
	assert.Equal(t, len(l.All(now.Add(2*DefaultPolicy.CrashRetention))), 0)
}

// Property: whatever is recorded in whatever order, entries and crashes refer to each other,
// and no request is barred that ran in fewer crashes than a bar takes.
func TestEntriesAndCrashesStayConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewLedger(DefaultPolicy), start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40_000).Draw(t, "ms")) * time.Millisecond)
			m := named(rapid.StringMatching("[a-f]").Draw(t, "request"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				l.Clear(m.Digest, now, now)
			case 1:
				l.Release(m.Digest, now)
			default:
				l.RecordCrash(rapid.StringMatching("[u-z]{2}").Draw(t, "upstream"), []Fingerprint{m, named("g")}, now, now)
			}
			for d, e := range l.entries {
				for c := range e.crashes {
					assert.Assert(t, c.ran[d] && slices.Contains(l.crashes[c.upstream], c))
				}
				if e.State == Barred && e.BarCount == 1 {
					assert.Assert(t, e.CrashCount >= DefaultPolicy.MinSoleCrashes)
				}
			}
			for c := range l.allCrashes() {
				for d := range c.ran {
					assert.Assert(t, l.entries[d] != nil)
				}
			}
		}
	})
}

// BenchmarkCrash measures recording one crash with a full batch in a ledger that is full of suspects.
func BenchmarkCrash(b *testing.B) {
	l, now := NewLedger(DefaultPolicy), start
	i := 0
	for b.Loop() {
		var ran []Fingerprint
		for j := range 64 {
			ran = append(ran, named(fmt.Sprint(i, "-", j)))
		}
		i++
		now = now.Add(100 * time.Millisecond)
		l.RecordCrash(fmt.Sprint("u", i), ran, now, now)
	}
}

// BenchmarkShape measures what each request costs while its shape is not that of a suspect.
func BenchmarkShape(b *testing.B) {
	c := Content{Team: "team", Method: "POST", Host: "site.example", Target: "/v1/generate/0815?page=2", Body: make([]byte, 4700)}
	for b.Loop() {
		c.Shape()
	}
}

// BenchmarkDigest measures what a request costs that is compared with suspects, or suspected.
func BenchmarkDigest(b *testing.B) {
	c := Content{Team: "team", Method: "POST", Host: "site.example", Target: "/v1/generate/0815?page=2", Body: make([]byte, 4700)}
	for b.Loop() {
		c.Digest()
	}
}

// Guards against a cleared request that is barred again by a host which has not heard of the
// answer, or of the operator, that cleared it.
func TestABarOfBeforeItsEndIsNotAdopted(t *testing.T) {
	for name, end := range map[string]func(*Ledger, time.Time){
		"answered": func(l *Ledger, now time.Time) { l.Clear(named("x").Digest, now, now) },
		"released": func(l *Ledger, now time.Time) { l.Release(named("x").Digest, now) },
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(DefaultPolicy)
			now := crashes(l, start, []string{"x"}, []string{"x"})
			reported := l.All(now)
			end(l, now)
			for _, e := range reported {
				l.Adopt(e, now.Add(time.Second))
			}
			assert.Assert(t, !isBarred(l, "x", now.Add(time.Second)))
			other := NewLedger(DefaultPolicy)
			now = crashes(other, now.Add(2*time.Second), []string{"x"}, []string{"x"})
			for _, e := range other.All(now) {
				l.Adopt(e, now)
			}
			assert.Assert(t, isBarred(l, "x", now), "a later bar is")
		})
	}
}

// Guards against a harmless request that is barred since one host reported two crashes
// before the others, on whose reports another request ran there as well.
func TestASoleCandidateWaitsForTheReportsOfOtherHosts(t *testing.T) {
	l, now := NewLedger(SharedPolicy()), start
	for _, u := range []string{"u", "v"} {
		l.RecordCrash(u, []Fingerprint{named("harmless")}, now, now)
		now = now.Add(150 * time.Millisecond)
	}
	assert.Assert(t, !isBarred(l, "harmless", now))
	for _, u := range []string{"u", "v"} {
		l.RecordCrash(u, []Fingerprint{named("fatal")}, now, now)
	}
	now = now.Add(time.Second)
	l.All(now)
	assert.Assert(t, !isBarred(l, "harmless", now), "two candidates")
	l.RecordCrash("w", []Fingerprint{named("fatal")}, now, now)
	l.All(now.Add(time.Second))
	assert.Assert(t, isBarred(l, "fatal", now.Add(time.Second)))
	assert.Assert(t, !isBarred(l, "harmless", now.Add(time.Second)))
}

// Guards against a harmless request that is barred for minutes: copies of it run everywhere, and
// all upstreams crash under several poison requests before any copy is answered.
func TestARequestThatWasAnsweredBeforeIsBarredForSeconds(t *testing.T) {
	for _, answered := range []bool{true, false} {
		l, now := NewLedger(DefaultPolicy), start
		harmless := named("everywhere")
		harmless.Answered = answered
		for i := range 3 {
			now = now.Add(300 * time.Millisecond)
			l.RecordCrash(fmt.Sprint("u", i), []Fingerprint{harmless, named(fmt.Sprint("poison ", i))}, now, now)
		}
		until, barred := l.BarredUntil(harmless.Digest, now)
		assert.Assert(t, barred)
		assert.Equal(t, until.Sub(now) <= 3*time.Second, answered)
		if !answered {
			continue
		}
		for _, longest := range []time.Duration{6 * time.Second, 2 * time.Minute} { // it crashes upstreams indeed
			now = until.Add(time.Second)
			l.RecordCrash(fmt.Sprint("v", longest), []Fingerprint{harmless}, now, now)
			until, barred = l.BarredUntil(harmless.Digest, now)
			assert.Assert(t, barred)
			assert.Equal(t, until.Sub(now), longest)
		}
	}
}

// Guards against a harmless request that is barred for minutes: the host that reports its crashes has just started, and
// another one had answered it.
func TestAnotherHostsAnswerOfBeforeShortensABar(t *testing.T) {
	l, now := NewLedger(DefaultPolicy), start
	harmless, part := named("everywhere"), PartFingerprint("part", 1)
	l.Adopt(Entry{Fingerprint: harmless, State: Barred, BarCount: 1, BarredUntil: now.Add(2 * time.Minute)}, now)
	l.Adopt(Entry{Fingerprint: part, State: Barred, BarCount: 1, BarredUntil: now.Add(2 * time.Minute)}, now)
	now = now.Add(time.Second)
	for range 2 {
		l.RecordAnsweredBefore(harmless.Digest, now)
		l.RecordAnsweredBefore(part.Digest, now)
		l.RecordAnsweredBefore(named("unknown").Digest, now)
	}
	until, barred := l.BarredUntil(harmless.Digest, now)
	assert.Assert(t, barred)
	assert.Equal(t, until, start.Add(DefaultPolicy.AnsweredBar), "from its beginning on")
	until, _ = l.BarredUntil(part.Digest, now)
	assert.Equal(t, until, start.Add(2*time.Minute), "a part may have become harmful")
	changed, _ := l.ChangedSince(0, maxEntries, now)
	assert.Assert(t, slices.ContainsFunc(changed, func(e Entry) bool { return e.Digest == harmless.Digest && e.Answered }), "hosts are told")
}

// Guards against a request, or a part of prompts, that goes on to crash upstreams which come back under
// their ids, since their further crashes are taken for reports of the first one.
func TestAnUpstreamThatIsBackUnderItsIDCountsAgain(t *testing.T) {
	l, now := NewLedger(SharedPolicy()), start
	request, part := named("/x"), PartFingerprint("p", 1)
	for range 5 {
		now = now.Add(2 * time.Second)
		for range 3 { // hosts notice the same crash one after the other
			l.RecordCrash("u", []Fingerprint{request, part}, now, now)
			now = now.Add(200 * time.Millisecond)
		}
	}
	assert.Equal(t, l.entries[part.Digest].CrashCount, 5)
	_, ok := l.BarredUntil(request.Digest, now)
	assert.Assert(t, ok)
}
