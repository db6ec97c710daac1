package claimbench

import (
	"context"
	"sync"
	"time"

	coreclaim "peridotpier.example/core/claim"
	"peridotpier.example/node/claim"
	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
)

// fleet is the writers of all hosts, as every host reaches them.
type fleet struct {
	cfg       Config
	table     *RateLimitedTable
	keyRanges *claim.RangeRouter // only splits keys
	mu        sync.RWMutex
	writers   []*writer
	killAt    time.Time
	openTime  time.Duration
}

// writer is one batcher or one owner of a range.
type writer struct {
	table       *killableTable
	records     claim.Records
	dead        bool
	isSuccessor bool // took over from the dead one
}

type fixedEpoch uint64

func (e fixedEpoch) Epoch() uint64 { return uint64(e) }
func (e fixedEpoch) Valid() bool   { return true }

func newFleet(ctx context.Context, cfg Config, tb *RateLimitedTable) (*fleet, error) {
	f := &fleet{cfg: cfg, table: tb, keyRanges: claim.NewRangeRouter(max(cfg.Writers, 1), nil)}
	for i := range cfg.Writers {
		w, err := f.open(ctx, i, 1)
		if err != nil {
			return nil, err
		}
		f.writers = append(f.writers, w)
	}
	return f, nil
}

func (f *fleet) open(ctx context.Context, i int, e fixedEpoch) (*writer, error) {
	w := &writer{table: &killableTable{Table: f.table}, isSuccessor: e > 1}
	switch f.cfg.Mode {
	case Batched:
		cfg := claim.DefaultBatchConfig()
		cfg.Interval = f.cfg.BatchInterval
		b := claim.NewBatcher(cfg, w.table)
		w.records = claim.NewRows(b)
		go func() { _ = b.Run(ctx) }()
	case Ranges:
		cfg := claim.DefaultRangeConfig()
		cfg.Interval = f.cfg.BatchInterval
		r, err := claim.OpenRange(ctx, cfg, claim.RangeDeps{Table: w.table, Lease: e, Log: event.NewLog(nil), Now: time.Now}, i)
		if err != nil {
			return nil, err
		}
		w.records = r
		go func() { _ = r.Run(ctx) }()
	}
	return w, nil
}

// records is how a host keeps claims.
func (f *fleet) records() claim.Records {
	if f.cfg.Mode == Rows {
		return claim.NewRows(f.table)
	}
	return claim.NewRangeRouter(f.cfg.Writers, f)
}

// kill ends the first writer, and puts a successor in place as soon as the
// fleet could: a batcher needs none but that others see the death; a range
// needs its lease to lapse and its log to be read.
func (f *fleet) kill(ctx context.Context) {
	f.mu.Lock()
	if len(f.writers) == 0 {
		f.mu.Unlock()
		return
	}
	f.writers[0].dead = true
	f.writers[0].table.dead.Store(true)
	f.killAt = time.Now()
	f.mu.Unlock()
	wait := f.cfg.DetectionDelay
	if f.cfg.Mode == Ranges {
		wait = f.cfg.LeaseTTL
	}
	time.Sleep(wait)
	begin := time.Now()
	w, err := f.open(ctx, 0, 2)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writers[0], f.openTime = w, time.Since(begin)
}

func (f *fleet) openMs() float64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return float64(f.openTime) / float64(time.Millisecond)
}

// writerOf picks the writer of a key.
func (f *fleet) writerOf(key string) *writer {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.writers[f.keyRanges.RangeOf(key)]
}

// hasSuccessor says whether a key's writer took over from the dead one. Rows of
// their own have no writer to die.
func (f *fleet) hasSuccessor(key string) bool {
	return f.cfg.Mode != Rows && f.writerOf(key).isSuccessor
}

func (f *fleet) isAlive(w *writer) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return !w.dead
}

// Read implements claim.Forwarder.
func (f *fleet) Read(ctx context.Context, _ int, key string) (claim.VersionedRow, error) {
	w := f.writerOf(key)
	time.Sleep(f.cfg.HopLatency)
	if !f.isAlive(w) {
		return claim.VersionedRow{}, store.ErrUnavailable
	}
	return w.records.Read(ctx, key)
}

// Swap implements claim.Forwarder.
func (f *fleet) Swap(ctx context.Context, _ int, key string, v uint64, row *coreclaim.Row) (claim.VersionedRow, error) {
	w := f.writerOf(key)
	time.Sleep(f.cfg.HopLatency)
	if !f.isAlive(w) {
		return claim.VersionedRow{}, store.ErrUnavailable
	}
	return w.records.Swap(ctx, key, v, row)
}
