package quarantine

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/metrics"
)

// testGuard is a Guard with a clock that the test sets, connected to an acting
// coordinator or not.
type testGuard struct {
	*Guard
	now       time.Time
	connected bool
}

func newTestGuard(connected bool) *testGuard {
	g := &testGuard{now: time.Unix(1000, 0), connected: connected}
	g.Guard = NewGuard(GuardDeps{Connected: func() bool { return g.connected }, Metrics: metrics.New(), Now: func() time.Time { return g.now }})
	return g
}

func requestFor(text string) *poison.Request {
	return poison.NewRequest(poison.Content{Target: text}, nil)
}

func (g *testGuard) barred(text string) bool {
	_, ok := g.Barred(requestFor(text))
	return ok
}

// crash records the termination of two upstreams while one request ran there.
func (g *testGuard) crash(text string) {
	for _, u := range []string{"u", "v"} {
		g.RecordCrash(u+text, g.now, []poison.Fingerprint{requestFor(text).Fingerprint(0)})
		g.now = g.now.Add(time.Second)
	}
}

// testCoordinator answers reports as the acting coordinator does.
type testCoordinator struct {
	id     uint64
	ledger *poison.Ledger
}

func newTestCoordinator(id uint64) *testCoordinator {
	return &testCoordinator{id, poison.NewLedger(poison.DefaultPolicy)}
}

func (h *testCoordinator) exchange(g *testGuard, address string) {
	report := g.NextReport(address)
	for _, e := range report.Barred {
		h.ledger.Adopt(e, g.now)
	}
	for _, e := range report.Events {
		switch {
		case e.Crash != nil:
			h.ledger.RecordCrash(e.Crash.Upstream, e.Crash.Running, e.Crash.At, g.now)
		case e.Completed != nil:
			h.ledger.Clear(*e.Completed, e.At, g.now)
		case e.Answered != nil:
			h.ledger.RecordAnsweredBefore(*e.Answered, g.now)
		case e.Released != nil:
			h.ledger.Release(*e.Released, g.now)
		}
	}
	from := report.Revision
	if report.ID != h.id {
		from = 0
	}
	update := Update{ID: h.id}
	update.Changed, update.Revision = h.ledger.ChangedSince(from, 100, g.now)
	g.Acknowledge(report, update)
}

func TestADisconnectedHostUsesItsOwnObservations(t *testing.T) {
	g := newTestGuard(false)
	g.crash("x")
	assert.Assert(t, g.barred("x"))
	assert.Assert(t, !g.barred("y"))
	g.connected = true
	assert.Assert(t, g.barred("x"), "the acting coordinator is of a release that keeps no quarantine")
	newTestCoordinator(1).exchange(g, "h")
	g.Release(requestFor("x").Fingerprint(0).Digest)
	g.crash("y")
	assert.Assert(t, !g.barred("y"), "the acting coordinator knows better")
}

// Guards against reports of megabytes from hundreds of hosts at once to a
// coordinator that has just taken over.
func TestEventsAreReportedInParts(t *testing.T) {
	g, h := newTestGuard(true), newTestCoordinator(1)
	const crashes = 3 * maxEventsPerReport
	for i := range crashes {
		g.RecordCrash(string(rune('a'+i)), g.now, []poison.Fingerprint{requestFor(string(rune('a' + i))).Fingerprint(0)})
	}
	for range crashes / maxEventsPerReport {
		assert.Equal(t, len(g.NextReport("h").Events), maxEventsPerReport)
		h.exchange(g, "h")
	}
	assert.Equal(t, len(g.NextReport("h").Events), 0)
	suspected, _ := h.ledger.Counts()
	assert.Equal(t, suspected, crashes)
}

// Guards against a report that changes while it is encoded, without the guard's lock.
func TestAReportKeepsItsEventsWhileSuspectsAreCleared(t *testing.T) {
	g := newTestGuard(true)
	x, y := requestFor("x"), requestFor("y")
	g.RecordCrash("u", g.now, []poison.Fingerprint{x.Fingerprint(0), y.Fingerprint(0)})
	report := g.NextReport("h")
	encoded := make(chan int)
	go func() { encoded <- len(report.Events[0].Crash.Running) }()
	g.RecordCompleted(x, Completion{Began: g.now})
	assert.Equal(t, <-encoded, 2)
	assert.Equal(t, len(report.Events[0].Crash.Running), 2)
	assert.Equal(t, len(g.NextReport("h").Events[0].Crash.Running), 1, "what has not been reported yet names the others only")
}

