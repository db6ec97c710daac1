package fleet

import (
	"sync/atomic"
	"time"
)

// deadline is the latest of some times. It spares requests a look at every upstream
// for what mostly none asks for.
type deadline struct{ at atomic.Int64 } // Unix nanoseconds

// extend takes a time into account.
func (d *deadline) extend(t time.Time) {
	for {
		latest := d.at.Load()
		if t.UnixNano() <= latest || d.at.CompareAndSwap(latest, t.UnixNano()) {
			return
		}
	}
}

// passed says whether all of them have passed.
func (d *deadline) passed(now time.Time) bool { return now.UnixNano() >= d.at.Load() }
