package query_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/class"
	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/core/revision"
	"peridotpier.example/node/command"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/query"
	"peridotpier.example/node/store"
	standin "peridotpier.example/standin/platform"
)

// site is the table and object store of one site, with the commands that write to
// them.
type site struct {
	table   *standin.Table
	objects *standin.Objects
	config  *command.Configuration
	doc     []byte
}

func newSite(t testing.TB) *site {
	doc, err := os.ReadFile("../../examples/kathmandu/config.json")
	assert.NilError(t, err)
	s := &site{table: standin.NewTable(), objects: standin.NewObjects(standin.NewFaults(1, nil)), doc: doc}
	s.config = command.NewConfiguration(command.Deps{Table: s.table, Objects: s.objects})
	return s
}

// smallSite returns a site with a document that is quick to read.
func smallSite(t testing.TB) *site {
	doc, err := json.Marshal(sized(2, 2, 1))
	assert.NilError(t, err)
	s := newSite(t)
	s.doc = doc
	return s
}

func (s *site) apply(t testing.TB, parent uint64, doc []byte) revision.Head {
	t.Helper()
	h, err := s.config.Apply(t.Context(), command.ApplyRequest{Author: "asha", Parent: parent, Document: doc})
	assert.NilError(t, err)
	return h
}

func (s *site) use(t testing.TB, preset string) revision.Head {
	t.Helper()
	h, err := s.config.UsePreset(t.Context(), command.UsePresetRequest{Author: "bina", Preset: preset})
	assert.NilError(t, err)
	return h
}

func (s *site) reader() *query.ConfigReader {
	return query.NewConfigReader(0, query.Deps{Table: s.table, Objects: s.objects})
}

func (s *site) changed(old, now string) []byte {
	return []byte(strings.Replace(string(s.doc), old, now, 1))
}

func TestApplyAndPresetTakeEffectWithTheirAuditEntry(t *testing.T) {
	s := newSite(t)
	_, err := s.config.UsePreset(t.Context(), command.UsePresetRequest{Author: "bina", Preset: "peak"})
	assert.ErrorContains(t, err, "apply one first")
	s.apply(t, 0, s.doc)
	s.use(t, "peak")
	s.use(t, "peak") // in force already: no change
	bulk := s.changed(`"weight": 40`, `"weight": 41`)
	h := s.apply(t, 2, bulk)
	assert.Equal(t, h.Version, uint64(3))
	assert.Equal(t, h.Preset, "peak", "a new configuration keeps the preset in force")

	var conflict *command.ConflictError
	_, err = s.config.Apply(t.Context(), command.ApplyRequest{Author: "late", Parent: 2, Document: s.doc})
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Current.Author, "asha")
	assert.Equal(t, fault.From(fault.StepConfig, err).Outcome, outcome.NotRun)
	var invalid *command.InvalidError
	_, err = s.config.Apply(t.Context(), command.ApplyRequest{Parent: 3, Document: s.changed(`"name": "peak"`, `"name": "rush"`)})
	assert.Assert(t, errors.As(err, &invalid), "the preset in force must exist")

	page, err := query.NewAuditReader(query.Deps{Table: s.table, Objects: s.objects}).Page(t.Context(), 0, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(page), 3)
	assert.DeepEqual(t, page[0].Changes, []string{"team couriers changed"})
	assert.DeepEqual(t, page[1].Changes, []string{"preset ordinary to peak"})
	assert.Equal(t, page[1].Author, "bina")
	assert.Equal(t, page[1].FromVersion, uint64(1))
	assert.Equal(t, page[1].FromPreset, "ordinary")
}