func TestReportsOfHostsBarARequestAtAllHosts(t *testing.T) {
	a, b, h := newTestGuard(true), newTestGuard(true), newTestCoordinator(1)
	a.RecordCrash("u", a.now, []poison.Fingerprint{requestFor("x").Fingerprint(0)})
	b.RecordCrash("v", b.now, []poison.Fingerprint{requestFor("x").Fingerprint(0)})
	h.exchange(a, "h")
	h.exchange(b, "h")
	h.exchange(a, "h")
	assert.Assert(t, a.barred("x") && b.barred("x"))
	assert.Equal(t, len(a.NextReport("h").Events), 0, "each event is reported once")
}

// Guards against losing what is known when the acting coordinator terminates.
func TestASuccessorReceivesEverything(t *testing.T) {
	g, first := newTestGuard(true), newTestCoordinator(1)
	g.crash("x")
	g.RecordCrash("w", g.now, []poison.Fingerprint{requestFor("y").Fingerprint(0)})
	first.exchange(g, "first")
	second := newTestCoordinator(2)
	second.exchange(g, "second")
	assert.Assert(t, g.barred("x"))
	_, ok := second.ledger.BarredUntil(requestFor("x").Fingerprint(0).Digest, g.now)
	assert.Assert(t, ok)
	suspected, _ := second.ledger.Counts()
	assert.Equal(t, suspected, 1, "crashes are reported again too")
	third := newTestCoordinator(3) // another process at the address of the second
	third.exchange(g, "second")
	third.exchange(g, "second")
	_, ok = third.ledger.BarredUntil(requestFor("x").Fingerprint(0).Digest, g.now)
	assert.Assert(t, ok)
	assert.Assert(t, g.barred("x"))
}

// Guards against a bar that ends with the term in which it began: the same host acts again, and
// only suspects, by the crashes that the store has, what it had barred.
func TestABarOutlivesTheTermInWhichItBegan(t *testing.T) {
	x := requestFor("x").Fingerprint(0)
	g, first := newTestGuard(true), newTestCoordinator(1)
	crashes := []poison.Crash{{Upstream: "u", At: g.now, Ran: []poison.Fingerprint{x}}, {Upstream: "v", At: g.now.Add(time.Second), Ran: []poison.Fingerprint{x}}}
	for _, c := range crashes { // reported by others
		first.ledger.RecordCrash(c.Upstream, c.Ran, c.At, c.At)
	}
	g.now = g.now.Add(2 * time.Second)
	first.exchange(g, "h")
	until, ok := g.Barred(requestFor("x"))
	assert.Assert(t, ok)
	for term := range uint64(3) {
		next := newTestCoordinator(2 + term)
		next.ledger.AdoptCrashes(crashes[:1], g.now)
		for range 20 {
			next.exchange(g, "h")
			assert.Assert(t, g.barred("x"))
			g.now = g.now.Add(200 * time.Millisecond)
		}
		now, ok := next.ledger.BarredUntil(x.Digest, g.now)
		assert.Assert(t, ok)
		assert.Equal(t, now, until)
	}
}

// Guards against a popular request that stays barred because it ran beside
// poisonous requests at every upstream.
func TestARunToTheEndEndsABar(t *testing.T) {
	g, h := newTestGuard(true), newTestCoordinator(1)
	g.crash("x")
	h.exchange(g, "h")
	h.exchange(g, "h")
	assert.Assert(t, g.barred("x"))
	g.RecordCompleted(requestFor("x"), Completion{Began: g.now})
	assert.Assert(t, !g.barred("x"))
	h.exchange(g, "h")
	h.exchange(g, "h")
	assert.Assert(t, !g.barred("x"))
}

func TestAReleaseHoldsAtAllHosts(t *testing.T) {
	a, b, h := newTestGuard(true), newTestGuard(true), newTestCoordinator(1)
	a.crash("x")
	h.exchange(a, "h")
	h.exchange(b, "h")
	assert.Assert(t, b.barred("x"))
	assert.Assert(t, b.Release(requestFor("x").Fingerprint(0).Digest))
	assert.Assert(t, !b.Release(requestFor("x").Fingerprint(0).Digest))
	h.exchange(b, "h")
	h.exchange(a, "h")
	assert.Assert(t, !a.barred("x") && !b.barred("x"))
}

