package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"peridotpier.example/node/store"
)

// BatchConfig configures a Batcher.
type BatchConfig struct {
	Interval      time.Duration // between commits under load; a few may follow one another at once
	MaxTxns       int           // transactions merged into one commit
	MaxConcurrent int           // commits in progress; with several, a slow one does not delay the next
}

// DefaultBatchConfig returns a configuration with at most 20 commits a second, so that
// 7 entry hosts stay under half of 300 writes a second.
func DefaultBatchConfig() BatchConfig {
	return BatchConfig{Interval: 50 * time.Millisecond, MaxTxns: 512, MaxConcurrent: 4}
}

// commitTimeout bounds one merged commit whose answer is lost. It is as long as its
// callers wait, Config.CallTimeout: with a longer one, a host could not shut down
// during an outage. It is far below store.OpRetention, so that the service still knows
// the operation id.
const commitTimeout = 2 * time.Second

// Batcher is a store.Table that merges the transactions of many requests into one
// commit. It has no state of its own: rows keep their own conditions, so any host
// may batch any claim, and when it fails its waiting transactions are unconfirmed
// like any others.
type Batcher struct {
	store.Table // reads are not merged
	cfg         BatchConfig
	arrivals    chan *pendingTxn
	slots       chan struct{}
	commits     sync.WaitGroup // in progress
	stopped     chan struct{}
}

type pendingTxn struct {
	txn    store.Txn
	result chan txnResult
}

type txnResult struct {
	version uint64
	err     error
}

// NewBatcher returns a Batcher over tb. It commits only while Run runs.
func NewBatcher(cfg BatchConfig, tb store.Table) *Batcher {
	return &Batcher{Table: tb, cfg: cfg, arrivals: make(chan *pendingTxn), slots: make(chan struct{}, cfg.MaxConcurrent),
		stopped: make(chan struct{})}
}

// Commit implements store.Table. The service does not see the operation id; a caller
// that commits again after store.ErrUnconfirmed must recognise its own write by its
// value, as Rows does.
func (b *Batcher) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	w := &pendingTxn{txn: txn, result: make(chan txnResult, 1)}
	select {
	case b.arrivals <- w:
	case <-b.stopped:
		return 0, store.ErrUnavailable
	case <-ctx.Done():
		return 0, store.ErrUnavailable // not accepted: nothing took effect
	}
	select {
	case r := <-w.result:
		return r.version, r.err
	case <-ctx.Done():
		return 0, store.ErrUnconfirmed
	}
}

// Run collects and commits transactions until ctx ends, then commits those that wait.
func (b *Batcher) Run(ctx context.Context) error {
	defer close(b.stopped)
	batches := newCollector(b.arrivals, b.cfg.Interval, b.cfg.MaxTxns)
	var deferred []*pendingTxn // share a row with another of their batch: left to the next batch
	for {
		batch, err := batches.next(ctx, deferred)
		batch, deferred = splitShared(batch)
		b.startCommit(ctx, batch)
		if err != nil && len(deferred) == 0 {
			b.commits.Wait()
			return err
		}
	}
}

// splitShared splits off the transactions that share a row with an earlier one. If
// they were merged, the condition of the later one could never hold.
func splitShared(batch []*pendingTxn) (first, later []*pendingTxn) {
	used := map[string]bool{}
	for _, w := range batch {
		if touchesAny(w.txn, used) {
			later = append(later, w)
			continue
		}
		for _, c := range w.txn.Conds {
			used[c.Key] = true
		}
		for _, wr := range w.txn.Writes {
			used[wr.Key] = true
		}
		first = append(first, w)
	}
	return first, later
}

func touchesAny(t store.Txn, used map[string]bool) bool {
	for _, c := range t.Conds {
		if used[c.Key] {
			return true
		}
	}
	for _, w := range t.Writes {
		if used[w.Key] {
			return true
		}
	}
	return false
}

func (b *Batcher) startCommit(ctx context.Context, batch []*pendingTxn) {
	if len(batch) == 0 {
		return
	}
	b.slots <- struct{}{}
	releaseSlot := sync.OnceFunc(func() { <-b.slots })
	b.commits.Go(func() {
		defer releaseSlot()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
		defer cancel()
		b.commit(ctx, slotFreeingTable{b.Table, releaseSlot}, batch)
	})
}

// slotFreeingTable is a table that calls onUnconfirmed when an answer is lost, so that
// an unconfirmed commit frees its slot. Otherwise, when an outage begins, a few of
// them would take all slots, and the claims behind them would wait for their whole
// timeout although the table would refuse them at once.
type slotFreeingTable struct {
	store.Table
	onUnconfirmed func()
}

// Commit implements store.Table.
func (t slotFreeingTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	v, err := t.Table.Commit(ctx, txn)
	if errors.Is(err, store.ErrUnconfirmed) {
		t.onUnconfirmed()
	}
	return v, err
}

// maxMergeTries bounds how often a batch is tried again because other hosts changed
// one of its rows between the read and the commit.
const maxMergeTries = 3

// commit rejects the transactions whose conditions do not hold and commits the
// others. Reads are cheaper than writes: one repeat of a request among many new ones
// would cost two commits if only a conflict showed it.
func (b *Batcher) commit(ctx context.Context, tb store.Table, batch []*pendingTxn) {
	for range maxMergeTries {
		remaining, err := b.rejectConflicts(ctx, batch)
		if err != nil {
			sendResult(batch, 0, store.ErrUnavailable) // nothing took effect
			return
		}
		if batch = remaining; len(batch) == 0 {
			return
		}
		v, err := store.CommitResolved(ctx, tb, merge(batch))
		if !errors.Is(err, store.ErrConflict) {
			sendResult(batch, v, err)
			return
		}
	}
	sendResult(batch, 0, store.ErrUnavailable)
}

func merge(batch []*pendingTxn) store.Txn {
	m := store.Txn{Op: newID()}
	for _, w := range batch {
		m.Conds = append(m.Conds, w.txn.Conds...)
		m.Writes = append(m.Writes, w.txn.Writes...)
	}
	return m
}

func sendResult(batch []*pendingTxn, v uint64, err error) {
	for _, w := range batch {
		w.result <- txnResult{v, err}
	}
}

// rejectConflicts answers the transactions whose conditions do not hold with
// ErrConflict, and returns the others.
func (b *Batcher) rejectConflicts(ctx context.Context, batch []*pendingTxn) ([]*pendingTxn, error) {
	var keys []string
	for _, w := range batch {
		for _, c := range w.txn.Conds {
			keys = append(keys, c.Key)
		}
	}
	rows, err := b.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	versions := make(map[string]uint64, len(rows))
	for _, r := range rows {
		versions[r.Key] = r.Version
	}
	var remaining []*pendingTxn
	for _, w := range batch {
		if conditionsHold(w.txn, versions) {
			remaining = append(remaining, w)
		} else {
			w.result <- txnResult{0, store.ErrConflict}
		}
	}
	return remaining, nil
}

func conditionsHold(t store.Txn, versions map[string]uint64) bool {
	for _, c := range t.Conds {
		if versions[c.Key] != c.Version {
			return false
		}
	}
	return true
}
