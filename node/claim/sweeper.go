package claim

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/claim"
	"peridotpier.example/node/event"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/store"
)

// sweepPageRows is how many rows one step reads, and deletes at most in one commit:
// with 1,500 claims a second that is 8 reads and 8 commits a second.
const sweepPageRows = 200

// Sweeper deletes the rows of expired claims. Any host may run one: a row is deleted
// only if it has not changed since it was read, so two sweepers waste reads and
// break nothing. One is enough, and runs on the host that holds the sweeper lease.
type Sweeper struct {
	store *Store
	table store.Table
	after string
}

// NewSweeper returns a sweeper of the claims that s stores as rows of tb.
func NewSweeper(s *Store, tb store.Table) *Sweeper { return &Sweeper{store: s, table: tb} }

// SweeperLeaseName names the lease under which one host sweeps.
const SweeperLeaseName = "claims/sweeper"

const (
	// pageInterval is between two pages: at most 2,000 rows a second, above the
	// 1,500 claims a second that the service is designed for.
	pageInterval = 100 * time.Millisecond
	// roundInterval is between two rounds; until then expired rows only use space.
	roundInterval = time.Minute
)

// Run sweeps while holdsLease returns true, until ctx ends.
func (w *Sweeper) Run(ctx context.Context, holdsLease func() bool) error {
	for wait := pageInterval; pace.Sleep(ctx, pace.DefaultRand().Jitter(wait, 0.1)); {
		wait = roundInterval
		if !holdsLease() {
			continue
		}
		if _, done, err := w.Step(ctx); err == nil && !done {
			wait = pageInterval
		}
	}
	return ctx.Err()
}

// Step sweeps one page. done means that it was the last page; the next step starts
// again at the first one, after a longer interval.
func (w *Sweeper) Step(ctx context.Context) (deleted int, done bool, err error) {
	rows, err := w.table.List(ctx, rowPrefix, w.after, sweepPageRows)
	if err != nil {
		return 0, false, err
	}
	txn, kept := store.Txn{Op: newID()}, 0
	for _, r := range rows {
		seen, err := decodeRow(r)
		if err != nil { // what it says is not known: it stays
			w.store.deps.Log.Emit(event.ClaimUnreadable, zap.String("row", r.Key), zap.Error(err))
			continue
		}
		switch claim.DecideExpiry(*seen.Row, w.store.limits.Load().TTL, w.store.deps.Now()) {
		case claim.Delete:
			txn.Conds = append(txn.Conds, store.Cond{Key: r.Key, Version: r.Version})
			txn.Writes = append(txn.Writes, store.Write{Key: r.Key, Delete: true})
		case claim.ResolveBeforeDelete:
			kept++
			// An outcome that is found is in the row afterwards; the next round decides again.
			_, _ = w.store.resolveOutcome(ctx, r.Key[len(rowPrefix):], seen)
		}
	}
	if err := w.delete(ctx, txn); err != nil {
		return 0, false, err
	}
	w.advance(rows)
	if len(txn.Writes) > 0 || kept > 0 {
		w.store.deps.Log.Emit(event.ClaimsExpired, zap.Int("deleted", len(txn.Writes)), zap.Int("kept", kept))
	}
	return len(txn.Writes), len(rows) < sweepPageRows, nil
}

func (w *Sweeper) delete(ctx context.Context, txn store.Txn) error {
	if len(txn.Writes) == 0 {
		return nil
	}
	_, err := store.CommitResolved(ctx, w.table, txn)
	if errors.Is(err, store.ErrConflict) {
		return nil // a key was used again since it was read; the other rows are deleted in the next round
	}
	return err
}

func (w *Sweeper) advance(rows []store.Row) {
	w.after = ""
	if len(rows) == sweepPageRows {
		w.after = rows[len(rows)-1].Key
	}
}
