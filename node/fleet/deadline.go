package fleet

import (
	"sync/atomic"
	"time"
)

// deadline is the latest of several times. It spares requests a check of every upstream
// for something that mostly applies to none.
type deadline struct{ at atomic.Int64 } // Unix nanoseconds

// extend moves the deadline to t if t is later.
func (d *deadline) extend(t time.Time) {
	for {
		latest := d.at.Load()
		if t.UnixNano() <= latest || d.at.CompareAndSwap(latest, t.UnixNano()) {
			return
		}
	}
}

// passed reports whether the deadline has passed.
func (d *deadline) passed(now time.Time) bool { return now.UnixNano() >= d.at.Load() }
