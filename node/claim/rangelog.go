package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"peridotpier.example/core/claim"
	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
)

// A range is stored as a head row and a log. Each append writes one log row and the
// head, on condition that nobody else has written the head: an owner whose lease
// lapsed while it was paused fails at its next append.
const (
	headPrefix  = "claims/head/"
	logPrefix   = "claims/log/"
	logPageRows = 256 // log rows of one read when a range is opened
)

// errNoHead means that a head is there and names no owner: a new one would write its log
// over that of the range.
var errNoHead = errors.New("row without a head")

type headRow struct {
	Epoch uint64 `json:"epoch"`
	Next  uint64 `json:"next"` // sequence number of the next log row
	// Version is the last one assigned to a row. If only the log had it, it would
	// go down when the log row that contains it is dropped, and a change based on
	// an expired row could be applied to the row's successor.
	Version uint64 `json:"version"`
}

type logEntry struct {
	Key     string     `json:"k"`
	Version uint64     `json:"v"`
	Row     *claim.Row `json:"r,omitempty"` // nil: deleted
}

type logRow struct {
	Entries []logEntry `json:"e"`
	Expires int64      `json:"x"` // Unix milliseconds; no entry is needed after it
}

// segment is what the owner of a range keeps in memory of a log row.
type segment struct {
	seq     uint64
	expires int64
	keys    []string
}

func headKey(rangeID int) string { return fmt.Sprintf("%s%d", headPrefix, rangeID) }
func logKey(rangeID int, seq uint64) string {
	return fmt.Sprintf("%s%d/%016x", logPrefix, rangeID, seq)
}
func logKeyPrefix(rangeID int) (prefix string) { return fmt.Sprintf("%s%d/", logPrefix, rangeID) }

// OpenRange takes over a range under a lease: it fences the former owner by writing
// the head, then reads the log.
func OpenRange(ctx context.Context, cfg RangeConfig, deps RangeDeps, rangeID int) (*Range, error) {
	r := &Range{cfg: cfg, deps: deps, id: rangeID, rows: map[string]cachedRow{}, arrivals: make(chan *rowChange), stopped: make(chan struct{})}
	if err := r.fenceFormerOwner(ctx); err != nil {
		return nil, err
	}
	if err := r.readLog(ctx); err != nil {
		return nil, err
	}
	deps.Log.Emit(event.ClaimRangeOpened, zap.Int("range", rangeID), zap.Uint64("epoch", r.head.Epoch), zap.Int("records", len(r.rows)))
	return r, nil
}

func (r *Range) fenceFormerOwner(ctx context.Context) error {
	rows, err := r.deps.Table.Get(ctx, headKey(r.id))
	if err != nil {
		return eris.Wrapf(err, "read head of claim range %d", r.id)
	}
	var version uint64
	if len(rows) > 0 {
		version = rows[0].Version
		if err := json.Unmarshal(rows[0].Value, &r.head); err != nil {
			return eris.Wrapf(err, "decode head of claim range %d", r.id)
		}
		if r.head.Epoch == 0 {
			return eris.Wrapf(errNoHead, "head of claim range %d", r.id)
		}
	}
	if r.head.Epoch > r.deps.Lease.Epoch() {
		return errors.Join(store.ErrConflict, errors.New("claim range has a later owner"))
	}
	r.head.Epoch = r.deps.Lease.Epoch()
	r.version = r.head.Version
	r.headVersion, err = r.writeHead(ctx, version, r.head, nil)
	return err
}

// writeHead writes the head together with other writes, on condition that the head
// still has the given version. It returns the head's new version.
func (r *Range) writeHead(ctx context.Context, version uint64, h headRow, others []store.Write) (uint64, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return 0, eris.Wrap(err, "encode head of claim range")
	}
	k := headKey(r.id)
	return store.CommitResolved(ctx, r.deps.Table, store.Txn{
		Op:     newID(),
		Conds:  []store.Cond{{Key: k, Version: version}},
		Writes: append(others, store.Write{Key: k, Value: value}),
	})
}

func (r *Range) readLog(ctx context.Context) error {
	err := store.EachRow(ctx, r.deps.Table, logKeyPrefix(r.id), logPageRows, r.replayLogRow)
	return eris.Wrapf(err, "read log of claim range %d", r.id)
}

func (r *Range) replayLogRow(row store.Row) error {
	var l logRow
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return eris.Wrapf(err, "decode %s", row.Key)
	}
	var seq uint64
	if _, err := fmt.Sscanf(row.Key[len(logKeyPrefix(r.id)):], "%x", &seq); err != nil {
		return eris.Wrapf(err, "sequence of %s", row.Key)
	}
	r.apply(seq, l)
	return nil
}

// apply applies a log row to memory.
func (r *Range) apply(seq uint64, l logRow) {
	s := segment{seq: seq, expires: l.Expires, keys: make([]string, 0, len(l.Entries))}
	for _, e := range l.Entries {
		r.version = max(r.version, e.Version)
		if e.Row == nil {
			delete(r.rows, e.Key)
			continue
		}
		r.rows[e.Key] = cachedRow{row: e.Row, version: e.Version, logSeq: seq}
		s.keys = append(s.keys, e.Key)
	}
	r.segments = append(r.segments, s)
}

// maxExpiredRows bounds the log rows that one append drops, so that its commit stays
// small after a long pause.
const maxExpiredRows = 4

// expire selects the oldest log rows whose claims have expired, to be dropped in the
// commit of an append, so that sweeping costs no writes of its own. Claims that must
// be kept longer are appended again. It returns the writes, the entries to append and
// the number of segments to drop.
func (r *Range) expire(now time.Time) (writes []store.Write, reappended []logEntry, dropped int) {
	for _, s := range r.segments[:min(maxExpiredRows, len(r.segments))] {
		if now.UnixMilli() < s.expires {
			break
		}
		for _, k := range s.keys {
			cached, ok := r.rows[k]
			if ok && cached.logSeq == s.seq && claim.DecideExpiry(*cached.row, r.cfg.TTL, now) != claim.Delete {
				reappended = append(reappended, logEntry{Key: k, Version: cached.version, Row: cached.row})
			}
		}
		writes = append(writes, store.Write{Key: logKey(r.id, s.seq), Delete: true})
		dropped++
	}
	return writes, reappended, dropped
}

// dropSegments removes segments from memory after the commit that dropped their rows.
func (r *Range) dropSegments(count int) {
	for _, s := range r.segments[:count] {
		for _, k := range s.keys {
			if cached, ok := r.rows[k]; ok && cached.logSeq == s.seq {
				delete(r.rows, k)
			}
		}
	}
	r.segments = r.segments[count:]
}
