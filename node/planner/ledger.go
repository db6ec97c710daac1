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
	b := &poolLedger{table: tb, pool: pool, epoch: epoch, rows: map[string]*cachedRow{}}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := b.claimEpoch(ctx); err != nil {
		return nil, err
	}
	for after := ""; ; {
		rows, err := tb.List(ctx, b.prefix(), after, listPageRows)
		if err != nil {
			return nil, eris.Wrap(err, "read the ledger")
		}
		for _, r := range rows {
			if err := b.cacheRow(r); err != nil {
				return nil, err
			}
			after = r.Key
		}
		if len(rows) < listPageRows {
			return b, nil
		}
	}
}

// claimEpoch writes the epoch row. Reading the rows only afterwards makes sure
// that nothing of an earlier holder is written behind this one's back.
func (b *poolLedger) claimEpoch(ctx context.Context) error {
	key := epochPrefix + b.pool
	rows, err := b.table.Get(ctx, key)
	if err != nil {
		return eris.Wrap(err, "read the planner's epoch")
	}
	cond := store.Cond{Key: key}
	if len(rows) > 0 {
		holderEpoch, _ := strconv.ParseUint(string(rows[0].Value), 10, 64)
		if holderEpoch > b.epoch {
			return eris.Wrapf(ledger.ErrOldEpoch, "epoch %d is held", holderEpoch)
		}
		cond.Version = rows[0].Version
	}
	v, err := store.CommitResolved(ctx, b.table, store.Txn{Op: newOpID(), Conds: []store.Cond{cond},
		Writes: []store.Write{{Key: key, Value: []byte(strconv.FormatUint(b.epoch, 10))}}})
	b.epochRow = store.Cond{Key: key, Version: v}
	return eris.Wrap(err, "take over the ledger")
}

func (b *poolLedger) prefix() string             { return rowPrefix + b.pool + "/" }
func (b *poolLedger) key(upstream string) string { return b.prefix() + upstream }

func (b *poolLedger) cacheRow(r store.Row) error {
	e := &cachedRow{version: r.Version}
	if err := json.Unmarshal(r.Value, &e.row); err != nil {
		return eris.Wrapf(err, "ledger row %s", r.Key)
	}
	b.rows[strings.TrimPrefix(r.Key, b.prefix())] = e
	return nil
}

// commit commits rows in one transaction. Rows count as changed only once the
// service says so. After a lost answer that could not be resolved, they are
// read again before anything is built on them: the write may stand.
func (b *poolLedger) commit(ctx context.Context, changes ...rowChange) error {
	txn := store.Txn{Op: newOpID(), Conds: []store.Cond{b.epochRow}}
	for _, c := range changes {
		e := b.rows[c.upstream]
		if e.needsRead {
			return errNeedsRead
		}
		value, err := json.Marshal(c.next)
		if err != nil {
			return eris.Wrap(err, "encode a ledger row")
		}
		txn.Conds = append(txn.Conds, store.Cond{Key: b.key(c.upstream), Version: e.version})
		txn.Writes = append(txn.Writes, store.Write{Key: b.key(c.upstream), Value: value})
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	version, err := store.CommitResolved(ctx, b.table, txn)
	for _, c := range changes {
		e := b.rows[c.upstream]
		switch {
		case err == nil:
			e.row, e.version = c.next, version
		case errors.Is(err, store.ErrInDoubt) || errors.Is(err, store.ErrConflict):
			e.needsRead = true
		}
	}
	return eris.Wrap(err, "write the ledger")
}

// rereadRows reads the rows again whose state is in doubt.
func (b *poolLedger) rereadRows(ctx context.Context) error {
	var keys []string
	for name, e := range b.rows {
		if e.needsRead {
			keys = append(keys, b.key(name))
		}
	}
	if len(keys) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	rows, err := b.table.Get(ctx, append(keys, b.epochRow.Key)...)
	if err != nil {
		return eris.Wrap(err, "read the ledger again")
	}
	for _, k := range keys {
		e := b.rows[strings.TrimPrefix(k, b.prefix())]
		e.row, e.version, e.needsRead = ledger.New(e.row.Upstream, e.row.CapacityMB, e.row.Fencing), store.Absent, false
	}
	for _, r := range rows {
		if r.Key == b.epochRow.Key {
			if r.Version != b.epochRow.Version {
				return ledger.ErrOldEpoch
			}
			continue
		}
		if err := b.cacheRow(r); err != nil {
			return err
		}
	}
	return nil
}
