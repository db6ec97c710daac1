// Package platform imitates what the platform gives: table service, object
// store, host list and weight store, in memory, with limits, outages, delays
// and lost answers that can be set.
package platform

import (
	"context"
	"sort"
	"strings"
	"sync"

	"peridotpier.example/node/platform"
)

// Table is the table service in memory.
type Table struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	ops  map[string]opResult // every operation id seen, with its answer
	next uint64
}

type opResult struct {
	version uint64
	err     error
}

// NewTable makes an empty table service.
func NewTable() *Table {
	return &Table{rows: map[string]platform.Row{}, ops: map[string]opResult{}}
}

// Commit implements platform.Table.
func (t *Table) Commit(_ context.Context, txn platform.Txn) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.ops[txn.Op]; ok && txn.Op != "" {
		return r.version, r.err
	}
	v, err := t.apply(txn)
	t.ops[txn.Op] = opResult{v, err}
	return v, err
}

func (t *Table) apply(txn platform.Txn) (uint64, error) {
	for _, c := range txn.Conds {
		if t.rows[c.Key].Version != c.Version {
			return 0, platform.ErrConflict
		}
	}
	t.next++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: append([]byte(nil), w.Value...), Version: t.next}
	}
	return t.next, nil
}

// Get implements platform.Table.
func (t *Table) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []platform.Row
	for _, k := range keys {
		if r, ok := t.rows[k]; ok {
			out = append(out, r)
		}
	}
	return out, nil
}

// List implements platform.Table.
func (t *Table) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []string
	for k := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if len(keys) > limit {
		keys = keys[:limit]
	}
	out := make([]platform.Row, len(keys))
	for i, k := range keys {
		out[i] = t.rows[k]
	}
	return out, nil
}
