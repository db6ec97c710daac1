package claim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/claim"
	"peridotpier.example/node/store"
	standin "peridotpier.example/standin/platform"
)

// BenchmarkOpenRange reads the log of a range of 100,000 completed claims, in log rows
// of 50 changes, and reports the memory that each claim takes in the owner.
func BenchmarkOpenRange(b *testing.B) {
	const claims = 100_000
	tb := filledLog(b, claims)
	epoch := uint64(2)
	for b.Loop() {
		before := heap()
		r, err := openRange(tb, epoch)
		assert.NilError(b, err)
		b.ReportMetric(float64(heap()-before)/claims, "B/claim")
		epoch++
		runtime.KeepAlive(r)
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// filledLog returns a table with the log that an owner would write, without its rate
// limit.
func filledLog(b *testing.B, claims int) store.Table {
	tb := standin.NewTable()
	const rowEntries = 50
	for i := 0; i < claims; i += rowEntries {
		var entries []map[string]any
		for n := i; n < i+rowEntries; n++ {
			key := claim.Key("north", fmt.Sprint(n))
			entries = append(entries, map[string]any{"k": key, "v": n + 1, "r": completedRow(n)})
		}
		value, err := json.Marshal(map[string]any{"e": entries, "x": time.Now().Add(time.Hour).UnixMilli()})
		assert.NilError(b, err)
		_, err = tb.Commit(context.Background(), store.Txn{Op: fmt.Sprint(i),
			Writes: []store.Write{{Key: fmt.Sprintf("claims/log/0/%016x", i), Value: value}}})
		assert.NilError(b, err)
	}
	return tb
}

func completedRow(n int) claim.Row {
	id := fmt.Sprintf("%036d", n) // as long as real ids
	return claim.Row{ID: id, BodyHash: claim.Key("", id), Op: id, State: claim.Completed, Owner: claim.Owner{Host: "host-0", Incarnation: id},
		Route:     claim.Route{Upstream: "engine-0", Incarnation: id, Attempt: id},
		Answer:    &claim.Answer{Status: 200, ContentType: "application/json", Body: []byte(`{"stored":true}`)},
		OverdueMs: 1, ExpiresMs: time.Now().Add(time.Hour).UnixMilli()}
}
