// Package storetest is the conformance test suite of the platform's interfaces.
// Every implementation must pass it, whatever protocol it uses.
package storetest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/store"
)

// Fixture is one fresh, empty set of services with switches to inject faults.
type Fixture struct {
	Table   store.Table
	Objects store.Objects
	Hosts   store.Hosts
	Weights store.Weights // must allow two loads at a time, and starts at any rate

	WantHosts    []store.Host // what Hosts must return
	SetOutage    func(on bool)
	LoseAnswers  func(on bool) // writes take effect but their answers are lost
	LoseRequests func(on bool) // write requests are lost before they reach the service
	SetLimited   func(on bool) // every write is over the rate limit
}

// Run runs the suite, each test on a fixture of its own that make builds.
func Run(t *testing.T, make func(t *testing.T) Fixture) {
	for _, c := range []struct {
		name string
		test func(*testing.T, Fixture)
	}{
		{"same operation has one effect and one answer", oneEffect},
		{"conditions", conditions},
		{"a transaction takes effect whole or not at all", atomicity},
		{"versions are never reused", versions},
		{"pages", pages},
		{"lost answer is resolved", lostAnswer},
		{"lost request is resolved", lostRequest},
		{"outage and limit have no effect", refusals},
		{"objects", objects},
		{"hosts", hosts},
		{"weights", weights},
	} {
		t.Run(c.name, func(t *testing.T) { c.test(t, make(t)) })
	}
}

func put(op, key, value string, conds ...store.Cond) store.Txn {
	return store.Txn{Op: op, Conds: conds, Writes: []store.Write{{Key: key, Value: []byte(value)}}}
}

func readValue(t *testing.T, b Fixture, key string) string {
	t.Helper()
	rows, err := b.Table.Get(t.Context(), key)
	assert.NilError(t, err)
	if len(rows) == 0 {
		return ""
	}
	return string(rows[0].Value)
}

func oneEffect(t *testing.T, b Fixture) {
	first, err := b.Table.Commit(t.Context(), put("op1", "k", "1"))
	assert.NilError(t, err)
	_, err = b.Table.Commit(t.Context(), put("op2", "k", "2"))
	assert.NilError(t, err)
	again, err := b.Table.Commit(t.Context(), put("op1", "k", "1"))
	assert.NilError(t, err)
	assert.Equal(t, again, first)
	assert.Equal(t, readValue(t, b, "k"), "2")

	// A refusal is a result too: a repeated commit must not succeed later.
	refused := put("op3", "k", "3", store.Cond{Key: "k", Version: first})
	_, err = b.Table.Commit(t.Context(), refused)
	assert.ErrorIs(t, err, store.ErrConflict)
	refused.Conds = nil
	_, err = b.Table.Commit(t.Context(), refused)
	assert.ErrorIs(t, err, store.ErrConflict)
}

func conditions(t *testing.T, b Fixture) {
	absent := store.Cond{Key: "k", Version: store.Absent}
	v, err := b.Table.Commit(t.Context(), put("a", "k", "1", absent))
	assert.NilError(t, err)
	_, err = b.Table.Commit(t.Context(), put("b", "k", "2", absent))
	assert.ErrorIs(t, err, store.ErrConflict)
	_, err = b.Table.Commit(t.Context(), put("c", "k", "2", store.Cond{Key: "k", Version: v + 1}))
	assert.ErrorIs(t, err, store.ErrConflict)
	_, err = b.Table.Commit(t.Context(), put("d", "k", "2", store.Cond{Key: "k", Version: v}))
	assert.NilError(t, err)
	assert.Equal(t, readValue(t, b, "k"), "2")
}

func atomicity(t *testing.T, b Fixture) {
	two := store.Txn{Op: "a", Conds: []store.Cond{{Key: "x"}, {Key: "y"}},
		Writes: []store.Write{{Key: "x", Value: []byte("1")}, {Key: "y", Value: []byte("1")}}}
	v, err := b.Table.Commit(t.Context(), two)
	assert.NilError(t, err)
	rows, err := b.Table.Get(t.Context(), "x", "none", "y")
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 2)
	assert.Equal(t, rows[0].Version, v)
	assert.Equal(t, rows[1].Version, v)

	two.Op, two.Conds = "b", []store.Cond{{Key: "x", Version: v}, {Key: "y", Version: store.Absent}}
	two.Writes = []store.Write{{Key: "x", Delete: true}, {Key: "y", Delete: true}}
	_, err = b.Table.Commit(t.Context(), two)
	assert.ErrorIs(t, err, store.ErrConflict)
	assert.Equal(t, readValue(t, b, "x"), "1")
}

