// Package platform imitates the services of the platform in memory: table service,
// object store, host list and weight store, with configurable limits, outages,
// delays and lost answers.
package platform

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotpier.example/node/store"
)

// Table is the table service in memory. Its callers know its era at all times.
type Table struct {
	// Faults may be changed while the table is in use.
	Faults *Faults

	mu          sync.Mutex
	era         uint64
	rows        map[string]store.Row // their versions are numbers, without an era
	keys        []string             // of rows, sorted
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
	if err := store.CheckConds(txn.Conds, t.Era()); err != nil {
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

// Era returns the era of the table.
func (t *Table) Era() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// TableCopy is a copy of a table at one moment.
type TableCopy struct {
	rows        map[string]store.Row
	keys        []string
	ops         recentOps
	lastVersion uint64
}

// Copy returns a copy of the table.
func (t *Table) Copy() TableCopy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TableCopy{maps.Clone(t.rows), slices.Clone(t.keys), t.ops.clone(), t.lastVersion}
}

// Restore replaces the table by a copy of it and begins a new era: what was committed
// since is gone, and the numbers of those commits are given out again.
func (t *Table) Restore(c TableCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.era++
	t.rows, t.keys, t.ops, t.lastVersion = maps.Clone(c.rows), slices.Clone(c.keys), c.ops.clone(), c.lastVersion
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
		if t.rows[c.Key].Version != store.NumberOf(c.Version) {
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
	return store.Version(t.era, t.lastVersion), nil
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
			out = append(out, t.copyRow(r))
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
		out = append(out, t.copyRow(t.rows[k]))
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

func (t *Table) copyRow(r store.Row) store.Row {
	r.Value, r.Version = slices.Clone(r.Value), store.Version(t.era, r.Version)
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
