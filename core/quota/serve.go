package quota

import (
	"math"
	"time"
)

// next returns the request that is to be admitted next; nil: none waits.
func (a *account) next() *Waiter {
	var out, due *Waiter
	for i, r := range a.ranks {
		w := r.first()
		switch {
		case w == nil:
		case out == nil:
			out = w
		case i > 0 && r.reserve >= w.cost && (due == nil || r.reserve > due.rank.reserve):
			due = w
		}
	}
	if due != nil {
		return due
	}
	return out
}

// serve admits the requests that the bucket has the cost of, in their order, and refuses
// those that have waited too long.
func (a *account) serve(now time.Time, decide func(*Waiter, Answer)) {
	for a.waiting > 0 {
		w := a.next()
		if _, ok := a.take(w.rank, w.cost, now); !ok {
			break
		}
		a.remove(w)
		decide(w, Answer{Verdict: Admit, Level: a.bucket.level})
	}
	for _, r := range a.ranks {
		for c := range r.classes {
			for w := r.classes[c].first(); w != nil && !now.Before(w.latest); w = r.classes[c].first() {
				decide(w, a.giveUp(w, a.predict(r, c, 0, now), now))
			}
		}
	}
	if now.Sub(a.shedAt) >= shedInterval {
		a.shedAt = now
		a.shed(now, decide)
	}
}

const (
	// shedInterval is how often the waits of those that wait are predicted anew.
	shedInterval = 100 * time.Millisecond
	// shedMargin is the part of its wait by which a request must be predicted too late.
	shedMargin = 1.2
)

// shed refuses those that will not be admitted in time because more urgent ones have come
// since, the newest first: waiting longer would only hold them up.
func (a *account) shed(now time.Time, decide func(*Waiter, Answer)) {
	for _, r := range a.ranks {
		for c := returningClass + 1; c < patienceClasses; c++ {
			for w := r.classes[c].last(); w != nil; w = r.classes[c].last() {
				wait := a.predict(r, c, 0, now)
				if float64(wait) <= float64(w.latest.Sub(now))*shedMargin {
					break
				}
				decide(w, a.giveUp(w, wait, now))
			}
		}
	}
}

// giveUp refuses a request that waits.
func (a *account) giveUp(w *Waiter, wait time.Duration, now time.Time) Answer {
	a.remove(w)
	q := w.caller
	q.ReturnWithin, q.InTime = max(q.ReturnWithin-now.Sub(w.askedAt), 0), q.InTime-now.Sub(w.askedAt)
	return a.refuse(w.rank, q, wait, now)
}

// wakeAfter returns after how long a request that waits may be decided.
func (a *account) wakeAfter(now time.Time) time.Duration {
	w := a.next()
	if w == nil {
		return maxPrediction
	}
	rate, missing := a.bucket.limit.PerSecond, a.missing(w.cost, now)
	if rate <= 0 {
		return maxPrediction
	}
	out := time.Duration(math.Ceil(max(missing, 0) / rate * float64(time.Second)))
	for _, r := range a.ranks {
		for c := range r.classes {
			if w := r.classes[c].first(); w != nil {
				out = min(out, w.latest.Sub(now))
			}
		}
	}
	return max(out, 0)
}

// remove takes a request from those that wait.
func (a *account) remove(w *Waiter) {
	if !w.over {
		w.rank.remove(w)
		a.waiting--
	}
}

// clear takes all requests from the account and returns those that waited.
func (a *account) clear() []*Waiter {
	var out []*Waiter
	for w := a.next(); w != nil; w = a.next() {
		a.remove(w)
		out = append(out, w)
	}
	return out
}
