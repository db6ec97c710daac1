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

// sweepPage is how many rows one step reads, and at most deletes in one
// commit: at 1,500 claims a second, 8 reads and 8 commits a second.
const sweepPage = 200

// Sweeper deletes the rows of expired claims. Any host may sweep: a row is
// deleted only as it was seen, so two sweepers waste reads and break nothing.
// One is enough; the host that holds the sweeping lease runs it.
type Sweeper struct {
	store *Store
	table store.Table
	after string
}

// NewSweeper sweeps the claims that s keeps as rows of tb.
func NewSweeper(s *Store, tb store.Table) *Sweeper { return &Sweeper{store: s, table: tb} }

// SweeperLeaseName is the lease under which one host sweeps.
const SweeperLeaseName = "claims/sweeper"

const (
	// sweepPause is between two pages: 2,000 rows a second at most, above the
	// 1,500 claims a second of the design size.
	sweepPause = 100 * time.Millisecond
	// sweepRest is between two rounds; expired rows only take room.
	sweepRest = time.Minute
)

// Run sweeps while held says that this host holds the lease, until ctx ends.
func (w *Sweeper) Run(ctx context.Context, held func() bool) error {
	for wait := sweepPause; pace.Sleep(ctx, pace.DefaultRand().Jitter(wait, 0.1)); {
		wait = sweepRest
		if !held() {
			continue
		}
		if _, done, err := w.Step(ctx); err == nil && !done {
			wait = sweepPause
		}
	}
	return ctx.Err()
}

// Step sweeps one page. done tells that the last page was reached: pause
// before the next step, which starts over.
func (w *Sweeper) Step(ctx context.Context) (deleted int, done bool, err error) {
	rows, err := w.table.List(ctx, rowPrefix, w.after, sweepPage)
	if err != nil {
		return 0, false, err
	}
	txn, kept := store.Txn{Op: newID()}, 0
	for _, r := range rows {
		seen, err := decode(r)
		if err != nil {
			return 0, false, err
		}
		switch claim.DecideExpiry(*seen.Row, w.store.limits.Load().TTL, w.store.deps.Now()) {
		case claim.Delete:
			txn.Conds = append(txn.Conds, store.Cond{Key: r.Key, Version: r.Version})
			txn.Writes = append(txn.Writes, store.Write{Key: r.Key, Delete: true})
		case claim.ResolveBeforeDelete:
			kept++
			// Its outcome is in the row afterwards; the next round looks again.
			_, _ = w.store.settleByFate(ctx, r.Key[len(rowPrefix):], seen)
		}
	}
	if err := w.delete(ctx, txn); err != nil {
		return 0, false, err
	}
	w.advance(rows)
	if len(txn.Writes) > 0 || kept > 0 {
		w.store.deps.Log.Emit(event.ClaimsExpired, zap.Int("deleted", len(txn.Writes)), zap.Int("kept", kept))
	}
	return len(txn.Writes), len(rows) < sweepPage, nil
}

func (w *Sweeper) delete(ctx context.Context, txn store.Txn) error {
	if len(txn.Writes) == 0 {
		return nil
	}
	_, err := store.CommitResolved(ctx, w.table, txn)
	if errors.Is(err, store.ErrConflict) {
		return nil // a key came back to life meanwhile; the rest waits a round
	}
	return err
}

func (w *Sweeper) advance(rows []store.Row) {
	w.after = ""
	if len(rows) == sweepPage {
		w.after = rows[len(rows)-1].Key
	}
}
