package origin

import (
	"slices"
	"sync"
	"time"

	"peridotpier.example/node/pace"
)

// maxOutbox bounds the records that are kept for hosts that have not received them. The
// oldest is dropped first: its stream has most likely ended.
const maxOutbox = 1 << 14

// Outbox keeps the records of this host's streams for the hosts that keep those of all. A
// host that becomes one of these gets all records that have not expired.
type Outbox struct {
	added pace.Signal

	mu      sync.Mutex
	records []sent
	first   int // number of the first record, counted from the first ever
}

type sent struct {
	Record
	until time.Time
}

// Add adds a record.
func (o *Outbox) Add(rec Record, now time.Time) {
	o.mu.Lock()
	o.records = append(o.records, sent{rec, now.Add(min(rec.TTL, MaxTTL))})
	if len(o.records) > maxOutbox {
		const dropped = maxOutbox / 2 // many at once, so that this is rare
		o.records, o.first = slices.Clone(o.records[dropped:]), o.first+dropped
	}
	o.mu.Unlock()
	o.added.Notify()
}

// Added returns a channel that is closed when a record is added.
func (o *Outbox) Added() <-chan struct{} { return o.added.Next() }

// Next returns up to limit records from a number on that have not expired, with what is
// left of their time, and the number that follows them.
func (o *Outbox) Next(from, limit int, now time.Time) (out []Record, next int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expireLocked(now)
	i := max(from-o.first, 0)
	for ; i < len(o.records) && len(out) < limit; i++ {
		if rec := o.records[i]; now.Before(rec.until) {
			rec.TTL = rec.until.Sub(now)
			out = append(out, rec.Record)
		}
	}
	return out, o.first + i
}

// expireLocked drops the oldest records whose streams cannot be taken up any more.
func (o *Outbox) expireLocked(now time.Time) {
	n := 0
	for n < len(o.records) && !now.Before(o.records[n].until) {
		n++
	}
	o.records, o.first = o.records[n:], o.first+n
}
