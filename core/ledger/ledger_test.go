package ledger

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/config"
)

var (
	t0     = time.Unix(1_000_000, 0).UTC()
	bounds = DefaultBounds()
	alpha  = Artifact{Model: "alpha", Version: "1"}
	beta   = Artifact{Model: "beta", Version: "1"}
	tint   = Artifact{Model: "alpha", Adapter: "tint", Version: "1"}
)

// rowWith returns a row with a capacity of 100 and a first report with the
// residents.
func rowWith(fencing config.Fencing, residents ...Resident) Row {
	r, _ := New("u", 100, fencing).Observe(bounds, report("i1", 1, 0, t0, residents...))
	return r
}

func report(incarnation string, seq, epoch uint64, read time.Time, residents ...Resident) Report {
	used := 0
	for _, m := range residents {
		used += m.MemoryMB
	}
	return Report{Incarnation: incarnation, Sequence: seq, Epoch: epoch, UsedMB: used, Residents: residents, Read: read}
}

func ready(a Artifact, mb int) Resident { return Resident{Artifact: a, State: Ready, MemoryMB: mb} }

func mustReserve(t *testing.T, r Row, now time.Time, epoch uint64, change Change) (Row, Charge) {
	t.Helper()
	next, c, err := r.Reserve(now, bounds, epoch, "op", change)
	assert.NilError(t, err)
	return next, c
}

func TestReserveRefuses(t *testing.T) {
	full := rowWith(config.FencingChecked, ready(alpha, 60), ready(tint, 10))
	withCharge, _ := mustReserve(t, full, t0, 5, Change{Load, beta, 30})
	for _, c := range []struct {
		name string
		row  Row
		want Change
		err  error
	}{
		{"no report yet", New("u", 100, config.FencingChecked), Change{Load, beta, 1}, ErrNoReport},
		{"too large", full, Change{Load, beta, 31}, ErrNoRoom},
		{"room taken by an unconfirmed order", withCharge, Change{Load, Artifact{Model: "gamma"}, 1}, ErrNoRoom},
		{"adapter without its base", full, Change{Load, Artifact{Model: "beta", Adapter: "x"}, 1}, ErrNoBase},
		{"base with its adapter resident", full, Change{Unload, alpha, 0}, ErrAdaptersResident},
		{"unload of an artifact that is not resident", full, Change{Unload, beta, 0}, ErrNotResident},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := c.row.Reserve(t0, bounds, 5, "op", c.want)
			assert.ErrorIs(t, err, c.err)
		})
	}
	_, _, err := withCharge.Reserve(t0, bounds, 4, "op", Change{Unload, tint, 0})
	assert.ErrorIs(t, err, ErrOldEpoch)
}

// Guards against two models where one fits, after an order whose outcome was never
// reported. A load order is lost, and reports go on without it; they must not be
// treated as proof that it will never run, or another model is loaded.
func TestLostOrderStaysCharged(t *testing.T) {
	r, c := mustReserve(t, rowWith(config.FencingIgnored), t0, 1, Change{Load, alpha, 80})
	for s := range 100 {
		r, _ = r.Observe(bounds, report("i1", uint64(s+2), 0, t0.Add(time.Duration(s)*time.Second)))
		assert.Equal(t, r.CommittedMB(), 80)
	}
	r, changed := r.Observe(bounds, report("i1", 200, 0, c.Until))
	assert.Assert(t, changed)
	assert.Equal(t, r.CommittedMB(), 0)
}

// Guards against an engine that holds a model which the ledger counts as free, so
// that the next load overcommits its memory. After a load and an unload, the
// report shows the model gone; then a delayed copy of the load order arrives, and
// the engine loads again. This happens with an engine that ignores fences; an
// engine that checks them refuses the copy.
func TestLateOrderAfterItsSuccessor(t *testing.T) {
	for _, c := range []struct {
		fencing config.Fencing
		charged int
	}{{config.FencingChecked, 0}, {config.FencingIgnored, 80}} {
		r, load := mustReserve(t, rowWith(c.fencing), t0, 1, Change{Load, alpha, 80})
		r, _ = r.Observe(bounds, report("i1", 2, load.Fence, t0.Add(time.Second), ready(alpha, 80)))
		r, unload := mustReserve(t, r, t0.Add(2*time.Second), 1, Change{Unload, alpha, 0})
		assert.Assert(t, unload.Fence > load.Fence)
		assert.Assert(t, !r.IsConfirmedReady(alpha))
		r, _ = r.Observe(bounds, report("i1", 3, unload.Fence, t0.Add(3*time.Second)))
		assert.Equal(t, r.CommittedMB(), c.charged, c.fencing)
	}
}

