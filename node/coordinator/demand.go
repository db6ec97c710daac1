package coordinator

import (
	"math"
	"sync"
	"time"

	"peridotpier.example/core/replica"
	"peridotpier.example/node/coordinator/coordpb"
)

const (
	// forgetting is the time in which old demand loses most of its weight. The
	// hot models change within seconds; a shorter time would follow bursts of
	// single requests.
	forgetting = 1500 * time.Millisecond
	// tokensPerSecond is how many tokens of prompt an engine reads.
	tokensPerSecond = 20_000.0
	// outputShare is what a token of an answer takes of an engine's time
	// beside one of a prompt: steps are shared by the whole batch.
	outputShare = 2.0
	// unservedFor is how long a model that nobody held counts as asked for.
	unservedFor = 2 * time.Second
)

type modelKey struct{ service, model string }

// demand follows what callers ask of each model.
type demand struct {
	mu sync.Mutex
	of map[modelKey]*wanted
}

type wanted struct {
	sum      float64 // decaying engine time, seconds
	at       time.Time
	unserved time.Time
}

func newDemand() *demand { return &demand{of: map[modelKey]*wanted{}} }

// take adds one host's report.
func (d *demand) take(all []*coordpb.Demand, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range all {
		k := modelKey{w.Service, w.Model}
		own := d.of[k]
		if own == nil {
			own = &wanted{at: now}
			d.of[k] = own
		}
		own.decay(now)
		own.sum += (float64(w.Prompt) + outputShare*float64(w.Output)) / tokensPerSecond
		if w.Unserved > 0 {
			own.unserved = now
		}
	}
}

func (w *wanted) decay(now time.Time) {
	w.sum *= math.Exp(-now.Sub(w.at).Seconds() / forgetting.Seconds())
	w.at = now
}

// least is the load below which a model counts as not asked for.
const least = 0.002

// of service returns the present demand for the models of a service.
func (d *demand) service(name string, now time.Time) map[string]replica.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]replica.Demand{}
	for k, w := range d.of {
		if k.service != name {
			continue
		}
		w.decay(now)
		load := w.sum / forgetting.Seconds()
		unserved := now.Sub(w.unserved) < unservedFor
		if load < least && !unserved {
			delete(d.of, k)
			continue
		}
		out[k.model] = replica.Demand{Load: load, Unserved: unserved}
	}
	return out
}
