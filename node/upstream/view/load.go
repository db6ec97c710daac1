package view

import (
	"strconv"
	"strings"
	"time"
)

// maxRecentDeltas bounds the deltas kept for one upstream; the oldest are dropped
// first. It covers 200 requests a second over a report lag of 5 s.
const maxRecentDeltas = 2048

// delta is one dispatch (+1) or completion (-1) of an attempt of this host.
type delta struct {
	at time.Time
	by int8
}

// deltas are this host's dispatches and completions, oldest first, that the newest
// known load of an upstream does not include yet.
type deltas []delta

func (d *deltas) add(at time.Time, by int8) {
	if len(*d) >= maxRecentDeltas {
		*d = append((*d)[:0], (*d)[maxRecentDeltas/2:]...)
	}
	*d = append(*d, delta{at, by})
}

// dropUntil drops the deltas that a load taken at the given time already includes.
func (d *deltas) dropUntil(taken time.Time) {
	i := 0
	for i < len(*d) && !(*d)[i].at.After(taken) {
		i++
	}
	*d = append((*d)[:0], (*d)[i:]...)
}

// count returns the numbers of dispatches and of completions.
func (d deltas) count() (dispatched, completed int) {
	for _, x := range d {
		if x.by > 0 {
			dispatched++
		} else {
			completed++
		}
	}
	return dispatched, completed
}

// load is an upstream's load as an answer's HeaderLoad states it.
type load struct {
	running, waiting int
	takenMs          int64
}

// parseLoad parses "running waiting sequence taken_ms" and reports whether text is well-formed.
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
