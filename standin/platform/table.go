// Package platform imitates the services of the platform in memory: table service,
// object store, host list and weight store, with configurable limits, outages,
// delays and lost answers.
package platform

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotpier.example/node/store"
)

// Table is the table service in memory.
type Table struct {
	// Faults may be changed while the table is in use.
	Faults *Faults

	mu          sync.Mutex
	rows        map[string]store.Row
	keys        []string // of rows, sorted
	ops         recentOps
	lastVersion uint64
	lateEffects sync.WaitGroup
}

// NewTable returns an empty table service without faults.
func NewTable() *Table { return NewTableWith(NewFaults(1, nil)) }

// NewTableWith returns an empty table service under f.
func NewTableWith(f *Faults) *Table {
	return &Table{Faults: f, rows: map[string]store.Row{}, ops: recentOps{now: f.now}}
}

// Commit implements store.Table.
func (t *Table) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	outcome, lateBy, err := t.Faults.admitWrite(ctx)
	if err != nil {
		return 0, err
	}
	switch outcome {
	case outcomeLostAnswer:
		_, _ = t.commit(txn)
		return 0, store.ErrUnconfirmed
	case outcomeLostRequest:
		return 0, store.ErrUnconfirmed
	case outcomeLateEffect:
		txn = cloneTxn(txn)
		t.lateEffects.Go(func() {
			time.Sleep(lateBy)
			_, _ = t.commit(txn)
		})
		return 0, store.ErrUnconfirmed
	default:
		return t.commit(txn)
	}
}

// WaitLateEffects waits until every late effect has taken place.
func (t *Table) WaitLateEffects() { t.lateEffects.Wait() }

// commit applies txn once: a repeated operation id gets the result of its first
// commit.
func (t *Table) commit(txn store.Txn) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.ops.find(txn.Op); ok {
		return r.version, r.err
	}
	v, err := t.apply(txn)
	t.ops.add(txn.Op, opResult{v, err})
	return v, err
}

func (t *Table) apply(txn store.Txn) (uint64, error) {
	for _, c := range txn.Conds {
		if t.rows[c.Key].Version != c.Version {
			return 0, store.ErrConflict
		}
	}
	t.lastVersion++
	for _, w := range txn.Writes {
		at, there := slices.BinarySearch(t.keys, w.Key)
		switch {
		case w.Delete && there:
			t.keys = slices.Delete(t.keys, at, at+1)
		case !w.Delete && !there:
			t.keys = slices.Insert(t.keys, at, w.Key)
		}
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = store.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: t.lastVersion}
	}
	return t.lastVersion, nil
}

// Get implements store.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := t.Faults.admitRead(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []store.Row
	for _, k := range keys {
		if r, ok := t.rows[k]; ok {
			out = append(out, copyRow(r))
		}
	}
	return out, nil
}

// List implements store.Table.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := t.Faults.admitRead(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []store.Row
	for _, k := range page(t.keys, prefix, after, limit) {
		out = append(out, copyRow(t.rows[k]))
	}
	return out, nil
}

// page returns up to limit of the sorted keys that start with prefix and sort
// after after.
func page(sorted []string, prefix, after string, limit int) []string {
	from, _ := slices.BinarySearch(sorted, max(prefix, after))
	if from < len(sorted) && sorted[from] == after {
		from++
	}
	end := from
	for end < len(sorted) && end-from < limit && strings.HasPrefix(sorted[end], prefix) {
		end++
	}
	return sorted[from:end]
}

func copyRow(r store.Row) store.Row {
	r.Value = slices.Clone(r.Value)
	return r
}

func cloneTxn(txn store.Txn) store.Txn {
	txn.Conds = slices.Clone(txn.Conds)
	txn.Writes = slices.Clone(txn.Writes)
	for i := range txn.Writes {
		txn.Writes[i].Value = slices.Clone(txn.Writes[i].Value)
	}
	return txn
}
