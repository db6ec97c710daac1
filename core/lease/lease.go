// Package lease decides when a lease may be acquired, must be renewed and has
// expired, from the versions of its rows that one node read and that node's own
// clock. Two nodes' clocks are never compared: the holder counts its TTL from
// before it sent the request, a candidate counts from after it read the grant,
// and a margin covers clocks that run at different rates.
package lease

import (
	"encoding/json"
	"fmt"
	"time"
)

// Defaults of a Policy.
const (
	// DefaultTTL bounds how long a role has no holder after its holder died; with
	// one renewal every 3.3 s, 100 leases cost the table 33 writes/s.
	DefaultTTL = 10 * time.Second
	// DefaultMargin covers scheduling delays between a check and the action that
	// it allows.
	DefaultMargin = 250 * time.Millisecond
	// DefaultClockRate is the largest fraction by which a host's clock may run
	// fast or slow; quartz stays below 0.0002, a clock that is being corrected
	// below 0.001.
	DefaultClockRate = 0.005

	renewalsPerTTL = 3 // renewals per TTL: two may fail before the lease expires
	pollsPerTTL    = 4 // polls by a candidate per TTL: a released lease stays free for a quarter of it
)

// Record is the grant of a lease, stored as the value of its grant row. The row
// is never deleted, so that epochs only increase.
type Record struct {
	Holder string `json:"holder"` // identifies one process, not one host: a restarted process is another holder; "": the lease is free
	Epoch  uint64 `json:"epoch"`  // increases with every grant; the fencing number of actions under it
	TTLMs  int64  `json:"ttl_ms"` // TTL that the holder counts, in milliseconds; candidates wait for it whatever their own policy says
}

// Encode returns the row's value.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of a string and two numbers always encodes
	}
	return b
}

// Decode parses a row's value. An empty value is the record of a lease that was
// never held.
func Decode(b []byte) (Record, error) {
	var r Record
	if len(b) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("lease record: %w", err)
	}
	return r, nil
}

// Rows holds the versions of a lease's two rows. The grant row changes only when
// the holder changes, so that writes under the lease can be conditional on it;
// the heartbeat row changes with every renewal.
type Rows struct{ Grant, Heartbeat uint64 }

// Policy holds the timing parameters of a lease; the Default constants describe
// them.
type Policy struct {
	TTL       time.Duration
	Margin    time.Duration
	ClockRate float64
}

// DefaultPolicy returns the policy that all roles use.
func DefaultPolicy() Policy {
	return Policy{TTL: DefaultTTL, Margin: DefaultMargin, ClockRate: DefaultClockRate}
}

// The store that keeps the rows may be restored from an older copy, which begins a new
// era of it. Grants since the copy are lost then, though their holders still act. An epoch
// therefore has the era in which it was granted in its high bits: it is higher than any of
// an earlier era, whether the store knows of that one or not.
const epochNumberBits = 24 // one grant per second for half a year, in each era

// EraOfEpoch returns the era of the store in which an epoch was granted.
func EraOfEpoch(epoch uint64) uint64 { return epoch >> epochNumberBits }

// nextEpoch returns the epoch of a grant in an era after one in the epoch last.
func nextEpoch(last, era uint64) uint64 { return max(last, era<<epochNumberBits) + 1 }

// Observed is a lease as a candidate has read it.
type Observed struct {
	Rows           Rows
	Record         Record
	Era            uint64    // of the store that it was read from
	UnchangedSince time.Time // when the read that first returned these row versions had completed
	// SteppedDown is whether the holder no longer acts in this epoch: it announced
	// that itself, or its process is known to have ended.
	SteppedDown bool
}

// Observe returns o updated with a read that completed at now, from the store in an era.
// Row versions that have not changed keep the time at which they were first read, so that
// the time without a renewal adds up.
func (o Observed) Observe(rows Rows, r Record, era uint64, now time.Time) Observed {
	if o.Rows == rows && o.Era == era && !o.UnchangedSince.IsZero() {
		return o
	}
	return Observed{Rows: rows, Record: r, Era: era, UnchangedSince: now}
}