// Guards against two operators who are both told that their change took effect
// although one change is lost. Their changes have the same parent; answers are lost
// or late, and one is resolved after the other operator's attempt. It happens with a
// write without a condition, and with a lost answer that is treated as a failure and
// repeated as a new operation.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	type swap struct{ parent uint64 }
	register := porcupine.Model{
		Init: func() any { return uint64(1) },
		Step: func(state, input, output any) (bool, any) {
			ok := state.(uint64) == input.(swap).parent
			if !output.(bool) {
				return !ok, state
			}
			return ok, state.(uint64) + 1
		},
	}
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.SampledFrom([]float64{0, 0.2, 0.4})
		faults := standin.Settings{LostAnswers: share.Draw(rt, "answers"), LostRequests: share.Draw(rt, "requests") / 2,
			LateEffects: share.Draw(rt, "late") / 2, LateEffectDelay: 300 * time.Millisecond, Delay: 10 * time.Millisecond}
		var mu sync.Mutex
		var history []porcupine.Operation
		var last uint64
		synctest.Test(t, func(t *testing.T) {
			s := smallSite(t)
			s.apply(t, 0, s.doc)
			s.table.Faults.Set(faults)
			start := time.Now()
			var wg sync.WaitGroup
			for op := range 3 {
				wg.Go(func() {
					for parent := uint64(1); parent < 8; parent++ {
						called := int64(time.Since(start))
						preset := []string{"ordinary", "peak", "maintenance"}[(int(parent)+op)%3]
						h, err := s.config.UsePreset(context.Background(), command.UsePresetRequest{Author: fmt.Sprint(op), Parent: parent, Preset: preset})
						var conflict *command.ConflictError
						if err != nil && !errors.As(err, &conflict) || err == nil && h.Version == parent {
							continue // in force already, or the table refused: no swap
						}
						mu.Lock()
						history = append(history, porcupine.Operation{ClientId: op, Input: swap{parent}, Output: err == nil,
							Call: called, Return: int64(time.Since(start))})
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			s.table.WaitLateEffects()
			s.table.Faults.Set(standin.Settings{})
			page, err := query.NewAuditReader(query.Deps{Table: s.table, Objects: s.objects}).Page(t.Context(), 0, 100)
			assert.NilError(t, err)
			last = page[0].Version
			assert.Equal(t, uint64(len(page)), last, "one audit entry a version")
		})
		won := uint64(1)
		for _, o := range history {
			if o.Output.(bool) {
				won++
			}
		}
		if won != last || !porcupine.CheckOperations(register, history) {
			rt.Fatalf("%d winners, version %d, history not linearizable", won, last)
		}
	})
}

// Guards against a host that returns to an old configuration. Pushes arrive late,
// twice and in any order, between polls; the highest version must count, not the
// last message.
func TestAnyOrderOfOffersEndsAtTheHighestVersion(t *testing.T) {
	s := newSite(t)
	source := s.reader()
	var offers [][]byte
	for v := range uint64(6) {
		if v == 0 {
			s.apply(t, 0, s.doc)
		} else if v == 3 {
			s.apply(t, v, s.changed(`"weight": 40`, `"weight": 41`))
		} else {
			s.use(t, []string{"", "peak", "ordinary", "", "peak", "maintenance"}[v])
		}
		assert.NilError(t, source.Poll(t.Context()))
		_, data, ok := source.Snapshot(true)
		assert.Assert(t, ok)
		offers = append(offers, data)
	}
	rapid.Check(t, func(rt *rapid.T) {
		r, highest := s.reader(), uint64(0)
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(offers)-1), 1, 20).Draw(rt, "order") {
			v := uint64(i + 1)
			assert.NilError(rt, r.Offer(v, offers[i]))
			highest = max(highest, v)
			state, ok := r.Current()
			if !ok || state.Version != highest || state.Preset.Name != state.Head.Preset {
				rt.Fatalf("version %d in force, highest offered %d", state.Version, highest)
			}
		}
	})
	_, head, _ := source.Snapshot(false)
	r := s.reader()
	assert.NilError(t, r.Offer(6, head))
	_, ok := r.Current()
	assert.Assert(t, !ok, "a head alone is not enough for the first version")
	assert.NilError(t, r.Offer(5, offers[4]))
	assert.NilError(t, r.Offer(6, head))
	state, _ := r.Current()
	assert.Equal(t, state.Version, uint64(6), "a head is enough where its document is in force")

	r = s.reader()
	var wg sync.WaitGroup
	for i, data := range offers { // concurrently: each may see the state before the others are in force
		wg.Go(func() { assert.Check(t, r.Offer(uint64(i+1), data)) })
	}
	wg.Wait()
	bad := strings.Replace(string(offers[5]), `"version":6`, `"version":9`, 1)
	bad = strings.Replace(bad, `"digest":"`, `"digest":"00`, 1)
	assert.Assert(t, r.Offer(9, []byte(bad)) != nil, "a document that is not the one named is refused")
	state, _ = r.Current()
	assert.Equal(t, state.Version, uint64(6))
}

