package backpressure

import (
	"slices"
	"time"
)

// slotDoubt is the doubt that an upstream has room in all its slots, after it refused a
// request within them: requests that this account does not know may take some. Each
// answer from then on shows room that there is.
type slotDoubt struct {
	since   time.Time   // when the last such refusal was learnt of; zero: no doubt
	shown   int         // slots that answers have shown since then
	excused []time.Time // refusals within the slots that requests beyond them account for
}

// begin records a refusal within the slots. What was shown before counts no more.
func (d *slotDoubt) begin(now time.Time) { d.since, d.shown = now, 0 }

// certain returns how many of the slots are certain room.
func (d *slotDoubt) certain(slots int) int {
	if d.since.IsZero() {
		return slots
	}
	return min(d.shown, slots)
}

// answered records that a request's answer began. All requests that were sent before the
// refusal and are answered after it were there together when it was made.
func (d *slotDoubt) answered(s *Send, slots int) {
	if d.since.IsZero() {
		return
	}
	if s.at.Before(d.since) {
		d.shown++
	} else {
		d.shown = max(d.shown, s.inFlight+1)
	}
	if d.shown >= slots {
		d.since = time.Time{}
	}
}

// overtaken reports whether a refusal within the slots is accounted for by one of the
// requests beyond them, which may have arrived earlier. Each accounts for one.
func (d *slotDoubt) overtaken(beyond int, now time.Time) bool {
	d.excused = slices.DeleteFunc(d.excused, func(at time.Time) bool { return now.Sub(at) >= refusalWindow })
	if len(d.excused) >= beyond {
		return false
	}
	d.excused = append(d.excused, now)
	return true
}
