package coordinator

import (
	"math"
	"sync"
	"time"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/replica"
	"peridotpier.example/node/coordinator/coordpb"
)

const (
	// forgetting is the time in which old demand loses most of its weight. The
	// hot models change within seconds; a shorter time would follow bursts of
	// single requests.
	forgetting = 1500 * time.Millisecond
	// unservedFor is how long a model that nobody held counts as asked for.
	unservedFor = 2 * time.Second
)

type modelKey struct{ service, model string }

// demand follows what callers ask of each model.
type demand struct {
	mu   sync.Mutex
	of   map[modelKey]*wanted
	from time.Time // since when hosts have reported without a break
	last time.Time
}

type wanted struct {
	sum      float64 // decaying engine time, seconds
	requests float64 // decaying as sum does
	at       time.Time
	first    time.Time
	last     time.Time
	unserved time.Time
	patience time.Duration // shortest objective of those who asked
}

func newDemand() *demand { return &demand{of: map[modelKey]*wanted{}} }

// take adds one host's report; engineTime says what requests of a model take.
func (d *demand) take(all []*coordpb.Demand, engineTime func(k modelKey, prompt, output int) time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.last) > reportFresh {
		d.from = now
	}
	d.last = now
	for _, w := range all {
		k := modelKey{w.Service, w.Model}
		own := d.wantedLocked(k, now)
		own.decay(now)
		own.sum += engineTime(k, int(w.Prompt), int(w.Output)).Seconds()
		own.requests += float64(w.Requests)
		own.last = now
		if w.PatienceMs > 0 {
			own.patience = min(own.patience, milliseconds(w.PatienceMs))
		}
		if w.Unserved > 0 {
			own.unserved = now
		}
	}
}

func (d *demand) wantedLocked(k modelKey, now time.Time) *wanted {
	own := d.of[k]
	if own == nil {
		own = &wanted{at: now, first: now, patience: time.Hour}
		d.of[k] = own
	}
	return own
}

func (w *wanted) decay(now time.Time) {
	share := math.Exp(-now.Sub(w.at).Seconds() / forgetting.Seconds())
	w.sum *= share
	w.requests *= share
	w.at = now
}

const (
	// least is the load below which a model counts as not asked for.
	least = 0.002
	// patientLoads is how many loads from a disk an objective must be long for
	// its callers to be patient: one for the load, one for what makes way, and
	// as much again.
	patientLoads = 3.5
	// quietAfter is how long after its last request a model's load is 0.
	quietAfter = 12 * time.Second
)

// service returns the present demand for the models of a service, of all that
// were ever asked for.
func (d *demand) service(name string, e *deploy.Engine, now time.Time) map[string]replica.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]replica.Demand{}
	for k, w := range d.of {
		if k.service != name {
			continue
		}
		w.decay(now)
		load := w.sum / forgetting.Seconds()
		if load < least || now.Sub(w.last) > quietAfter {
			load = 0
		}
		out[k.model] = replica.Demand{EngineLoad: load, Unserved: now.Sub(w.unserved) < unservedFor, WaitsForLoad: patient(e, k.model, w.patience), TimePerRequest: w.each()}
	}
	return out
}

// leastCounted is how many requests, decaying, must count for their mean to be known.
const leastCounted = 0.5

// each is the engine's time that a request takes; 0: not known.
func (w *wanted) each() time.Duration {
	if w.requests < leastCounted {
		return 0
	}
	return time.Duration(w.sum / w.requests * float64(time.Second))
}

// demandKnown is how long after its first request a model's demand is known
// well enough to go by it alone: until then the sum is still filling.
const demandKnown = 3 * time.Second

// known says whether the demand for a model can be gone by.
func (d *demand) known(service, model string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.of[modelKey{service, model}]
	return w != nil && now.Sub(w.first) >= demandKnown
}

// heard says whether hosts have reported for long enough for the demand for all
// models to be known.
func (d *demand) heard(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.from.IsZero() && now.Sub(d.from) >= demandKnown
}

// patient says whether those who ask for a model within an objective would
// wait for a load from a disk.
func patient(e *deploy.Engine, model string, objective time.Duration) bool {
	return objective.Seconds() > patientLoads*replica.LoadTime(e, model, replica.FromDisk).Seconds()
}

// callersWait is how long any caller of a service may wait for a model and still
// be answered; 0: the service has no route.
func callersWait(c *deploy.Config, service string) time.Duration {
	shortest := time.Duration(0)
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, split := range r.Splits {
			if split.Service == service && (shortest == 0 || r.Timeout < shortest) {
				shortest = r.Timeout
			}
		}
	}
	return time.Duration(replica.MaxWaitShare * float64(shortest))
}

// somePatient says whether a service has a route whose callers would wait for
// a load of any of its models.
func somePatient(c *deploy.Config, s *deploy.Service) bool {
	for i := range c.Routes {
		for _, split := range c.Routes[i].Splits {
			if split.Service == s.Name && len(s.Engine.Models) > 0 && patient(s.Engine, s.Engine.Models[0].Name, c.Routes[i].Objective) {
				return true
			}
		}
	}
	return false
}
