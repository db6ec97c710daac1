package planner

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/lease"
	"peridotpier.example/core/ledger"
	"peridotpier.example/node/store"
)

// Keys of the table service, and limits of its calls.
const (
	rowPrefix    = "ledger/row/"   // + pool + "/" + upstream
	epochPrefix  = "ledger/epoch/" // + pool
	holdPrefix   = "ledger/hold/"  // + pool
	listPageRows = 500             // rows of one read
	maxBatchRows = 32              // rows of one transaction
)

// errNeedsRead is returned for a row whose last write was not confirmed and which
// has not been read again yet.
var errNeedsRead = errors.New("the ledger row must be read again before it is written")

// poolLedger is the ledger of a pool as committed in the table service.
type poolLedger struct {
	table    store.Table
	pool     string
	epoch    uint64
	epochRow store.Cond // condition of every write: no later planner has taken over
	rows     map[string]*cachedRow
	// heldUntil is until when orders may be executed that the ledger does not know of, since
	// the table was restored from a copy.
	heldUntil time.Time
}

// cachedRow is a ledger row with its version in the table service.
type cachedRow struct {
	row       ledger.Row
	version   uint64
	needsRead bool // the effect of the last write is not known: the row must be read before anything else
}

// rowChange is a row to write.
type rowChange struct {
	upstream string
	next     ledger.Row
}

// openPoolLedger takes over the ledger of a pool under an epoch and reads its rows. hold is
// until when orders may be executed that were reserved by now.
func openPoolLedger(ctx context.Context, tb store.Table, pool string, epoch uint64, hold time.Time) (*poolLedger, error) {
	l := &poolLedger{table: tb, pool: pool, epoch: epoch, rows: map[string]*cachedRow{}}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := l.claimEpoch(ctx, hold); err != nil {
		return nil, err
	}
	if err := store.EachRow(ctx, tb, l.prefix(), listPageRows, l.cacheRow); err != nil {
		return nil, eris.Wrap(err, "read the ledger")
	}
	return l, nil
}

// claimEpoch writes the epoch row. The rows are read only after this, so that an
// earlier lease holder cannot write any of them once they are read. The first claim
// after the table was restored also writes until when unknown orders may be executed.
func (l *poolLedger) claimEpoch(ctx context.Context, hold time.Time) error {
	key, holdKey := epochPrefix+l.pool, holdPrefix+l.pool
	rows, err := l.table.Get(ctx, key, holdKey)
	if err != nil {
		return eris.Wrap(err, "read the planner's epoch")
	}
	cond, holderEpoch := store.Cond{Key: key}, uint64(0)
	for _, r := range rows {
		n, err := strconv.ParseUint(string(r.Value), 10, 64)
		if err != nil {
			return eris.Wrapf(err, "row %s", r.Key) // overwriting it could use an epoch again
		}
		if r.Key == holdKey {
			l.heldUntil = time.UnixMilli(int64(n))
			continue
		}
		cond.Version, holderEpoch = r.Version, n
	}
	if holderEpoch > l.epoch {
		return eris.Wrapf(ledger.ErrOldEpoch, "another planner has epoch %d", holderEpoch)
	}
	txn := store.Txn{Op: newOpID(), Conds: []store.Cond{cond}, Writes: []store.Write{{Key: key, Value: []byte(strconv.FormatUint(l.epoch, 10))}}}
	if lease.EraOfEpoch(holderEpoch) < lease.EraOfEpoch(l.epoch) {
		l.heldUntil = hold
		txn.Writes = append(txn.Writes, store.Write{Key: holdKey, Value: []byte(strconv.FormatInt(hold.UnixMilli(), 10))})
	}
	v, err := store.CommitResolved(ctx, l.table, txn)
	l.epochRow = store.Cond{Key: key, Version: v}
	return eris.Wrap(err, "take over the ledger")
}

func (l *poolLedger) prefix() string             { return rowPrefix + l.pool + "/" }
func (l *poolLedger) key(upstream string) string { return l.prefix() + upstream }

// cacheRow decodes a row that was read and caches it.
func (l *poolLedger) cacheRow(r store.Row) error {
	cached := &cachedRow{version: r.Version}
	if err := json.Unmarshal(r.Value, &cached.row); err != nil {
		return eris.Wrapf(err, "ledger row %s", r.Key)
	}
	l.rows[strings.TrimPrefix(r.Key, l.prefix())] = cached
	return nil
}

// commit writes rows in one transaction. The cache changes only when the table
// service has confirmed it. After a conflict, or a lost answer that could not be
// resolved, the rows are read again before they are used, because the write may
// have taken effect.
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
		case errors.Is(err, store.ErrUnconfirmed) || errors.Is(err, store.ErrConflict):
			cached.needsRead = true
		}
	}
	return eris.Wrap(err, "write the ledger")
}

// rereadRows reads the rows that need it. It returns ledger.ErrOldEpoch if a later
// planner has taken over.
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
