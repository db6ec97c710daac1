package queue

import "time"

// Parameters of the prediction when a request would be granted.
const (
	// rateSpan is the time over which a line's grants are counted. The figures are of the
	// last one to two spans, in which requests waited all the time: while nobody waits, the
	// grants say what was asked for, not what could be granted.
	rateSpan = time.Second
	// minRateGrants is the least number of counted grants from which anything is predicted.
	minRateGrants = 8
	// doubtFactor is by how much the predicted wait must exceed what the request's caller
	// waits, for the request to be hopeless: a refusal of one that would have been granted
	// costs its caller more than a wait that ends with a refusal.
	doubtFactor = 2.0
	// returnMargin is the time until a refused request should return, as a multiple of what
	// those ahead of it take: others arrive meanwhile, and one that is refused again has
	// waited in vain twice.
	returnMargin = 1.5
	// maxReturnWaits bounds by how much later than the first a refused request is told to
	// return, as a multiple of what its caller waits for a permit.
	maxReturnWaits = 4
)

// outlook predicts for one line when requests are granted, and tells refused ones when to
// return, one after the other.
type outlook struct {
	began         time.Time // when the current span began
	busy          time.Time // since when requests wait without a break; zero: none waits
	current, last int       // grants in the current span and in the one before
	lastSpan      time.Duration
	returnAt      time.Time // when the request that was refused last was told to return
}

// waits records whether requests of the line wait.
func (o *outlook) waits(any bool, now time.Time) {
	switch {
	case !any:
		o.busy = time.Time{}
	case o.busy.IsZero():
		o.busy, o.began, o.current, o.last, o.lastSpan = now, now, 0, 0, 0
	}
}

func (o *outlook) granted(now time.Time) {
	if o.busy.IsZero() {
		return
	}
	o.advance(now)
	o.current++
}

func (o *outlook) advance(now time.Time) {
	if since := now.Sub(o.began); since >= rateSpan {
		o.began, o.current, o.last, o.lastSpan = now, 0, o.current, since
	}
}

// interval returns the mean time from one grant to the next; ok is false without enough
// observation.
func (o *outlook) interval(now time.Time) (each time.Duration, ok bool) {
	if o.busy.IsZero() || now.Sub(o.busy) < rateSpan {
		return 0, false
	}
	o.advance(now)
	n := o.current + o.last
	if n < minRateGrants {
		return 0, false
	}
	return (o.lastSpan + now.Sub(o.began)) / time.Duration(n), true
}

// refuse returns whether a request with so many ahead of it is hopeless, if its caller waits
// for so long, and then after what time it should return: when those that wait now, and those
// that were told to return before it, have been granted.
func (o *outlook) refuse(ahead int, maxWait time.Duration, now time.Time) (after time.Duration, hopeless bool) {
	each, ok := o.interval(now)
	if !ok || float64(ahead)*each.Seconds() <= doubtFactor*maxWait.Seconds() {
		return 0, false
	}
	room := now.Add(time.Duration(returnMargin * float64(ahead) * float64(each)))
	if at := o.returnAt.Add(each); at.After(room) && at.Sub(room) <= maxReturnWaits*maxWait { // begins again: its caller will have given up by then
		room = at
	}
	o.returnAt = room
	return room.Sub(now), true
}