// Guards against overcommitted memory after an engine restarted. The new process
// reports empty memory; then a report of another process, unknown so far and in
// truth older, is received. Incarnations are not always first seen in the order in
// which they ran, so the memory of neither may be released at once.
func TestRestartCarriesWhatWasResident(t *testing.T) {
	r := rowWith(config.FencingChecked, ready(alpha, 80))
	r, _ = r.Observe(bounds, report("i2", 1, 0, t0.Add(time.Second)))
	assert.Equal(t, r.FreeMB(), 20)
	r, again := mustReserve(t, r, t0.Add(time.Second), 1, Change{Load, alpha, 80}) // needs no more memory
	assert.Equal(t, r.FreeMB(), 20)
	r, changed := r.Observe(bounds, report("i1", 1, 0, t0.Add(2*time.Second), ready(alpha, 80)))
	assert.Assert(t, !changed, "a late report of the former process")
	assert.Equal(t, r.Incarnation(), "i2")
	r, _ = r.Observe(bounds, report("i2", 9, again.Fence, t0.Add(2*time.Minute), ready(beta, 10)))
	r, _ = r.Observe(bounds, report("i2", 10, again.Fence+1, t0.Add(2*time.Minute), ready(beta, 10)))
	assert.Equal(t, r.CommittedMB(), 10)
}

func TestUnaccountedMemoryIsCharged(t *testing.T) {
	rep := report("i1", 2, 0, t0, ready(alpha, 40))
	rep.UsedMB = 70
	r, _ := rowWith(config.FencingChecked).Observe(bounds, rep)
	assert.Equal(t, r.FreeMB(), 30)
}

func TestRowKeepsItsMeaningAsJSON(t *testing.T) {
	r, c := mustReserve(t, rowWith(config.FencingIgnored, ready(alpha, 50)), t0, 3, Change{Load, beta, 20})
	data, err := json.Marshal(r)
	assert.NilError(t, err)
	var back Row
	assert.NilError(t, json.Unmarshal(data, &back))
	assert.DeepEqual(t, back, r)
	assert.Equal(t, len(back.Pending(t0)), 1)
	assert.Equal(t, len(back.Pending(c.SendBy.Add(1))), 0)
	assert.ErrorIs(t, c.CheckSendWindow(c.SendBy.Add(1)), ErrPastWindow)
}

func BenchmarkObserveReserve(b *testing.B) {
	r := rowWith(config.FencingChecked, ready(alpha, 40), ready(tint, 5))
	b.ReportAllocs()
	for i := range b.N {
		next, _, _ := r.Reserve(t0, bounds, 1, "op", Change{Load, beta, 30})
		next.Observe(bounds, report("i1", uint64(i+2), 0, t0, ready(alpha, 40), ready(tint, 5)))
	}
}

// Guards against an engine that exceeds its memory right after a model returned to
// it. A model is unloaded while requests run on it, so that its memory is not free
// yet; a plan loads it again on the same engine, which holds both copies, while
// the ledger counts an artifact once.
func TestAnArtifactBeingUnloadedIsNotLoadedAgain(t *testing.T) {
	x := Artifact{Model: "x", Version: "1"}
	load := Change{Kind: Load, Artifact: x, MemoryMB: 60}
	row := rowWith(config.FencingChecked, ready(x, 60))
	unconfirmed, _ := mustReserve(t, row, t0, 1, Change{Kind: Unload, Artifact: x})
	unloading, _ := unconfirmed.Observe(DefaultBounds(), report("i1", 8, unconfirmed.Fence, t0.Add(time.Second), Resident{Artifact: x, State: Unloading, MemoryMB: 60}))
	for name, r := range map[string]Row{"unconfirmed order": unconfirmed, "unloading": unloading} {
		_, _, err := r.Reserve(t0, DefaultBounds(), 1, "again", load)
		assert.ErrorIs(t, err, ErrMayBeResident, name)
	}
	unloaded, _ := unloading.Observe(DefaultBounds(), report("i1", 9, unconfirmed.Fence, t0.Add(2*time.Second)))
	_, _, err := unloaded.Reserve(t0, DefaultBounds(), 1, "again", load)
	assert.NilError(t, err)
}