func versions(t *testing.T, b Fixture) {
	seen := map[uint64]bool{}
	for i := range 5 {
		v, err := b.Table.Commit(t.Context(), put(fmt.Sprint("put", i), "k", "1"))
		assert.NilError(t, err)
		assert.Assert(t, v != 0 && !seen[v])
		seen[v] = true
		_, err = b.Table.Commit(t.Context(), store.Txn{Op: fmt.Sprint("del", i),
			Conds: []store.Cond{{Key: "k", Version: v}}, Writes: []store.Write{{Key: "k", Delete: true}}})
		assert.NilError(t, err)
	}
}

func pages(t *testing.T, b Fixture) {
	for _, k := range []string{"q/1", "p/3", "p/1", "p", "p/2", "o/9"} {
		_, err := b.Table.Commit(t.Context(), put(k, k, k))
		assert.NilError(t, err)
	}
	var got []string
	for after := ""; ; {
		rows, err := b.Table.List(t.Context(), "p/", after, 2)
		assert.NilError(t, err)
		for _, r := range rows {
			got = append(got, r.Key)
			assert.Equal(t, string(r.Value), r.Key)
		}
		if len(rows) < 2 {
			break
		}
		after = rows[len(rows)-1].Key
	}
	assert.DeepEqual(t, got, []string{"p/1", "p/2", "p/3"})
}

// resolveAfter commits txn while a fault is on, clears the fault once the commit
// is unconfirmed, and expects that retries then succeed.
func resolveAfter(t *testing.T, b Fixture, fault func(bool), txn store.Txn) {
	t.Helper()
	fault(true)
	_, err := b.Table.Commit(t.Context(), txn)
	assert.ErrorIs(t, err, store.ErrUnconfirmed)
	fault(false)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err = store.CommitResolved(ctx, b.Table, txn)
	assert.NilError(t, err)
}

// lostAnswer guards against a claim that is refused to its own owner: the write
// takes effect, its answer is lost, and the retry meets the row that it wrote
// itself. A retry must not count as a new operation.
func lostAnswer(t *testing.T, b Fixture) {
	resolveAfter(t, b, b.LoseAnswers, put("a", "k", "1", store.Cond{Key: "k", Version: store.Absent}))
	assert.Equal(t, readValue(t, b, "k"), "1")
}

// lostRequest guards against an unconfirmed write that is treated as done although
// its row does not exist: the request was lost before it reached the service, and
// nothing retried it.
func lostRequest(t *testing.T, b Fixture) {
	resolveAfter(t, b, b.LoseRequests, put("a", "k", "1", store.Cond{Key: "k", Version: store.Absent}))
	assert.Equal(t, readValue(t, b, "k"), "1")
}

func refusals(t *testing.T, b Fixture) {
	b.SetOutage(true)
	_, err := b.Table.Commit(t.Context(), put("a", "k", "1"))
	assert.ErrorIs(t, err, store.ErrUnavailable)
	_, err = b.Table.Get(t.Context(), "k")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	_, err = b.Objects.Get(t.Context(), "k")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	b.SetOutage(false)
	b.SetLimited(true)
	_, err = b.Table.Commit(t.Context(), put("b", "k", "1"))
	assert.ErrorIs(t, err, store.ErrLimited)
	b.SetLimited(false)
	assert.Equal(t, readValue(t, b, "k"), "")
}

func objects(t *testing.T, b Fixture) {
	name := "audit/2026 a%2Fb/1"
	assert.NilError(t, b.Objects.Put(t.Context(), name, []byte("data")))
	assert.NilError(t, b.Objects.Put(t.Context(), name, []byte("data")))
	assert.ErrorIs(t, b.Objects.Put(t.Context(), name, []byte("other")), store.ErrConflict)
	got, err := b.Objects.Get(t.Context(), name)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "data")
	_, err = b.Objects.Get(t.Context(), "none")
	assert.ErrorIs(t, err, store.ErrNotFound)
	b.LoseAnswers(true)
	err = b.Objects.Put(t.Context(), "b", nil)
	assert.Assert(t, errors.Is(err, store.ErrUnconfirmed))
	b.LoseAnswers(false)
	assert.NilError(t, b.Objects.Put(t.Context(), "b", nil))
	names, err := b.Objects.List(t.Context(), "a", "", 10)
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{name})
}

func hosts(t *testing.T, b Fixture) {
	got, err := b.Hosts.Hosts(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, b.WantHosts)
}

func weights(t *testing.T, b Fixture) {
	acquire := func(load string) bool {
		wait, err := b.Weights.AcquireLoad(t.Context(), load)
		assert.NilError(t, err)
		return wait == 0
	}
	assert.Assert(t, acquire("m#1"))
	assert.Assert(t, acquire("m#1"), "the same load takes no second grant")
	assert.Assert(t, acquire("m#2"))
	assert.Assert(t, !acquire("m#3"))
	assert.NilError(t, b.Weights.ReleaseLoad(t.Context(), "m#1"))
	assert.NilError(t, b.Weights.ReleaseLoad(t.Context(), "m#1"))
	assert.Assert(t, acquire("m#3"))
}
