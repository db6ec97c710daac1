package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
	standin "peridotpier.example/standin/platform"
)

func newTestLedger(k *clock, tb store.Table) *Ledger {
	return New(Deps{Table: tb, Log: event.NewLog(nil), Now: func() time.Time { return k.now }})
}

// clock is the time of a test's ledger.
type clock struct{ now time.Time }

// Guards against a site that crashes on a request which was barred, without a word: the row
// of its bar cannot be read after all hosts were lost.
func TestUnreadableBarsAreTold(t *testing.T) {
	core, lines := observer.New(zap.DebugLevel)
	now := time.Unix(1_700_000_000, 0)
	q := newTestLedger(&clock{now}, nil)
	q.deps.Log = event.NewLog(zap.New(core))
	digest := poison.Digest{1}
	q.adoptRows(q.id, 0, []store.Row{
		{Key: table + digest.String(), Value: []byte("7x")},
		{Key: table + "no digest", Value: []byte("{}")},
		{Key: table + poison.Digest{2}.String(), Value: []byte("{}")},
		{Key: table + poison.Digest{3}.String(), Value: []byte("null")},
	})
	told := lines.FilterMessage("request_bars_unreadable").All()
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].ContextMap()["rows"], int64(4))
	assert.Equal(t, told[0].ContextMap()["first"], table+digest.String())
	assert.Equal(t, len(q.barChangesLocked(now)), 0, "they stay as they are")
}

// crashOf is a host's report of a crash under a request and a part of prompts.
func crashOf(upstream string, part poison.Fingerprint) *coordpb.HostReport {
	request := (&poison.Content{Target: upstream}).Fingerprint()
	return &coordpb.HostReport{Host: "h", Crashes: []*coordpb.UpstreamCrash{{Upstream: upstream,
		Running: []*coordpb.RequestMark{wire.EncodeFingerprint(request)}, Parts: wire.EncodeParts([]poison.Fingerprint{part})}}}
}

// commitLease returns the condition that a coordinator's writes have.
func commitLease(t *testing.T, tb store.Table) store.Cond {
	t.Helper()
	v, err := tb.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: "lease/l"}}})
	assert.NilError(t, err)
	return store.Cond{Key: "lease/l", Version: v}
}

// Guards against a fatal part that starts with no crash again after a loss of all hosts.
func TestCrashesOutliveTheLossOfAllHosts(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	tb := standin.NewTable()
	guard := commitLease(t, tb)
	q := newTestLedger(k, tb)
	assert.NilError(t, q.sync(context.Background(), guard)) // the read
	part := poison.PartFingerprint("fatal", 1)
	for i := range poison.DefaultPolicy.MinBlindPartCrashes {
		q.Receive(crashOf(fmt.Sprint("u", i), part), k.now)
		assert.NilError(t, q.sync(context.Background(), guard))
		k.now = k.now.Add(crashesInterval)
	}
	next := newTestLedger(k, tb)
	assert.NilError(t, next.sync(context.Background(), guard))
	k.now = k.now.Add(poison.DefaultPolicy.PartSettleTime)
	next.ledger.ChangedSince(0, 1, k.now)
	_, barred := next.ledger.BarredUntil(part.Digest, k.now)
	assert.Assert(t, barred)
}

// Guards against harmless parts that are suspected again in the next term although they were answered.
func TestAnsweredSuspectsAreDeletedFromTheStore(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	tb := standin.NewTable()
	guard := commitLease(t, tb)
	q := newTestLedger(k, tb)
	part := poison.PartFingerprint("harmless", 1)
	q.Receive(crashOf("u", part), k.now)
	q.Receive(crashOf("v", part), k.now)
	for range 2 {
		assert.NilError(t, q.sync(context.Background(), guard))
	}
	kept, err := tb.Get(context.Background(), crashesKey)
	assert.NilError(t, err)
	assert.Equal(t, len(kept), 1)
	q.Receive(&coordpb.HostReport{Host: "h", Completed: [][]byte{part.Digest[:]}}, k.now)
	assert.Assert(t, !q.needsSync(store.EraOf(guard.Version)), "too soon after the former write")
	k.now = k.now.Add(crashesInterval)
	assert.Assert(t, q.needsSync(store.EraOf(guard.Version)))
	assert.NilError(t, q.sync(context.Background(), guard))
	kept, err = tb.Get(context.Background(), crashesKey)
	assert.NilError(t, err)
	assert.Equal(t, len(kept), 0)
}

