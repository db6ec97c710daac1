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

// fleet has the writers of claims, and forwards the calls of all hosts to them.
type fleet struct {
	cfg       Config
	table     *RateLimitedTable
	keyRanges *claim.RangeRouter // only used to assign keys to writers
	mu        sync.RWMutex
	writers   []*writer
	killAt    time.Time
	openTime  time.Duration
	openErr   error // of the successor of a killed writer
}

// writer is a batcher or the owner of a range.
type writer struct {
	table       *killableTable
	records     claim.Records
	dead        bool
	isSuccessor bool // took over from the writer that was killed
}

// fixedEpoch is a lease that is always valid, with that epoch.
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

// open starts writer i in an epoch. An epoch after the first makes it a successor.
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

// records returns the store of claims as a host uses it.
func (f *fleet) records() claim.Records {
	if f.cfg.Mode == Rows {
		return claim.NewRows(f.table)
	}
	return claim.NewRangeRouter(f.cfg.Writers, f)
}

// kill stops the first writer and starts a successor as early as a real fleet could: for a
// batcher once the other hosts detect the death, for a range once its lease has expired and
// its log is read.
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
	start := time.Now()
	w, err := f.open(ctx, 0, 2)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.openErr = err; err == nil {
		f.writers[0], f.openTime = w, time.Since(start)
	}
}

// successorError returns why a killed writer got no successor; nil if it did, or none was
// killed.
func (f *fleet) successorError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openErr
}

func (f *fleet) openMs() float64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return float64(f.openTime) / float64(time.Millisecond)
}

// writerOf returns the writer of a key.
func (f *fleet) writerOf(key string) *writer {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.writers[f.keyRanges.RangeOf(key)]
}

// hasSuccessor reports whether a key's writer took over from the one that was killed. In mode
// Rows hosts use no writer.
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