// BenchmarkBarred measures the cost for a request that is not suspected, while
// there are a thousand suspects.
func BenchmarkBarred(b *testing.B) {
	g := newTestGuard(true)
	for i := range 1000 {
		g.RecordCrash(string(rune(i)), g.now, []poison.Fingerprint{requestFor(string(rune(i))).Fingerprint(0)})
	}
	r := poison.NewRequest(poison.Content{Method: "POST", Host: "site.example", Target: "/v1/generate/0815", Body: make([]byte, 4700)}, nil)
	for b.Loop() {
		g.Barred(r)
	}
}

// promptParts are the parts of a prompt that other requests may share.
type promptParts []string

func (p promptParts) Len() int        { return len(p) }
func (p promptParts) ID(i int) string { return p[i] }

func promptFor(text string, parts ...string) *poison.Request {
	return poison.NewRequest(poison.Content{Target: text}, promptParts(parts))
}

// crashPart records crashes of upstreams that ran different requests with the same parts.
func (g *testGuard) crashPart(parts ...string) {
	for i := range poison.DefaultPolicy.MinBlindPartCrashes {
		r := promptFor(fmt.Sprint("request ", i), parts...)
		g.RecordCrash(fmt.Sprint("u", i), g.now, r.Suspects())
		g.now = g.now.Add(time.Second)
	}
	g.now = g.now.Add(poison.DefaultPolicy.FirstPartSettleTime)
}

// Guards against a part that only the host which saw the crashes bars, and against a bar
// that is lost with the coordinator.
func TestABarOfAPartHoldsForOtherRequestsAtAllHosts(t *testing.T) {
	a, b, h := newTestGuard(true), newTestGuard(true), newTestCoordinator(1)
	a.crashPart("first", "bad")
	b.now = a.now
	h.exchange(a, "h")
	h.exchange(b, "h")
	_, barred := b.Barred(promptFor("another", "other", "bad"))
	assert.Assert(t, barred)
	_, barred = b.Barred(promptFor("another", "first", "other"))
	assert.Assert(t, !barred)
	next := newTestCoordinator(2)
	next.exchange(b, "next")
	_, barred = b.Barred(promptFor("another", "other", "bad"))
	assert.Assert(t, barred)
}

// Guards against a part that an answer clears which began before the part turned harmful.
func TestAnAnswerThatBeganEarlierDoesNotClearAPart(t *testing.T) {
	g := newTestGuard(false)
	began := g.now
	g.now = g.now.Add(time.Second)
	g.RecordCrash("u", g.now, promptFor("x", "part").Suspects())
	suspects := len(g.Entries())
	g.RecordCompleted(promptFor("y", "part"), Completion{Began: began})
	assert.Equal(t, len(g.Entries()), suspects)
	g.RecordCompleted(promptFor("y", "part"), Completion{Began: g.now.Add(time.Millisecond)})
	assert.Equal(t, len(g.Entries()), suspects-1)
}

// Guards against a request that crashes several upstreams, one after the other, through a host that knows
// of enough crashes under a part of its prompt.
func TestARequestWithAHeavySuspectIsNotRepeated(t *testing.T) {
	g := newTestGuard(false)
	for i := range poison.DefaultPolicy.MinBlindPartCrashes {
		assert.Assert(t, g.MayRepeat(promptFor("y", "part")))
		g.RecordCrash(fmt.Sprint("u", i), g.now, promptFor(fmt.Sprint(i), "part").Suspects())
	}
	assert.Assert(t, !g.MayRepeat(promptFor("y", "part")))
	assert.Assert(t, g.MayRepeat(promptFor("0", "other")))
	g.RecordCompleted(promptFor("y", "part"), Completion{Began: g.now.Add(time.Millisecond)})
	assert.Assert(t, g.MayRepeat(promptFor("y", "part")), "answered since")
}

