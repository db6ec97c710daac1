package claim

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/claim"
	"peridotpier.example/node/store"
)

// VersionedRow is a claim's row as it was last read, with its version.
type VersionedRow struct {
	Row     *claim.Row // nil: there is none
	Version uint64
}

// Records stores claims. Its errors are those of store.Table.
type Records interface {
	Read(ctx context.Context, key string) (VersionedRow, error)
	// Swap replaces the row if it still has the given version (compare-and-swap);
	// a nil row deletes it. On store.ErrConflict it returns the row that is there.
	Swap(ctx context.Context, key string, version uint64, row *claim.Row) (VersionedRow, error)
}

// rowPrefix begins the table key of a claim with a row of its own.
const rowPrefix = "claims/row/"

// Rows stores each claim in a row of its own. No host owns a row, so nothing needs
// recovery when a host fails; the price is one commit for each change, unless a
// Batcher merges the changes.
type Rows struct{ table store.Table }

// NewRows returns a Rows that stores claims in tb.
func NewRows(tb store.Table) *Rows { return &Rows{table: tb} }

// Read implements Records.
func (r *Rows) Read(ctx context.Context, key string) (VersionedRow, error) {
	rows, err := r.table.Get(ctx, rowPrefix+key)
	if err != nil || len(rows) == 0 {
		return VersionedRow{}, err
	}
	return decodeRow(rows[0])
}

// Swap implements Records. After a lost answer it commits again under the same
// operation id. When the service no longer knows the id, or the write was part of a
// Batcher's commit, the host's own earlier write looks like a conflict; the row's Op
// then shows whose write it is. Otherwise a host would treat its own claim as
// another's, and the caller would be told "in progress" while nobody runs the
// request.
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
		return VersionedRow{}, errors.Join(store.ErrUnconfirmed, readErr)
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

// errNoClaim means that a row is there and names no claim: taken for an expired one, its key
// would be free although its call may have run.
var errNoClaim = errors.New("row without a claim")

func decodeRow(r store.Row) (VersionedRow, error) {
	var row claim.Row
	err := json.Unmarshal(r.Value, &row)
	if err == nil && row.ID == "" {
		err = errNoClaim
	}
	if err != nil {
		return VersionedRow{}, eris.Wrapf(err, "decode claim %s", r.Key)
	}
	return VersionedRow{Row: &row, Version: r.Version}, nil
}
