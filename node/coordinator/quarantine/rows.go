package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/event"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/store"
)

const (
	// table has a row for each request that is barred. Hosts store nothing themselves:
	// after a loss of all of them a barred request would crash three more upstreams.
	table = "quarantine/"
	// maxWrites bounds the rows of bars that are written at once: a transaction takes 100
	// entries, two of which are the lease and the row of crashes. pageSize bounds the rows of
	// one read.
	maxWrites = 98
	pageSize  = 500
	// checkInterval is the longest time until a host that does not hold the lease checks
	// whether it does.
	checkInterval = time.Second
	// writeInterval is how often changes are checked for that must be written.
	writeInterval = 200 * time.Millisecond
	// retryInterval is the time between attempts while the store does not answer.
	retryInterval = time.Second
	// storeTimeout bounds one exchange with the store.
	storeTimeout = time.Second
)

// rows is what is known of the rows.
type rows struct {
	read     bool                        // the ledger has all that is barred in the rows
	era      uint64                      // of the store that the fields below are of
	written  map[poison.Digest]time.Time // end of the bar in each row
	crashes  crashesRow
	failedAt time.Time
}

// changes are the rows that are to be written.
type changes struct {
	bars    map[poison.Digest]*poison.Entry // nil: not barred any more
	crashes *crashesWrite                   // nil: the row is current
}

func (c *changes) none() bool { return len(c.bars) == 0 && c.crashes == nil }

// rowValue is the value of a row.
type rowValue struct {
	Shape   uint64 `json:"shape"`
	UntilMs int64  `json:"until_unix_ms"`
	Bars    int    `json:"bars"`
	Place   uint8  `json:"place,omitempty"` // of a part of prompts
}

// waitNext waits until the next check is due. It returns false when ctx has ended.
func (q *Ledger) waitNext(ctx context.Context) bool {
	taken := q.deps.Lease.Acquired()
	if q.holdsLease() {
		return pace.Sleep(ctx, writeInterval)
	}
	return pace.SleepOrWake(ctx, checkInterval, taken)
}

func (q *Ledger) holdsLease() bool {
	_, held := q.deps.Lease.Term()
	return held
}

// Run keeps the barred requests in the platform's store while this host holds the lease,
// until ctx ends.
func (q *Ledger) Run(ctx context.Context) error {
	for q.waitNext(ctx) {
		term, held := q.deps.Lease.Term()
		if !held || !q.needsSync(store.EraOf(term.Guard.Version)) {
			continue
		}
		if err := q.sync(ctx, term.Guard); err != nil && ctx.Err() == nil {
			q.deps.Log.Emit(event.BarsUnsaved, zap.Error(err))
			q.mu.Lock()
			q.rows.failedAt = q.deps.Now()
			q.mu.Unlock()
		}
	}
	return ctx.Err()
}

// needsSync reports whether the rows have not been read in an era of the store yet, or
// differ from what is barred now.
func (q *Ledger) needsSync(era uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Now()
	if now.Sub(q.rows.failedAt) < retryInterval {
		return false
	}
	return q.mustReadLocked(era) || len(q.barChangesLocked(now)) > 0 || q.crashesDueLocked(now)
}

func (q *Ledger) mustReadLocked(era uint64) bool { return !q.rows.read || q.rows.era != era }

// sync reads the rows of a former term, or of a store that was restored, or writes what
// has changed.
func (q *Ledger) sync(ctx context.Context, guard store.Cond) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	q.mu.Lock()
	era, id := store.EraOf(guard.Version), q.id
	mustRead := q.mustReadLocked(era)
	changed, err := q.changesLocked(q.deps.Now())
	q.mu.Unlock()
	if err != nil {
		return err
	}
	if mustRead {
		rows, err := store.ListAll(ctx, q.deps.Table, table, pageSize)
		if err != nil {
			return eris.Wrap(err, "read barred requests and crashes")
		}
		q.adoptRows(id, era, rows)
		return nil
	}
	if changed.none() {
		return nil
	}
	return q.write(ctx, guard, id, &changed)
}

// write writes rows in one transaction.
func (q *Ledger) write(ctx context.Context, guard store.Cond, id uint64, c *changes) error {
	txn := store.Txn{Op: uuid.NewString(), Conds: []store.Cond{guard}}
	for d, e := range c.bars {
		w, err := rowWrite(d, e)
		if err != nil {
			return err
		}
		txn.Writes = append(txn.Writes, w)
	}
	if c.crashes != nil {
		txn.Writes = append(txn.Writes, c.crashes.Write)
	}
	if _, err := store.CommitResolved(ctx, q.deps.Table, txn); err != nil {
		return eris.Wrap(err, "write barred requests and crashes")
	}
	q.recordWritten(id, c)
	return nil
}

