package planner

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/ledger"
	"peridotpier.example/node/store"
)

// Keys of the table service.
const (
	rowPrefix    = "ledger/row/"   // + pool + "/" + upstream
	epochPrefix  = "ledger/epoch/" // + pool
	listPageRows = 500             // rows read at once
	maxBatchRows = 32              // rows written in one transaction
)

// errDirty: a row whose last write is in doubt and could not be read back yet.
var errNeedsRead = errors.New("the row must be read again first")

// poolLedger are the ledger rows of a pool as committed.
type poolLedger struct {
	table    store.Table
	pool     string
	epoch    uint64
	epochRow store.Cond // every write demands that no later planner has taken over
	rows     map[string]*cachedRow
}

type cachedRow struct {
	row       ledger.Row
	version   uint64
	needsRead bool // the last write is in doubt: read before anything else
}

// rowChange is a row to be written.
type rowChange struct {
	upstream string
	next     ledger.Row
}

// openPoolLedger takes over the books of a pool under an epoch and reads them.
func openPoolLedger(ctx context.Context, tb store.Table, pool string, epoch uint64) (*poolLedger, error) {
	l := &poolLedger{table: tb, pool: pool, epoch: epoch, rows: map[string]*cachedRow{}}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := l.claimEpoch(ctx); err != nil {
		return nil, err
	}
	for after := ""; ; {
		rows, err := tb.List(ctx, l.prefix(), after, listPageRows)
		if err != nil {
			return nil, eris.Wrap(err, "read the ledger")
		}
		for _, r := range rows {
			if err := l.cacheRow(r); err != nil {
				return nil, err
			}
			after = r.Key
		}
		if len(rows) < listPageRows {
			return l, nil
		}
	}
}

// claimEpoch writes the epoch row. Reading the rows only afterwards makes sure
// that nothing of an earlier holder is written behind this one's back.
func (l *poolLedger) claimEpoch(ctx context.Context) error {
	key := epochPrefix + l.pool
	rows, err := l.table.Get(ctx, key)
	if err != nil {
		return eris.Wrap(err, "read the planner's epoch")
	}
	cond := store.Cond{Key: key}
	if len(rows) > 0 {
		holderEpoch, _ := strconv.ParseUint(string(rows[0].Value), 10, 64)
		if holderEpoch > l.epoch {
			return eris.Wrapf(ledger.ErrOldEpoch, "epoch %d is held", holderEpoch)
		}
		cond.Version = rows[0].Version
	}
	v, err := store.CommitResolved(ctx, l.table, store.Txn{Op: newOpID(), Conds: []store.Cond{cond},
		Writes: []store.Write{{Key: key, Value: []byte(strconv.FormatUint(l.epoch, 10))}}})
	l.epochRow = store.Cond{Key: key, Version: v}
	return eris.Wrap(err, "take over the ledger")
}

func (l *poolLedger) prefix() string             { return rowPrefix + l.pool + "/" }
func (l *poolLedger) key(upstream string) string { return l.prefix() + upstream }

func (l *poolLedger) cacheRow(r store.Row) error {
	cached := &cachedRow{version: r.Version}
	if err := json.Unmarshal(r.Value, &cached.row); err != nil {
		return eris.Wrapf(err, "ledger row %s", r.Key)
	}
	l.rows[strings.TrimPrefix(r.Key, l.prefix())] = cached
	return nil
}

// commit commits rows in one transaction. Rows count as changed only once the
// service says so. After a lost answer that could not be resolved, they are
// read again before anything is built on them: the write may stand.
func (l *poolLedger) commit(ctx context.Context, changes ...rowChange) error {
	txn := store.Txn{Op: newOpID(), Conds: []store.Cond{l.epochRow}}
	for _, c := range changes {
		cached := l.rows[c.upstream]
		if cached.needsRead {
			return errNeedsRead
		}
		value, err := json.Marshal(c.next)
		if err != nil {
			return eris.Wrap(err, "encode a ledger row")
		}
		txn.Conds = append(txn.Conds, store.Cond{Key: l.key(c.upstream), Version: cached.version})
		txn.Writes = append(txn.Writes, store.Write{Key: l.key(c.upstream), Value: value})
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	version, err := store.CommitResolved(ctx, l.table, txn)
	for _, c := range changes {
		cached := l.rows[c.upstream]
		switch {
		case err == nil:
			cached.row, cached.version = c.next, version
		case errors.Is(err, store.ErrInDoubt) || errors.Is(err, store.ErrConflict):
			cached.needsRead = true
		}
	}
	return eris.Wrap(err, "write the ledger")
}

// rereadRows reads the rows again whose state is in doubt.
func (l *poolLedger) rereadRows(ctx context.Context) error {
	var keys []string
	for name, cached := range l.rows {
		if cached.needsRead {
			keys = append(keys, l.key(name))
		}
	}
	if len(keys) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	rows, err := l.table.Get(ctx, append(keys, l.epochRow.Key)...)
	if err != nil {
		return eris.Wrap(err, "read the ledger again")
	}
	for _, k := range keys {
		cached := l.rows[strings.TrimPrefix(k, l.prefix())]
		cached.row, cached.version, cached.needsRead = ledger.New(cached.row.Upstream, cached.row.CapacityMB, cached.row.Fencing), store.Absent, false
	}
	for _, r := range rows {
		if r.Key == l.epochRow.Key {
			if r.Version != l.epochRow.Version {
				return ledger.ErrOldEpoch
			}
			continue
		}
		if err := l.cacheRow(r); err != nil {
			return err
		}
	}
	return nil
}
