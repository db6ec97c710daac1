package store

import (
	"fmt"
	"sync"
	"time"
)

// The store may be restored from a copy of itself that is some seconds old. It then lacks
// what it had confirmed since, and gives the numbers of those transactions out again. Each
// such restore begins a new era. The versions that adapters return combine the era and
// the number, so that versions of two eras are never equal and those of the newer era are
// the higher ones.
const (
	numberBits = 40 // enough for 400 transactions per second over 80 years
	// MaxNumber is the highest number, and MaxEra the highest era, that a version can hold.
	MaxNumber = 1<<numberBits - 1
	MaxEra    = 1<<(64-numberBits) - 1
)

// Version returns the version of a transaction. Number 0 means that nothing was written,
// in any era.
func Version(era, number uint64) uint64 {
	if number == 0 {
		return 0
	}
	return era<<numberBits | number
}

// EraOf returns the era of a version; 0 for version 0.
func EraOf(version uint64) uint64 { return version >> numberBits }

// NumberOf returns the number of a version in its era.
func NumberOf(version uint64) uint64 { return version & MaxNumber }

// ErrRestored is an ErrConflict: the store was restored from a copy after the rows were
// read that a condition names, so that their versions mean nothing any more.
var ErrRestored = fmt.Errorf("store restored from a copy: %w", ErrConflict)

// Eras keeps the newest era of the store that this process has seen. The zero value is
// ready for use.
type Eras struct {
	mu        sync.Mutex
	known     bool
	newest    uint64
	changedAt time.Time // when newest last changed; zero: never
	onChange  func(was, now uint64)
}

// OnChange sets fn to be called at each change of the era, but not for the first era that
// is seen. It must be set before the first Observe.
func (e *Eras) OnChange(fn func(was, now uint64)) { e.onChange = fn }

// Observe records an era and returns the newest one.
func (e *Eras) Observe(era uint64) (newest uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	was, known := e.newest, e.known
	e.known, e.newest = true, max(was, era)
	if !known || e.newest == was {
		return e.newest
	}
	e.changedAt = time.Now()
	if e.onChange != nil {
		e.onChange(was, e.newest)
	}
	return e.newest
}

// ChangedWithin reports whether the era changed less than d ago.
func (e *Eras) ChangedWithin(d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.changedAt.IsZero() && time.Since(e.changedAt) < d
}

// Newest returns the newest era that was seen; 0 if none was.
func (e *Eras) Newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// CheckConds returns ErrRestored if a condition names a version of another era than the
// given one.
func CheckConds(conds []Cond, era uint64) error {
	for _, c := range conds {
		if c.Version != Absent && EraOf(c.Version) != era {
			return ErrRestored
		}
	}
	return nil
}
