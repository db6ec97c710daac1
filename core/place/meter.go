package place

import (
	"math"
	"time"
)

// The windows over which demand is averaged unless a site says otherwise.
const (
	DefaultShort = 30 * time.Second // long enough that a burst of seconds does not fill it
	DefaultLong  = 5 * time.Minute  // a tenfold rise within an hour shows in a twelfth of it
)

// Meter averages the requests in progress for each key over two windows. It
// has no clock and no lock: its owner tells it the time.
type Meter struct {
	short, long time.Duration
	keys        map[Key]*means
}

// means are two decayed sums with their weights, so that the first minutes of
// a key give plain averages and not ones that begin at zero.
type means struct {
	at          time.Time
	short, long weighted
}

type weighted struct{ sum, weight float64 }

// NewMeter makes a meter; zero windows take their defaults.
func NewMeter(short, long time.Duration) *Meter {
	if short <= 0 {
		short = DefaultShort
	}
	if long <= 0 {
		long = DefaultLong
	}
	return &Meter{short: short, long: long, keys: map[Key]*means{}}
}

// Observe tells that n requests for the key are in progress or waiting, over
// all hosts, and have been since the last time it was told.
func (m *Meter) Observe(now time.Time, key Key, n float64) {
	k := m.keys[key]
	if k == nil {
		m.keys[key] = &means{at: now, short: weighted{n, 0}, long: weighted{n, 0}}
		return
	}
	passed := now.Sub(k.at)
	if passed <= 0 {
		return
	}
	k.at = now
	k.short.add(n, passed, m.short)
	k.long.add(n, passed, m.long)
}

func (w *weighted) add(n float64, passed, window time.Duration) {
	keep := math.Exp(-passed.Seconds() / window.Seconds())
	if w.weight == 0 {
		w.sum = 0 // the first figure had no duration yet
	}
	w.sum = w.sum*keep + n*(1-keep)
	w.weight = w.weight*keep + (1 - keep)
}

func (w weighted) mean() float64 {
	if w.weight == 0 {
		return w.sum
	}
	return w.sum / w.weight
}

// Demand gives the means of all keys.
func (m *Meter) Demand() map[Key]Demand {
	out := make(map[Key]Demand, len(m.keys))
	for key, k := range m.keys {
		out[key] = Demand{Short: k.short.mean(), Long: k.long.mean()}
	}
	return out
}