// Guards against calls of the store for each upstream that crashes.
func TestASingleCrashIsNotWritten(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	tb := standin.NewTable()
	guard := commitLease(t, tb)
	q := newTestLedger(k, tb)
	assert.NilError(t, q.sync(context.Background(), guard))
	for i := range 20 {
		q.Receive(crashOf(fmt.Sprint("u", i), poison.PartFingerprint(fmt.Sprint(i), 0)), k.now)
	}
	assert.NilError(t, q.sync(context.Background(), guard))
	rows, err := tb.List(context.Background(), table, "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
}

// Guards against a row of crashes that ends, or blames requests by, what nobody of ours wrote.
func TestAnUnreadableRowOfCrashesIsTold(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	digest := poison.Digest{1}.String()
	for _, value := range []string{"7x", "{", `[]`, `{"suspects":[{"digest":"1"}]}`, `{"suspects":[{"digest":"` + digest + `"}],"crashes":[{"upstream":"u","ran":[1]}]}`,
		`{"crashes":[{"upstream":"u","ran":[-1]}]}`} {
		core, lines := observer.New(zap.DebugLevel)
		q := newTestLedger(&clock{now}, nil)
		q.deps.Log = event.NewLog(zap.New(core))
		q.adoptRows(q.id, 0, []store.Row{{Key: crashesKey, Value: []byte(value)}})
		told := lines.FilterMessage("request_bars_unreadable").All()
		assert.Equal(t, len(told), 1, value)
		suspected, _ := q.ledger.Counts()
		assert.Equal(t, suspected, 0, value)
		c, err := q.changesLocked(now)
		assert.NilError(t, err)
		assert.Assert(t, c.none(), "the row is left to the release that can read it")
		q.adoptRows(q.id, 1, []store.Row{{Key: crashesKey, Value: []byte(value)}}) // of a restored store
		c, err = q.changesLocked(now.Add(time.Minute))
		assert.NilError(t, err)
		assert.Assert(t, c.none(), "nor is it deleted in another era")
	}
}

// Guards against harmless requests that are barred since a row of crashes outlived their
// answers: nobody wrote it when they came.
func TestAnOldRowOfCrashesIsNotRead(t *testing.T) {
	for age, read := range map[time.Duration]bool{crashesRefresh: true, crashesMaxAge: true, crashesMaxAge + time.Second: false, 5 * time.Minute: false} {
		k := &clock{time.Unix(1_700_000_000, 0)}
		tb := standin.NewTable()
		guard := commitLease(t, tb)
		q := newTestLedger(k, tb)
		part := poison.PartFingerprint("answered meanwhile", 1)
		q.Receive(crashOf("u", part), k.now)
		q.Receive(crashOf("v", part), k.now)
		for range 2 {
			assert.NilError(t, q.sync(context.Background(), guard))
		}
		k.now = k.now.Add(age)
		next := newTestLedger(k, tb)
		assert.NilError(t, next.sync(context.Background(), guard))
		suspected, _ := next.ledger.Counts()
		assert.Equal(t, suspected == 1, read, "%v", age)
	}
}

// Guards against a row of crashes that counts as old although its crashes still stand.
func TestTheRowOfCrashesIsKeptYoung(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	tb := standin.NewTable()
	guard := commitLease(t, tb)
	q := newTestLedger(k, tb)
	part := poison.PartFingerprint("fatal", 1)
	q.Receive(crashOf("u", part), k.now)
	q.Receive(crashOf("v", part), k.now)
	writes := 0
	var last uint64
	for range 60 {
		if q.needsSync(0) {
			assert.NilError(t, q.sync(context.Background(), guard))
		}
		rows, err := tb.List(context.Background(), crashesKey, "", 1)
		assert.NilError(t, err)
		if len(rows) == 1 && rows[0].Version != last {
			writes, last = writes+1, rows[0].Version
		}
		k.now = k.now.Add(time.Second)
	}
	assert.Assert(t, writes >= 5 && writes <= 7, "%d writes in a minute", writes)
}

// Guards against a row of crashes that the store does not take.
func TestTheRowOfCrashesIsBounded(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	q := newTestLedger(k, nil)
	for i := range 2 * maxRowCrashes {
		x := &coordpb.UpstreamCrash{Upstream: fmt.Sprintf("an upstream with a name of some length %d", i)}
		for j := range 2 * maxRowSuspects {
			if j >= maxRowSuspects && i == 0 {
				continue // one crash less
			}
			f := (&poison.Content{Target: fmt.Sprint(j)}).Fingerprint()
			x.Running = append(x.Running, wire.EncodeFingerprint(f))
		}
		q.Receive(&coordpb.HostReport{Host: "h", Crashes: []*coordpb.UpstreamCrash{x}}, k.now)
	}
	kept := q.ledger.CommonCrashes(maxRowCrashes, maxRowSuspects)
	assert.Equal(t, len(kept), maxRowCrashes)
	assert.Equal(t, len(kept[0].Ran), maxRowSuspects)
	value, err := json.Marshal(newCrashesValue(kept))
	assert.NilError(t, err)
	assert.Assert(t, len(value) <= 32_000, len(value))
}

// Guards against a bar that is lost with the store's latest writes, and one that a restored
// store's copy still has although an operator released the request.
func TestBarsAreWrittenAgainAfterARestoreOfTheStore(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	tb := standin.NewTable()
	q := newTestLedger(k, tb)
	sync := func() {
		t.Helper()
		v, err := tb.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: "lease/l"}}})
		assert.NilError(t, err)
		for range 2 { // a read, then a write
			assert.NilError(t, q.sync(context.Background(), store.Cond{Key: "lease/l", Version: v}))
		}
	}
	rows := func() int {
		t.Helper()
		all, err := tb.List(context.Background(), table, "", 10)
		assert.NilError(t, err)
		return len(all)
	}
	sync()
	empty := tb.Copy()
	entry := poison.Entry{Fingerprint: poison.Fingerprint{Digest: poison.Digest{1}}, State: poison.Barred, BarredUntil: k.now.Add(time.Minute), BarCount: 1}
	q.ledger.Adopt(entry, k.now)
	sync()
	assert.Equal(t, rows(), 1)
	barred := tb.Copy()
	tb.Restore(empty)
	assert.Equal(t, rows(), 0)
	sync()
	assert.Equal(t, rows(), 1, "written again")
	q.ledger.Release(entry.Digest, k.now)
	tb.Restore(barred)
	assert.Equal(t, rows(), 1)
	sync()
	assert.Equal(t, rows(), 0, "released, and deleted again")
}
