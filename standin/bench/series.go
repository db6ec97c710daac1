package bench

import (
	"slices"
	"time"

	"peridotpier.example/standin/load"
)

// seriesPoints is the number of intervals into which a run is divided.
const seriesPoints = 30

// Point has the figures of one interval of a run.
type Point struct {
	At         time.Duration
	Attainment float64       // of the requests sent in this interval
	FirstP50   time.Duration // time to the first token
	FirstP95   time.Duration
}

// Series has the intervals of a run in the order of time.
type Series []Point

// newSeries divides the requests of a run by the time at which they were sent.
func newSeries(r *load.Result, length time.Duration) Series {
	sent, met := make([]int, seriesPoints), make([]int, seriesPoints)
	first := make([][]time.Duration, seriesPoints)
	for _, v := range r.Invocations {
		i := min(int(v.Arrival.Offset*seriesPoints/length), seriesPoints-1)
		sent[i]++
		if v.MetDeadline() {
			met[i]++
		}
		if v.TimeToFirstToken > 0 && v.Arrival.Source.Model != "" {
			first[i] = append(first[i], v.TimeToFirstToken)
		}
	}
	out := make(Series, seriesPoints)
	for i := range out {
		out[i].At = length * time.Duration(i) / seriesPoints
		out[i].Attainment = 1
		if sent[i] > 0 {
			out[i].Attainment = float64(met[i]) / float64(sent[i])
		}
		slices.Sort(first[i])
		out[i].FirstP50, out[i].FirstP95 = quantile(first[i], 0.5), quantile(first[i], 0.95)
	}
	return out
}

// quantile returns the quantile q of sorted times; 0 without any.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