// Guards against a store outage that stops hosts from serving, and against a host
// that was cut off and serves an old configuration for ever. The store has an outage
// of 10 minutes, during which a host is replaced; another host gets no confirmation
// for longer than that.
func TestOutageKeepsServingAndOldVersionsAgeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.apply(t, 0, s.doc)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		r := s.reader()
		go func() { _ = r.Run(ctx) }()
		state, err := r.Next(ctx, 0)
		assert.NilError(t, err)
		s.use(t, "peak")
		next, err := r.Next(ctx, state.Version)
		assert.NilError(t, err)
		assert.Equal(t, next.Preset.Name, "peak")
		assert.Assert(t, next.Index == state.Index, "the same document keeps its index")
		assert.Equal(t, state.Preset.Name, "ordinary", "a state never changes")
		time.Sleep(time.Second)
		assert.Equal(t, r.Freshness(), revision.Confirmed)

		s.table.Faults.Update(func(f *standin.Settings) { f.Outage = true })
		time.Sleep(10 * time.Minute)
		assert.Equal(t, r.Freshness(), revision.Unconfirmed)
		assert.Assert(t, r.Freshness().Admits(class.Bulk))

		replaced := s.reader() // a new host: no table, but a peer
		_, data, _ := r.Snapshot(true)
		assert.NilError(t, replaced.Offer(next.Version, data))
		version, age, ok := r.Confirmation()
		assert.Assert(t, ok)
		replaced.ConfirmByPeer(version, age)
		assert.Equal(t, replaced.Freshness(), revision.Unconfirmed)
		replaced.ConfirmByPeer(version-1, 0)
		assert.Equal(t, replaced.Freshness(), revision.Unconfirmed, "a report of an older version confirms nothing")

		time.Sleep(6 * time.Minute)
		assert.Assert(t, !r.Freshness().Admits(class.Standard))
		assert.Assert(t, r.Freshness().Admits(class.Urgent))
		r.ConfirmByPeer(version, time.Second) // a peer reached the table
		assert.Equal(t, r.Freshness(), revision.Confirmed)
		s.table.Faults.Update(func(f *standin.Settings) { f.Outage = false })
		time.Sleep(time.Minute)
		assert.Equal(t, r.Freshness(), revision.Confirmed)
		stop()
		synctest.Wait()
	})
}

// Guards against an operator who is told that a change is in force everywhere while
// a host still has the old version, because a report arrived late or a host
// restarted.
func TestWaitingNamesHostsWithoutTheVersion(t *testing.T) {
	c := query.NewVersionTracker(nil)
	listed := []store.Host{{Name: "a", Role: store.RoleEntry, State: store.HostLive},
		{Name: "b", Role: store.RoleEntry, State: store.HostLive},
		{Name: "c", Role: store.RoleEntry, State: store.HostDraining}, {Name: "u", Role: store.RoleUpstream, State: store.HostLive}}
	c.Record("a", 5)
	c.Record("a", 4)
	c.Record("b", 4)
	waiting := c.HostsBelow(5, listed)
	assert.Equal(t, len(waiting), 1)
	assert.Equal(t, waiting[0].Host, "b")
	assert.Equal(t, waiting[0].Version, uint64(4))
	c.Record("b", 5)
	assert.Equal(t, len(c.HostsBelow(5, listed)), 0)
	c.Forget("a")
	assert.Equal(t, c.HostsBelow(5, listed)[0].Host, "a")
}

