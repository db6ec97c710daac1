package quota

import "time"

const (
	// returnShare is the share of what a rank can have that is promised to refused requests
	// while new ones ask for all of it, if they can still be answered in time then. Those
	// that cannot are promised only what new ones leave: they would make others as late.
	returnShare = 0.2
	// promiseLead and promiseLapse are how long before and after its time a promise may be
	// redeemed: callers count from when they read the answer, and connect again.
	promiseLead  = 50 * time.Millisecond
	promiseLapse = 500 * time.Millisecond
	// maxPromiseScan bounds the promises that one request is compared with.
	maxPromiseScan = 64
)

// promise is the time at which a refused request of some cost was told to come back.
type promise struct {
	at   time.Time
	cost float64
}

// promises are those of one rank, in the order of their times. A promise is known by the
// cost of its request only: whoever asks for as much at its time redeems it.
type promises struct {
	all    []promise
	nextAt time.Time // before which all room for returning requests is promised
}

// add promises room for a cost from the given time on, if that is early enough, and
// returns when there is room. perSecond is the rate at which room is promised.
func (p *promises) add(cost, perSecond float64, earliest, latest time.Time) (at time.Time, promised bool) {
	at = earliest
	if p.nextAt.After(at) {
		at = p.nextAt
	}
	if at.After(latest) || perSecond <= 0 {
		return at, false
	}
	p.nextAt = at.Add(time.Duration(min(cost/perSecond, rankMemory.Seconds()) * float64(time.Second))) // by then the demand is another one
	p.all = append(p.all, promise{at, cost})
	return at, true
}

// redeem removes the first promise for this cost whose time has come.
func (p *promises) redeem(cost float64, now time.Time) bool {
	p.expire(now)
	for i := range min(len(p.all), maxPromiseScan) {
		if p.all[i].at.Add(-promiseLead).After(now) {
			return false
		}
		if p.all[i].cost == cost {
			p.drop(i)
			return true
		}
	}
	return false
}

// expire forgets the promises that nobody redeemed.
func (p *promises) expire(now time.Time) {
	n := 0
	for n < len(p.all) && now.After(p.all[n].at.Add(promiseLapse)) {
		n++
	}
	if n > 0 {
		p.all = append(p.all[:0], p.all[n:]...)
	}
}

func (p *promises) drop(i int) {
	p.all = append(p.all[:i], p.all[i+1:]...)
}
