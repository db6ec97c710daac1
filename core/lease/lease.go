// Package lease decides when a lease may be taken, must be renewed and has
// ended, from what one node saw of its rows and that node's own clock. No two
// clocks are ever compared: the holder counts from before it asked for its
// time, a candidate from after it saw that time granted, and a margin covers
// clocks that run at different rates.
package lease

import (
	"encoding/json"
	"fmt"
	"time"
)

// Defaults of a policy.
const (
	// DefaultTTL bounds how long a role stays empty after its holder died; at
	// one renewal every 3.3 s, 100 leases cost the table 33 writes/s.
	DefaultTTL = 10 * time.Second
	// DefaultMargin covers scheduling between a check and the act it allows.
	DefaultMargin = 250 * time.Millisecond
	// DefaultClockRate is the largest share by which a host's clock runs fast
	// or slow; quartz stays below 0.0002, a clock under correction below 0.001.
	DefaultClockRate = 0.005

	renewalsPerTTL = 3 // renewals a TTL: two may fail before the lease ends
	pollsPerTTL    = 4 // looks of a candidate a TTL: a released lease stands empty for a quarter of it
)

// Record is the grant of a lease, the value of its row. The row is never
// deleted, so that epochs rise for ever.
type Record struct {
	Holder string `json:"holder"` // one process, not one host: a restarted process is another holder; "": free
	Epoch  uint64 `json:"epoch"`  // rises with every grant: the fencing number of acts under it
	TTLMs  int64  `json:"ttl_ms"` // as the holder counts it; candidates wait by it whatever their own policy
}

// Encode writes the row's value.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // two numbers and a string always encode
	}
	return b
}

// Decode reads a row's value; no value is a lease that nobody ever held.
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

// Rows are the versions of a lease's two rows. The grant row changes with its
// holder only, so that writes under the lease can be made conditional on it;
// the beat row changes with every renewal.
type Rows struct{ Grant, Heartbeat uint64 }

// Policy holds the times of a lease.
type Policy struct {
	TTL       time.Duration
	Margin    time.Duration
	ClockRate float64
}

// DefaultPolicy returns the policy for all roles.
func DefaultPolicy() Policy {
	return Policy{TTL: DefaultTTL, Margin: DefaultMargin, ClockRate: DefaultClockRate}
}

// Observed is what a candidate knows of a lease.
type Observed struct {
	Rows           Rows
	Record         Record
	UnchangedSince time.Time // when the answer that first showed these rows had come in
	// Yielded says that the holder told itself that it acts in this epoch no more.
	SteppedDown bool
}

// Observe takes in a read whose answer came in at now. A row version that is
// still the same keeps its first time: that is what makes silence count.
func (o Observed) Observe(rows Rows, r Record, now time.Time) Observed {
	if o.Rows == rows && !o.UnchangedSince.IsZero() {
		return o
	}
	return Observed{Rows: rows, Record: r, UnchangedSince: now}
}

// Held is a lease as its holder knows it.
type Held struct {
	Rows     Rows
	Record   Record
	TTLStart time.Time // just before the newest granted acquisition or renewal was first sent
}

// Action is what a node should do next about a lease.
type Action uint8

// The actions.
const (
	Wait     Action = iota // nothing until Decision.Wait has passed
	Acquire                // try to take it, with Decision.Next
	Renew                  // try to renew it
	StepDown               // stop acting: the time is up
)

// Decision is the next action and the wait before the next decision.
type Decision struct {
	Action Action
	Wait   time.Duration
	Next   Record // for Take
}

// DecideForCandidate decides for a candidate. A held lease may be taken once its rows
// have stood unchanged for the holder's whole TTL and the margins, all on the
// candidate's own clock.
func (p Policy) DecideForCandidate(holder string, o Observed, now time.Time) Decision {
	left := p.takeoverWait(o.Record) - now.Sub(o.UnchangedSince)
	if o.Record.Holder != "" && !o.SteppedDown && left > 0 {
		return Decision{Action: Wait, Wait: min(left, p.TTL/pollsPerTTL)}
	}
	next := Record{Holder: holder, Epoch: o.Record.Epoch + 1, TTLMs: p.TTL.Milliseconds()}
	return Decision{Action: Acquire, Next: next}
}

// DecideForHolder decides for a holder.
func (p Policy) DecideForHolder(h Held, now time.Time) Decision {
	if p.Remaining(h, now) <= 0 {
		return Decision{Action: StepDown}
	}
	due := h.Record.ttl()/renewalsPerTTL - elapsed(h.TTLStart, now)
	if due <= 0 {
		return Decision{Action: Renew}
	}
	return Decision{Action: Wait, Wait: due}
}

// Remaining is how long the holder may still act; not above 0 means stop.
func (p Policy) Remaining(h Held, now time.Time) time.Duration {
	ttl := h.Record.ttl()
	return ttl - p.maxDrift(ttl) - p.Margin - elapsed(h.TTLStart, now)
}

// takeoverWait is how long a candidate waits for a silent holder.
func (p Policy) takeoverWait(r Record) time.Duration { return r.ttl() + p.maxDrift(r.ttl()) + p.Margin }

func (p Policy) maxDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * p.ClockRate)
}

func (r Record) ttl() time.Duration { return time.Duration(r.TTLMs) * time.Millisecond }

// elapsed is the longer of the monotonic and the wall time between two
// readings. The monotonic clock stands still while a machine is suspended or
// a guest is frozen; its holder would wake, find time left, and act beside
// its successor. The wall clock, once corrected, shows the gap. A wall clock
// that jumps ahead for no reason costs only a lease given up early.
func elapsed(from, now time.Time) time.Duration {
	return max(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}