// Guards against a host without a coordinator that never bars a part, because nothing
// happens when the part has gone without an answer for long enough.
func TestADisconnectedHostBarsAPartInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGuard(GuardDeps{Connected: func() bool { return false }, Metrics: metrics.New()})
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = g.Run(ctx) }()
		for i := range poison.DefaultPolicy.MinBlindPartCrashes {
			g.RecordCrash(fmt.Sprint("u", i), time.Now(), promptFor(fmt.Sprint(i), "bad", "x").Suspects())
			time.Sleep(100 * time.Millisecond)
		}
		_, barred := g.Barred(promptFor("y", "other", "x"))
		assert.Assert(t, !barred, "it may still be answered")
		time.Sleep(poison.DefaultPolicy.FirstPartSettleTime + 2*refreshInterval)
		_, barred = g.Barred(promptFor("y", "other", "x"))
		assert.Assert(t, barred)
		stop()
		synctest.Wait()
	})
}

// Guards against a harmless request that a new coordinator bars by crashes of before its
// answers: the host that received these is gone, and the others report their crashes again.
func TestASuccessorDoesNotHearOfCrashesBeforeAnAnswer(t *testing.T) {
	g, other := newTestGuard(true), newTestGuard(true)
	first, next := newTestCoordinator(1), newTestCoordinator(2)
	g.crash("/x")
	other.now = g.now
	first.exchange(g, "first")
	first.exchange(other, "first")
	other.RecordCompleted(requestFor("/x"), Completion{Began: other.now})
	first.exchange(other, "first")
	first.exchange(g, "first")
	next.exchange(g, "next")
	next.exchange(g, "next")
	assert.Assert(t, !g.barred("/x"))
	assert.Equal(t, len(next.ledger.All(g.now)), 0)
}

// Guards against requests that count as answered before and were not: their crashes would be followed by short bars.
func TestOnlyTheSameRequestWasAnsweredBefore(t *testing.T) {
	g := newTestGuard(true)
	answered := poison.Content{Method: "POST", Target: "/x"}
	g.RecordCompleted(poison.NewRequest(answered, nil), Completion{Began: g.now})
	assert.Assert(t, g.AnsweredBefore(poison.NewRequest(answered, nil)))
	for name, c := range map[string]poison.Content{
		"another body":   {Method: "POST", Target: "/x", Body: []byte("other")},
		"another team":   {Method: "POST", Target: "/x", Team: "other"},
		"another path":   {Method: "POST", Target: "/y"},
		"a moved byte":   {Method: "POST/", Target: "x"},
		"a large body":   {Method: "POST", Target: "/x", Body: make([]byte, 1<<20)},
		"another method": {Method: "GET", Target: "/x"},
	} {
		assert.Assert(t, !g.AnsweredBefore(poison.NewRequest(c, nil)), name)
	}
	g.now = g.now.Add(2*answeredFor + time.Second)
	assert.Assert(t, !g.AnsweredBefore(poison.NewRequest(answered, nil)), "that was long ago")
}

// BenchmarkRecordCompleted measures what each answered request costs while nothing is suspected.
func BenchmarkRecordCompleted(b *testing.B) {
	g := newTestGuard(true)
	r := poison.NewRequest(poison.Content{Method: "POST", Host: "site.example", Target: "/a/b", Body: make([]byte, 4700)}, nil)
	for b.Loop() {
		g.RecordCompleted(r, Completion{Began: g.now})
	}
}

// Guards against a harmless request that all hosts refuse for minutes: one that has just started barred it, and the
// others, which had answered it, do not say so.
func TestAHostSaysThatItHadAnsweredWhatIsBarred(t *testing.T) {
	old, started, coordinator := newTestGuard(true), newTestGuard(false), newTestCoordinator(1)
	old.RecordCompleted(requestFor("/x"), Completion{Began: old.now})
	started.crash("/x")
	old.now = started.now
	assert.Assert(t, started.barred("/x"))
	coordinator.exchange(started, "c")
	coordinator.exchange(old, "c")
	assert.Assert(t, old.barred("/x"))
	assert.Assert(t, old.barred("/x"))
	assert.Equal(t, len(old.NextReport("c").Events), 1, "once")
	coordinator.exchange(old, "c")
	for _, g := range []*testGuard{old, started} {
		g.now = g.now.Add(poison.DefaultPolicy.AnsweredBar)
		coordinator.exchange(g, "c")
	}
	assert.Assert(t, !old.barred("/x"))
}
