package view

import (
	"strconv"
	"strings"
	"time"
)

// maxRecentDeltas bounds the dispatches remembered for one upstream; the oldest
// are forgotten first. It covers 200 requests a second over a lag of 5 s.
const maxRecentDeltas = 2048

// delta is one own dispatch (+1) or completion (-1).
type delta struct {
	at time.Time
	by int8
}

// deltas are the host's own dispatches and completions, oldest first, that the
// newest known load does not yet show.
type deltas []delta

func (d *deltas) add(at time.Time, by int8) {
	if len(*d) >= maxRecentDeltas {
		*d = append((*d)[:0], (*d)[maxRecentDeltas/2:]...)
	}
	*d = append(*d, delta{at, by})
}

// dropUntil forgets what a load taken at the given time already shows.
func (d *deltas) dropUntil(taken time.Time) {
	i := 0
	for i < len(*d) && !(*d)[i].at.After(taken) {
		i++
	}
	*d = append((*d)[:0], (*d)[i:]...)
}

// count returns the dispatches and the completions.
func (d deltas) count() (begun, done int) {
	for _, x := range d {
		if x.by > 0 {
			begun++
		} else {
			done++
		}
	}
	return begun, done
}

// load is what an answer's head tells of its upstream.
type load struct {
	running, waiting int
	takenMs          int64
}

// parseLoad reads "running waiting sequence taken_ms".
func parseLoad(text string) (load, bool) {
	f := strings.Fields(text)
	if len(f) != 4 {
		return load{}, false
	}
	running, err1 := strconv.Atoi(f[0])
	waiting, err2 := strconv.Atoi(f[1])
	taken, err3 := strconv.ParseInt(f[3], 10, 64)
	return load{running, waiting, taken}, err1 == nil && err2 == nil && err3 == nil
}