// MayBeForgotten reports whether the store was restored since the record was written, so
// that it may have forgotten a later grant, whose holder may still act.
func (o Observed) MayBeForgotten() bool { return EraOfEpoch(o.Record.Epoch) < o.Era }

// Held is a lease from the point of view of its holder.
type Held struct {
	Rows     Rows
	Record   Record
	TTLStart time.Time // just before the request of the latest successful acquisition or renewal was first sent
}

// Action is what a node should do next about a lease.
type Action uint8

// The actions.
const (
	Wait      Action = iota // do nothing until Decision.Wait has passed
	Acquire                 // try to acquire the lease with Decision.Next
	Renew                   // try to renew the lease
	Reacquire               // try to acquire the lease again, which the store may have forgotten
	StepDown                // stop acting: the lease has expired
)

// Decision is the next action and how long to wait before the next decision.
type Decision struct {
	Action Action
	Wait   time.Duration
	Next   Record // set for Acquire
}

// DecideForCandidate returns what a candidate should do. It may acquire a held
// lease once the rows have not changed for the holder's whole TTL and the
// margins, measured on the candidate's own clock. The same wait is due, whatever
// the record says, if the store may have forgotten a holder.
func (p Policy) DecideForCandidate(holder string, o Observed, now time.Time) Decision {
	last := o.Record
	if o.MayBeForgotten() {
		last.TTLMs = max(last.TTLMs, p.TTL.Milliseconds())
	}
	remaining := p.takeoverWait(last) - now.Sub(o.UnchangedSince)
	if (last.Holder != "" && !o.SteppedDown || o.MayBeForgotten()) && remaining > 0 {
		return Decision{Action: Wait, Wait: min(remaining, p.TTL/pollsPerTTL)}
	}
	return Decision{Action: Acquire, Next: p.next(holder, last.Epoch, o.Era)}
}

// Reacquisition returns the record by which a holder, whose term has not expired, acquires
// the lease again from a store that was restored since. ok is false if another process
// has acquired it from that store.
func (p Policy) Reacquisition(h Held, o Observed) (next Record, ok bool) {
	return p.next(h.Record.Holder, max(h.Record.Epoch, o.Record.Epoch), o.Era), o.MayBeForgotten()
}

func (p Policy) next(holder string, last, era uint64) Record {
	return Record{Holder: holder, Epoch: nextEpoch(last, era), TTLMs: p.TTL.Milliseconds()}
}

// DecideForHolder returns what the holder should do; era is the newest era of the store
// that it knows of.
func (p Policy) DecideForHolder(h Held, era uint64, now time.Time) Decision {
	if p.Remaining(h, now) <= 0 {
		return Decision{Action: StepDown}
	}
	if EraOfEpoch(h.Record.Epoch) < era {
		return Decision{Action: Reacquire}
	}
	due := h.Record.ttl()/renewalsPerTTL - elapsed(h.TTLStart, now)
	if due <= 0 {
		return Decision{Action: Renew}
	}
	return Decision{Action: Wait, Wait: due}
}

// Remaining returns how long the holder may still act; if it is 0 or less, the
// holder must stop.
func (p Policy) Remaining(h Held, now time.Time) time.Duration {
	ttl := h.Record.ttl()
	return ttl - p.maxDrift(ttl) - p.Margin - elapsed(h.TTLStart, now)
}

// takeoverWait returns how long a candidate waits for a holder whose rows do not
// change.
func (p Policy) takeoverWait(r Record) time.Duration { return r.ttl() + p.maxDrift(r.ttl()) + p.Margin }

// maxDrift returns the largest error of a host's clock over d.
func (p Policy) maxDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * p.ClockRate)
}

func (r Record) ttl() time.Duration { return time.Duration(r.TTLMs) * time.Millisecond }

// elapsed returns the longer of the monotonic and the wall-clock time between two
// readings. The monotonic clock stops while a machine is suspended or a guest is
// frozen; on resuming, the holder would find time left and act at the same time
// as its successor. The wall clock, once corrected, shows the gap. A wall clock
// that jumps ahead by mistake only makes the holder give up the lease early.
func elapsed(from, now time.Time) time.Duration {
	return max(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}
