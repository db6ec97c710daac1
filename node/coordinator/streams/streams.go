// Package streams keeps the records of streams in the platform's store, from which any host
// reads them once all hosts that knew a stream are gone. The acting coordinator, which
// receives all records, writes them.
//
// The rows of a writer are a ring: each has the records of a short time, and the oldest is
// overwritten. They grow with the streams that begin, not with the hosts that read them.
package streams

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/origin"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/store"
)

const (
	// table has the rows, whose keys are a host's name and a place in its ring.
	table = "streams/"
	// ringSize is the number of rows of a writer: more than MaxTTL at one row each
	// writeInterval.
	ringSize = 256
	// writeInterval is the time between two writes. Records of streams that began later are
	// lost with all hosts; most streams last several times as long.
	writeInterval = 500 * time.Millisecond
	// rowRecords bounds the records of a row: half of the 64 kB that a row may have.
	rowRecords = 1500
	// pageSize bounds the rows of one read.
	pageSize = 500
	// storeTimeout bounds one exchange with the store.
	storeTimeout = 500 * time.Millisecond
	// loadInterval is the shortest time between two reads of a host: callers may name
	// streams that never were.
	loadInterval = 5 * time.Second
)

// Deps are the dependencies of a Keeper.
type Deps struct {
	Table    store.Table
	Registry *origin.Registry
	Host     string      // name of this host
	Acting   func() bool // this host is the acting coordinator
	Log      *event.Log
	Now      func() time.Time
}

// Keeper writes and reads the rows.
type Keeper struct {
	deps      Deps
	startedAt time.Time
	next      int // number of the first record that is not written; used by Run alone

	mu       sync.Mutex // held while rows are read
	loadedAt time.Time
	slot     int  // place in the ring of the next row
	writing  bool // a row was written, so that slot is this process's own
}

// New returns a Keeper; Run writes.
func New(d Deps) *Keeper { return &Keeper{deps: d, startedAt: d.Now()} }

// Run writes the records that this host receives while it is the acting coordinator, until
// ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	recent := k.deps.Registry.Recent()
	for added := recent.Added(); pace.SleepOrWake(ctx, time.Hour, added); {
		if !pace.Sleep(ctx, writeInterval) {
			break
		}
		added = recent.Added()
		k.write(ctx)
	}
	return ctx.Err()
}

// write writes what is new, if this host is acting. One that begins to act writes all that
// has not expired: the store may have turned the host before it away. What arrives during a
// write waits for the next interval, or each write would be followed by another.
func (k *Keeper) write(ctx context.Context) {
	for k.deps.Acting() && k.LoadHistory(ctx) { // rows of a former process must be known before any is overwritten
		records, next := k.deps.Registry.Recent().Next(k.next, rowRecords, k.deps.Now())
		if len(records) == 0 {
			return
		}
		if err := k.writeRow(ctx, records); err != nil {
			if ctx.Err() == nil {
				k.deps.Log.Emit(event.StreamsUnsaved, zap.Int("streams", len(records)), zap.Error(err))
			}
			return
		}
		k.next = next
		if len(records) < rowRecords {
			return
		}
	}
}

func (k *Keeper) writeRow(ctx context.Context, records []origin.Record) error {
	batch := wire.EncodeOrigins(records)
	batch.WrittenUnixMs = k.deps.Now().UnixMilli()
	value, err := proto.Marshal(batch)
	if err != nil {
		return eris.Wrap(err, "encode streams")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	slot := k.takeSlot()
	key := fmt.Sprint(k.ringPrefix(), slot)
	_, err = k.deps.Table.Commit(ctx, store.Txn{Op: uuid.NewString(), Writes: []store.Write{{Key: key, Value: value}}})
	if err != nil {
		return eris.Wrap(err, "write streams")
	}
	return nil
}

// ringPrefix is what the keys of this host's rows begin with; the place in the ring follows.
func (k *Keeper) ringPrefix() string { return table + k.deps.Host + "-" }

// takeSlot returns the place in the ring of the next row.
func (k *Keeper) takeSlot() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	slot := k.slot
	k.slot, k.writing = (slot+1)%ringSize, true
	return slot
}

// batchRow is a row that can be read.
type batchRow struct {
	key   string
	batch *coordpb.OriginBatch
}

// decodeRows decodes the rows; one that cannot be read says nothing.
func decodeRows(rows []store.Row) []batchRow {
	out := make([]batchRow, 0, len(rows))
	for _, row := range rows {
		batch := new(coordpb.OriginBatch)
		if proto.Unmarshal(row.Value, batch) == nil {
			out = append(out, batchRow{row.Key, batch})
		}
	}
	return out
}

// continueRing makes this process's rows follow those of a former process of the host, which others
// may still need. k.mu must be held.
func (k *Keeper) continueRing(rows []batchRow) {
	if k.writing {
		return
	}
	newest := int64(0)
	for _, row := range rows {
		place, own := strings.CutPrefix(row.key, k.ringPrefix())
		slot, err := strconv.Atoi(place)
		if !own || err != nil || row.batch.WrittenUnixMs <= newest {
			continue
		}
		newest, k.slot = row.batch.WrittenUnixMs, (slot+1)%ringSize
	}
}

// LoadHistory reads the rows into the registry, unless that was done before or everything that they
// tell has expired since this host started. It reports whether this host knows what hosts
// knew that ended before it started.
func (k *Keeper) LoadHistory(ctx context.Context) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.loadedAt.IsZero() || k.deps.Now().Sub(k.startedAt) > origin.MaxTTL || k.loadLocked(ctx)
}

// Load reads the rows into the registry, unless they were read a moment ago. It returns once
// a read that another request began has ended.
func (k *Keeper) Load(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.loadedAt.IsZero() || k.deps.Now().Sub(k.loadedAt) >= loadInterval {
		k.loadLocked(ctx)
	}
}

// loadLocked reads the rows and reports whether it could. k.mu must be held.
func (k *Keeper) loadLocked(ctx context.Context) bool {
	now := k.deps.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := store.ListAll(ctx, k.deps.Table, table, pageSize)
	if err != nil {
		k.deps.Log.Emit(event.StreamsUnread, zap.Error(err))
		return false // the next request tries again
	}
	k.loadedAt = now
	readable := decodeRows(rows)
	k.continueRing(readable)
	records := 0
	for _, row := range readable {
		records += k.adopt(row.batch, now)
	}
	k.deps.Log.Emit(event.StreamsRead, zap.Int("rows", len(rows)), zap.Int("streams", records))
	return true
}

// adopt enters the records of a row that have not expired, and returns their number.
func (k *Keeper) adopt(batch *coordpb.OriginBatch, now time.Time) int {
	age := max(now.Sub(time.UnixMilli(batch.WrittenUnixMs)), 0) // clocks may differ
	n := 0
	for _, rec := range wire.DecodeOrigins(batch) {
		if rec.TTL -= age; rec.TTL > 0 {
			k.deps.Registry.Adopt(rec, now)
			n++
		}
	}
	return n
}
