// Package demand knows, for the acting coordinator, the demand for each model, over all
// hosts, and how fast the engines of each service run each model.
//
// Both grow with the models that are requested. A report costs what it contains, and the
// demand for a service a pass over the models; neither depends on the number of hosts or
// upstreams.
//
// Demand and Speeds have a mutex each. Demand calls the engine time of a report's requests
// under its own, and takes that of Speeds there; Speeds takes no other.
package demand

import (
	"math"
	"sync"
	"time"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/replica"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
)

const (
	// decayTime is the time constant by which old demand decays. The hot models
	// change within seconds; a shorter time would follow bursts of single requests.
	decayTime = 1500 * time.Millisecond
	// unservedFor is how long a model that no upstream had resident counts as
	// requested.
	unservedFor = 2 * time.Second
	// unknownObjective is the objective of a model whose requests state none. Handovers
	// contain it as it is.
	unknownObjective = time.Hour
)

// Key identifies a model of a service.
type Key struct{ Service, Model string }

// Demand tracks the demand for each model.
type Demand struct {
	mu            sync.Mutex
	models        map[Key]*modelDemand
	reportedSince time.Time // since when hosts have reported without a break
	lastReportAt  time.Time
}

type modelDemand struct {
	engineSeconds float64 // decaying sum of engine time, in seconds
	requests      float64 // decays like engineSeconds
	decayedAt     time.Time
	firstAt       time.Time
	lastAt        time.Time
	unservedAt    time.Time
	minObjective  time.Duration // shortest objective of the requests
	parts         parts
	steady        steadyLoad
}

// New returns a demand without reports.
func New() *Demand { return &Demand{models: map[Key]*modelDemand{}} }

// Add enters the report of one host of a data centre; engineTime returns the engine time of
// requests for a model.
func (d *Demand) Add(all []*coordpb.Demand, dataCentre string, engineTime func(k Key, prompt, output int) time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lastReportAt) > wire.ReportFresh {
		d.reportedSince = now
	}
	d.lastReportAt = now
	for _, reported := range all {
		k := Key{reported.Service, reported.Model}
		m := d.modelLocked(k, now)
		m.decay(now)
		took := engineTime(k, int(reported.Prompt), int(reported.Output)).Seconds()
		m.engineSeconds += took
		m.parts.add(part{dataCentre, rankOf(reported.Rank)}, max(took, unservedSeconds*float64(reported.Unserved)))
		m.requests += float64(reported.Requests)
		m.lastAt = now
		if reported.PatienceMs > 0 {
			m.minObjective = min(m.minObjective, wire.Milliseconds(reported.PatienceMs))
		}
		if reported.Unserved > 0 {
			m.unservedAt = now
		}
	}
}

func (d *Demand) modelLocked(k Key, now time.Time) *modelDemand {
	m := d.models[k]
	if m == nil {
		m = &modelDemand{decayedAt: now, firstAt: now, minObjective: unknownObjective}
		d.models[k] = m
	}
	return m
}

func (m *modelDemand) decay(now time.Time) {
	share := math.Exp(-now.Sub(m.decayedAt).Seconds() / decayTime.Seconds())
	m.engineSeconds *= share
	m.requests *= share
	m.parts.scale(share)
	m.decayedAt = now
}

const (
	// minLoad is the load below which a model counts as having no demand.
	minLoad = 0.002
	// patientLoads is how many loads from a disk an objective must last for its callers
	// to count as patient: one for the load, one for the eviction before it, and as
	// much again.
	patientLoads = 3.5
	// Expiry is how long after its last request a model's load counts as 0.
	Expiry = 12 * time.Second
)

// OfService returns the present demand for all models of a service that were ever
// requested.
func (d *Demand) OfService(name string, e *deploy.Engine, now time.Time) map[string]replica.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]replica.Demand{}
	for k, m := range d.models {
		if k.Service != name {
			continue
		}
		m.decay(now)
		load := m.engineSeconds / decayTime.Seconds()
		if load < minLoad || now.Sub(m.lastAt) > Expiry {
			load = 0
		}
		wanted := replica.Demand{EngineLoad: load, Unserved: now.Sub(m.unservedAt) < unservedFor, WaitsForLoad: isPatient(e, k.Model, m.minObjective),
			TimePerRequest: m.engineTimePerRequest(), Lasting: m.steady.update(load, now)}
		wanted.ByDataCentre, wanted.ByRank = m.parts.loads()
		out[k.Model] = wanted
	}
	return out
}

// minCounted is how many requests, decayed, must count for their mean to be known.
const minCounted = 0.5

// engineTimePerRequest returns the engine time of one request; 0: unknown.
func (m *modelDemand) engineTimePerRequest() time.Duration {
	if m.requests < minCounted {
		return 0
	}
	return time.Duration(m.engineSeconds / m.requests * float64(time.Second))
}

// knownAfter is how long after its first request a model's demand is known well
// enough to be used alone: until then the sum is still filling.
const knownAfter = 3 * time.Second

// IsKnown reports whether the demand for a model is known well enough to be used.
func (d *Demand) IsKnown(service, model string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.models[Key{service, model}]
	return m != nil && now.Sub(m.firstAt) >= knownAfter
}

// AllKnown reports whether hosts have reported for long enough for the demand for all
// models to be known.
func (d *Demand) AllKnown(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.reportedSince.IsZero() && now.Sub(d.reportedSince) >= knownAfter
}

// isPatient reports whether callers that request a model with this objective would wait
// for a load from a disk.
func isPatient(e *deploy.Engine, model string, objective time.Duration) bool {
	return objective.Seconds() > patientLoads*replica.LoadTime(e, model, replica.FromDisk).Seconds()
}

// MaxCallerWait returns how long any caller of a service may wait for a model and still
// be answered; 0: the service has no route.
func MaxCallerWait(c *deploy.Config, service string) time.Duration {
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

// HasPatientRoute reports whether a service has a route whose callers would wait for a
// load of any of its models.
func HasPatientRoute(c *deploy.Config, s *deploy.Service) bool {
	for i := range c.Routes {
		for _, split := range c.Routes[i].Splits {
			if split.Service == s.Name && len(s.Engine.Models) > 0 && isPatient(s.Engine, s.Engine.Models[0].Name, c.Routes[i].Objective) {
				return true
			}
		}
	}
	return false
}
