package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/metrics"
)

// guarded is a Guard with a clock of the test's, linked or not.
type guarded struct {
	*Guard
	now    time.Time
	linked bool
}

func newGuarded(linked bool) *guarded {
	g := &guarded{now: time.Unix(1000, 0), linked: linked}
	g.Guard = NewGuard(GuardDeps{Connected: func() bool { return g.linked }, Metrics: metrics.New(), Now: func() time.Time { return g.now }})
	return g
}

func asked(text string) *poison.Request { return poison.NewRequest(poison.Content{Target: text}) }

func (g *guarded) barred(text string) bool {
	_, ok := g.Barred(asked(text))
	return ok
}

// ended notes two ends of upstreams under one request.
func (g *guarded) ended(text string) {
	for _, u := range []string{"u", "v"} {
		g.RecordCrash(u+text, g.now, []poison.Fingerprint{asked(text).Fingerprint()})
		g.now = g.now.Add(time.Second)
	}
}

// holder answers words as the host that acts for all does.
type holder struct {
	id     uint64
	ledger *poison.Ledger
}

func newHolder(id uint64) *holder { return &holder{id, poison.NewLedger(poison.DefaultPolicy)} }

func (h *holder) hear(g *guarded, address string) {
	w := g.NextReport(address)
	for _, e := range w.Barred {
		h.ledger.Adopt(e, g.now)
	}
	for _, n := range w.Events {
		switch {
		case n.Crash != nil:
			h.ledger.RecordCrash(n.Crash.Upstream, n.Crash.Running, n.Crash.At, g.now)
		case n.Completed != nil:
			h.ledger.Clear(*n.Completed, g.now)
		case n.Released != nil:
			h.ledger.Release(*n.Released, g.now)
		}
	}
	from := w.Revision
	if w.ID != h.id {
		from = 0
	}
	a := Update{ID: h.id}
	a.Changed, a.Revision = h.ledger.ChangedSince(from, 100, g.now)
	g.Acknowledge(w, a)
}

func TestAloneAHostGoesByWhatItSawItself(t *testing.T) {
	g := newGuarded(false)
	g.ended("x")
	assert.Assert(t, g.barred("x"))
	assert.Assert(t, !g.barred("y"))
	g.linked = true
	assert.Assert(t, g.barred("x"), "the host that acts for all is of a release that keeps no quarantine")
	newHolder(1).hear(g, "h")
	g.Release(asked("x").Fingerprint().Digest)
	g.ended("y")
	assert.Assert(t, !g.barred("y"), "the host that acts for all knows better")
}

// Guards against a report of megabytes from each of hundreds of hosts to a successor.
func TestEventsAreReportedInParts(t *testing.T) {
	g, h := newGuarded(true), newHolder(1)
	const crashes = 3 * reportMost
	for i := range crashes {
		g.RecordCrash(string(rune('a'+i)), g.now, []poison.Fingerprint{asked(string(rune('a' + i))).Fingerprint()})
	}
	for range crashes / reportMost {
		assert.Equal(t, len(g.NextReport("h").Events), reportMost)
		h.hear(g, "h")
	}
	assert.Equal(t, len(g.NextReport("h").Events), 0)
	suspected, _ := h.ledger.Counts()
	assert.Equal(t, suspected, crashes)
}

func TestWhatOneHostTellsBarsAtAll(t *testing.T) {
	a, b, h := newGuarded(true), newGuarded(true), newHolder(1)
	a.RecordCrash("u", a.now, []poison.Fingerprint{asked("x").Fingerprint()})
	b.RecordCrash("v", b.now, []poison.Fingerprint{asked("x").Fingerprint()})
	h.hear(a, "h")
	h.hear(b, "h")
	h.hear(a, "h")
	assert.Assert(t, a.barred("x") && b.barred("x"))
	assert.Equal(t, len(a.NextReport("h").Events), 0, "it was told once")
}

// Guards against knowledge that is lost with the host that acted for all.
func TestASuccessorHearsAll(t *testing.T) {
	g, first := newGuarded(true), newHolder(1)
	g.ended("x")
	g.RecordCrash("w", g.now, []poison.Fingerprint{asked("y").Fingerprint()})
	first.hear(g, "first")
	second := newHolder(2)
	second.hear(g, "second")
	assert.Assert(t, g.barred("x"))
	_, ok := second.ledger.BarredUntil(asked("x").Fingerprint().Digest, g.now)
	assert.Assert(t, ok)
	suspected, _ := second.ledger.Counts()
	assert.Equal(t, suspected, 1, "crashes are told again too")
	third := newHolder(3) // another process at the address of the second
	third.hear(g, "second")
	third.hear(g, "second")
	_, ok = third.ledger.BarredUntil(asked("x").Fingerprint().Digest, g.now)
	assert.Assert(t, ok)
	assert.Assert(t, g.barred("x"))
}

// Guards against a popular request that stays barred because it ran beside poisons at every upstream.
func TestARunToTheEndEndsABar(t *testing.T) {
	g, h := newGuarded(true), newHolder(1)
	g.ended("x")
	h.hear(g, "h")
	h.hear(g, "h")
	assert.Assert(t, g.barred("x"))
	g.RecordCompleted(asked("x"))
	assert.Assert(t, !g.barred("x"))
	h.hear(g, "h")
	h.hear(g, "h")
	assert.Assert(t, !g.barred("x"))
}

func TestAReleaseHoldsAtAllHosts(t *testing.T) {
	a, b, h := newGuarded(true), newGuarded(true), newHolder(1)
	a.ended("x")
	h.hear(a, "h")
	h.hear(b, "h")
	assert.Assert(t, b.barred("x"))
	assert.Assert(t, b.Release(asked("x").Fingerprint().Digest))
	assert.Assert(t, !b.Release(asked("x").Fingerprint().Digest))
	h.hear(b, "h")
	h.hear(a, "h")
	assert.Assert(t, !a.barred("x") && !b.barred("x"))
}

// BenchmarkBarred is what a request costs that nothing is held against, beside
// as many suspects as hosts are told.
func BenchmarkBarred(b *testing.B) {
	g := newGuarded(true)
	for i := range 1000 {
		g.RecordCrash(string(rune(i)), g.now, []poison.Fingerprint{asked(string(rune(i))).Fingerprint()})
	}
	r := poison.NewRequest(poison.Content{Method: "POST", Host: "site.example", Target: "/v1/generate/0815", Body: make([]byte, 4700)})
	for b.Loop() {
		g.Barred(r)
	}
}