// rowWrite returns the write of an entry's row, or the deletion of the row if the entry
// is nil, which means not barred.
func rowWrite(d poison.Digest, e *poison.Entry) (store.Write, error) {
	w := store.Write{Key: table + d.String()}
	if e == nil {
		w.Delete = true
		return w, nil
	}
	var err error
	w.Value, err = json.Marshal(rowValue{Shape: uint64(e.Shape), UntilMs: e.BarredUntil.UnixMilli(), Bars: e.BarCount, Place: e.Place})
	return w, eris.Wrap(err, "encode barred request")
}

// adoptRows enters the rows of an era of the store in the ledger. A ledger that had read
// the rows of an earlier era knows better than a copy what is barred: what the copy lacks is
// written again, and what has been released since is deleted.
func (q *Ledger) adoptRows(id, era uint64, rows []store.Row) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.id != id {
		return // another term has begun
	}
	now := q.deps.Now()
	knowsBetter := q.rows.read
	q.rows.read, q.rows.era, q.rows.written, q.rows.crashes = true, era, map[poison.Digest]time.Time{}, crashesRow{revision: noRevision}
	var unreadable []string
	var crashes *store.Row
	for _, row := range rows {
		if row.Key == crashesKey {
			crashes, q.rows.crashes.exists = &row, true
			continue
		}
		d, v, err := decodeBar(row)
		if err != nil {
			unreadable = append(unreadable, row.Key)
			continue
		}
		until := time.UnixMilli(v.UntilMs)
		q.rows.written[d] = until
		if knowsBetter {
			continue
		}
		left := min(until.Sub(now), poison.DefaultPolicy.MaxBar) // clocks may differ, or have been set
		q.ledger.Adopt(poison.Entry{Fingerprint: poison.Fingerprint{Digest: d, Shape: poison.Shape(v.Shape), Place: v.Place}, State: poison.Barred, BarredUntil: now.Add(left), BarCount: v.Bars}, now)
	}
	if crashes != nil { // after the bars, which explain crashes
		if err := q.readCrashesLocked(crashes, !knowsBetter, now); err != nil {
			q.rows.crashes.unreadable = true
			unreadable = append(unreadable, crashes.Key)
		}
	}
	if len(unreadable) > 0 {
		q.deps.Log.Emit(event.BarsUnreadable, zap.Int("rows", len(unreadable)), zap.String("first", unreadable[0]))
	}
	q.logDecisionsLocked("", now)
}

// errNoBar means that a row is there and names no end of a bar: it is not one whose time is
// past, to be deleted.
var errNoBar = errors.New("row without a bar")

// decodeBar decodes the row of a request that is barred.
func decodeBar(row store.Row) (d poison.Digest, v rowValue, err error) {
	if d, err = poison.ParseDigest(row.Key[len(table):]); err != nil {
		return d, v, err
	}
	if err = json.Unmarshal(row.Value, &v); err == nil && v.UntilMs == 0 {
		err = errNoBar
	}
	return d, v, err
}

// maxRowDrift is by how much the end of a bar may differ from the one in its row.
const maxRowDrift = time.Second

// changesLocked returns what is to be written.
func (q *Ledger) changesLocked(now time.Time) (changes, error) {
	crashes, err := q.crashesWriteLocked(now)
	return changes{bars: q.barChangesLocked(now), crashes: crashes}, err
}

// barChangesLocked returns the entries whose rows are to be written; a nil entry is a row
// to be deleted.
func (q *Ledger) barChangesLocked(now time.Time) map[poison.Digest]*poison.Entry {
	if !q.rows.read {
		return nil
	}
	out, barred := map[poison.Digest]*poison.Entry{}, map[poison.Digest]bool{}
	for _, e := range q.ledger.All(now) {
		if e.State != poison.Barred {
			continue
		}
		barred[e.Digest] = true
		if len(out) >= maxWrites {
			continue
		}
		if until, ok := q.rows.written[e.Digest]; !ok || e.BarredUntil.Sub(until).Abs() > maxRowDrift {
			out[e.Digest] = &e
		}
	}
	for d := range q.rows.written {
		if !barred[d] && len(out) < maxWrites {
			out[d] = nil
		}
	}
	return out
}

func (q *Ledger) recordWritten(id uint64, c *changes) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.id != id {
		return
	}
	for d, e := range c.bars {
		if e == nil {
			delete(q.rows.written, d)
			continue
		}
		q.rows.written[d] = e.BarredUntil
	}
	if c.crashes != nil {
		q.recordCrashesLocked(c.crashes)
	}
}
