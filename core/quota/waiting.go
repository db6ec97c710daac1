package quota

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// floorShare is the share of a limit that the ranks below the most urgent one get together
	// while they ask for it. A rank that always asks gets its part of it, so that its first
	// request waits no longer than its cost takes at that rate, and one larger request more.
	floorShare = 0.1
	// cheapShare is the share of a limit that small requests get before all others, whatever
	// their ranks: those that cost at most cheapPart of the mean by cost. Each delays an urgent one
	// by that part of a request at most, and far more callers are served.
	cheapShare = 0.1
	cheapPart  = 1.0 / 8
	// floorSpan is how much of its part of the limit a rank may have in reserve: as much as
	// comes in this time, or one request.
	floorSpan = time.Second
	// rankMemory is how long after its last request a rank counts as one that asks.
	rankMemory = 3 * rateWindow
	// maxRanks bounds the ranks that are told apart in one account; all less urgent ones count
	// as the last.
	maxRanks = 16
	// maxWaiting bounds the requests that wait at one account.
	maxWaiting = 4096
	// patienceClasses is the number of classes of requests by how long they may wait, each
	// reaching to twice the time of the one before; the last one holds all longer ones.
	patienceClasses = 18
)

// Waiter is a request that waits at an account for room.
type Waiter struct {
	account *account
	rank    *rankState
	class   int
	cost    float64
	askedAt time.Time
	latest  time.Time // when it is refused if it was not admitted by then
	caller  Ask
	over    bool // admitted, refused or cancelled
}

// Cost returns the cost of the request.
func (w *Waiter) Cost() float64 { return w.cost }

// AskedAt returns when the request began to wait.
func (w *Waiter) AskedAt() time.Time { return w.askedAt }

// rankState is what one account knows of the requests of one rank.
type rankState struct {
	rank     int
	demand   demand
	askedAt  time.Time // when a request of the rank came last
	reserve  float64   // cost that the rank may take before more urgent ones; negative: it got more than its floor
	classes  [patienceClasses]fifo
	waiting  int
	queued   float64 // cost of those that wait
	promises promises
}

// fifo holds the requests of one patience class, which expire in about the order in which
// they came.
type fifo struct {
	all    []*Waiter
	head   int
	queued float64
}

// first returns the first request that still waits; nil: none does.
func (f *fifo) first() *Waiter {
	for f.head < len(f.all) && f.all[f.head].over {
		f.all[f.head] = nil
		f.head++
	}
	if f.head == len(f.all) {
		f.all, f.head = f.all[:0], 0
		return nil
	}
	if f.head > len(f.all)/2 && f.head > maxRanks {
		f.all, f.head = slices.Delete(f.all, 0, f.head), 0
	}
	return f.all[f.head]
}

// returningClass is the class of requests that came back as promised. They go before all
// others of their rank.
const returningClass = 0

// last returns the request that came last of those that wait; nil: none does.
func (f *fifo) last() *Waiter {
	for f.head < len(f.all) && f.all[len(f.all)-1].over {
		f.all[len(f.all)-1] = nil
		f.all = f.all[:len(f.all)-1]
	}
	if f.head == len(f.all) {
		return nil
	}
	return f.all[len(f.all)-1]
}

// patienceClass returns the class of a request that may wait so long.
func patienceClass(maxWait time.Duration) int {
	return min(1+bits.Len64(uint64(max(maxWait.Milliseconds(), 0))), patienceClasses-1)
}

// first returns the request of the rank that has to be admitted first: one that came back,
// else the one that expires first.
func (r *rankState) first() *Waiter {
	if w := r.classes[returningClass].first(); w != nil {
		return w
	}
	var out *Waiter
	for c := returningClass + 1; c < patienceClasses; c++ {
		if w := r.classes[c].first(); w != nil && (out == nil || w.latest.Before(out.latest)) {
			out = w
		}
	}
	return out
}

// ahead returns the cost of the requests of the rank that go before one of a class.
func (r *rankState) ahead(class int) float64 {
	sum := 0.0
	for c := range class + 1 {
		sum += r.classes[c].queued
	}
	return sum
}

// push adds a request to those that wait.
func (r *rankState) push(w *Waiter) {
	f := &r.classes[w.class]
	f.all = append(f.all, w)
	f.queued += w.cost
	r.queued += w.cost
	r.waiting++
}

// remove takes a request from those that wait.
func (r *rankState) remove(w *Waiter) {
	w.over = true
	r.classes[w.class].queued -= w.cost
	r.queued -= w.cost
	r.waiting--
	if r.waiting == 0 { // sums of floats do not return to zero
		r.queued = 0
		for c := range r.classes {
			r.classes[c].queued = 0
		}
	}
}

// addReserve changes what the rank may take before more urgent ones.
func (r *rankState) addReserve(cost, most float64) {
	r.reserve = math.Min(math.Max(r.reserve+cost, -most), most)
}