// Guards against audit entries that are missing or returned twice. An archiver moves
// batches while a reader fetches pages; a move is repeated after a lost answer; an
// archiver without the lease tries to move a batch as well.
func TestAuditIsWholeWhereverItIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := smallSite(t)
		s.apply(t, 0, s.doc)
		const versions = 730
		for v := 2; v <= versions; v++ {
			s.use(t, []string{"peak", "ordinary"}[v%2])
		}
		ctx, stop := context.WithCancel(t.Context())
		role := lease.New(lease.Config{Name: command.ArchiverLeaseName}, lease.Deps{Table: s.table})
		archiver := command.NewArchiver(command.Deps{Table: s.table, Objects: s.objects}, role)
		moved, err := archiver.ArchiveNext(ctx)
		assert.Assert(t, err == nil && !moved, "without the lease nothing moves")
		var wg sync.WaitGroup
		wg.Go(func() { _ = role.Run(ctx) })
		synctest.Wait()

		audit := query.NewAuditReader(query.Deps{Table: s.table, Objects: s.objects})
		s.table.Faults.Update(func(f *standin.Settings) { f.LostAnswers = 0.5 })
		before, seen := uint64(0), 0
		for {
			page, err := audit.Page(ctx, before, 70)
			assert.NilError(t, err)
			for _, e := range page {
				assert.Equal(t, e.Version, uint64(versions-seen))
				seen++
			}
			if len(page) < 70 {
				break
			}
			before = page[len(page)-1].Version
			_, err = archiver.ArchiveNext(ctx)
			assert.NilError(t, err)
		}
		assert.Equal(t, seen, versions)
		rows, err := s.table.List(ctx, revision.AuditPrefix, "", 1000)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), versions-200, "two batches are older than the newest 500 entries")
		stop()
		wg.Wait()
	})
}

func BenchmarkOfferAtDesignSize(b *testing.B) {
	doc, err := json.Marshal(designSize())
	assert.NilError(b, err)
	s := newSite(b)
	s.apply(b, 0, doc)
	source := s.reader()
	assert.NilError(b, source.Poll(b.Context()))
	_, data, _ := source.Snapshot(true)
	before := liveBytes()
	kept := s.reader()
	assert.NilError(b, kept.Offer(1, data))
	live := liveBytes() - before
	b.ReportAllocs()
	for b.Loop() {
		assert.NilError(b, s.reader().Offer(1, data))
	}
	runtime.KeepAlive(kept)
	b.ReportMetric(float64(live), "live-bytes")
	b.ReportMetric(float64(len(doc)), "document-bytes")
	b.ReportMetric(float64(len(data)), "offer-bytes")
}

func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func BenchmarkOfferPresetAtDesignSize(b *testing.B) {
	doc, err := json.Marshal(designSize())
	assert.NilError(b, err)
	s := newSite(b)
	s.apply(b, 0, doc)
	r := s.reader()
	assert.NilError(b, r.Poll(b.Context()))
	state, _ := r.Current()
	snap := revision.Snapshot{Head: state.Head}
	bytes := 0
	b.ReportAllocs()
	for b.Loop() {
		snap.Head.Version++
		data, err := json.Marshal(snap)
		assert.NilError(b, err)
		bytes = len(data)
		assert.NilError(b, r.Offer(snap.Head.Version, data))
	}
	b.ReportMetric(float64(bytes), "push-bytes")
}

// Guards against a configuration that reverts, and a version number that is given out
// again, after the table was restored from a copy without the version in force.
func TestAVersionThatARestoredTableHasLostIsWrittenAgain(t *testing.T) {
	s := newSite(t)
	s.apply(t, 0, s.doc)
	copied := s.table.Copy()
	s.apply(t, 1, s.changed(`"weight": 40`, `"weight": 41`))
	h := s.apply(t, 2, s.changed(`"weight": 40`, `"weight": 42`))
	reader := query.NewConfigReader(0, query.Deps{Table: s.table, Objects: s.objects, OnLost: s.config.Rewrite})
	assert.NilError(t, reader.Poll(t.Context()))
	s.table.Restore(copied)
	assert.NilError(t, reader.Poll(t.Context()))
	fresh := s.reader()
	assert.NilError(t, fresh.Poll(t.Context()))
	st, ok := fresh.Current()
	assert.Assert(t, ok && st.Version == 3 && st.Head.Digest == h.Digest)
	page, err := query.NewAuditReader(query.Deps{Table: s.table, Objects: s.objects}).Page(t.Context(), 0, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(page), 3)
	assert.Equal(t, page[1].Action, revision.ActionRewrite, "who made it is lost, and said to be")
	assert.Equal(t, s.apply(t, 3, s.doc).Version, uint64(4))
}
