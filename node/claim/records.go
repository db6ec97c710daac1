package claim

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/claim"
	"peridotpier.example/node/store"
)

// VersionedRow is a claim's row as it was last seen.
type VersionedRow struct {
	Row     *claim.Row // nil: there is none
	Version uint64
}

// Records is where claims are kept. Its errors are those of store.Table.
type Records interface {
	Read(ctx context.Context, key string) (VersionedRow, error)
	// Swap replaces the row of which the given version was seen; a nil row
	// deletes it. On store.ErrConflict it answers the row that is there.
	Swap(ctx context.Context, key string, version uint64, row *claim.Row) (VersionedRow, error)
}

// rowPrefix starts the table key of each claim that has a row of its own.
const rowPrefix = "claims/row/"

// Rows keeps each claim in a row of its own: no host owns any, so that nothing
// has to be recovered when one dies, at the price of one commit a change.
// Over a Batcher many changes share one commit.
type Rows struct{ table store.Table }

// NewRows keeps claims in tb.
func NewRows(tb store.Table) *Rows { return &Rows{table: tb} }

// Read implements Records.
func (r *Rows) Read(ctx context.Context, key string) (VersionedRow, error) {
	rows, err := r.table.Get(ctx, rowPrefix+key)
	if err != nil || len(rows) == 0 {
		return VersionedRow{}, err
	}
	return decodeRow(rows[0])
}

// Swap implements Records. A lost answer is resolved under the same operation
// id. Past the service's memory of ids, or when the write went out in a
// Batcher's commit, our own earlier write looks like a conflict: the row's Op
// then tells whose it is. Without that, a host would take its own claim for
// another's, and the caller would hear "in progress" while nobody runs it.
func (r *Rows) Swap(ctx context.Context, key string, version uint64, row *claim.Row) (VersionedRow, error) {
	txn, err := swapTxn(rowPrefix+key, version, row)
	if err != nil {
		return VersionedRow{}, err
	}
	v, err := store.CommitResolved(ctx, r.table, txn)
	if err == nil {
		return VersionedRow{Row: row, Version: v}, nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return VersionedRow{}, err
	}
	current, readErr := r.Read(ctx, key)
	switch {
	case readErr != nil:
		return VersionedRow{}, errors.Join(store.ErrInDoubt, readErr)
	case row == nil && current.Row == nil:
		return current, nil
	case row != nil && current.Row != nil && current.Row.Op == row.Op:
		return current, nil
	}
	return current, store.ErrConflict
}

func swapTxn(key string, version uint64, row *claim.Row) (store.Txn, error) {
	w := store.Write{Key: key, Delete: row == nil}
	op := newID()
	if row != nil {
		value, err := json.Marshal(row)
		if err != nil {
			return store.Txn{}, eris.Wrap(err, "encode claim")
		}
		w.Value, op = value, row.Op
	}
	return store.Txn{Op: op, Conds: []store.Cond{{Key: key, Version: version}}, Writes: []store.Write{w}}, nil
}

func decodeRow(r store.Row) (VersionedRow, error) {
	var row claim.Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return VersionedRow{}, eris.Wrapf(err, "decode claim %s", r.Key)
	}
	return VersionedRow{Row: &row, Version: r.Version}, nil
}
