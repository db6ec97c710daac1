package server

import (
	"sync"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/fault"
	"peridotpier.example/core/member"
	"peridotpier.example/core/place"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/operatorapi"
	"peridotpier.example/node/planner"
	"peridotpier.example/node/upstream/poll"
)

// minLeaseRemaining is how much of the lease must remain when an order or a
// commit begins: the bound on the duration of one of them.
const minLeaseRemaining = 3 * time.Second

// leaseTerm adapts a lease to planner.Lease.
type leaseTerm struct{ l *lease.Lease }

// Epoch implements planner.Lease.
func (t leaseTerm) Epoch() uint64 {
	now, _ := t.l.Term()
	return now.Epoch
}

// Valid implements planner.Lease.
func (t leaseTerm) Valid(epoch uint64) bool {
	return epoch != 0 && t.l.Check(epoch, minLeaseRemaining) == nil
}

// plannerInputs implements planner.Inputs for one pool.
type plannerInputs struct {
	s    *Server
	pool string
}

// Reports implements planner.Inputs.
func (p plannerInputs) Reports() []planner.ObservedReport {
	var out []planner.ObservedReport
	for _, r := range p.s.view.Reports(p.pool) {
		out = append(out, planner.ObservedReport{Report: r.Report, Read: r.Read, Disconnected: r.Disconnected})
	}
	return out
}

// View implements planner.Inputs.
func (p plannerInputs) View() planner.View {
	st, ok := p.s.config.Current()
	if !ok {
		return planner.View{Config: &config.Config{}}
	}
	return planner.View{Config: st.Index.Config, Preset: *st.Preset, Demand: p.s.siteDemand()}
}

// siteDemand returns the demand on all hosts together.
func (s *Server) siteDemand() map[place.Key]place.Demand {
	out := s.demand.Means()
	for k, d := range s.peerDemand.all() {
		own := out[k]
		out[k] = place.Demand{Short: own.Short + d.Short, Long: own.Long + d.Long}
	}
	return out
}

// peerDemand is the last reported demand of the other hosts.
type peerDemand struct {
	mu   sync.Mutex
	keys map[place.Key]place.Demand
}

func (o *peerDemand) merge(reported map[place.Key]place.Demand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.keys == nil {
		o.keys = map[place.Key]place.Demand{}
	}
	for k, d := range reported {
		if d == (place.Demand{}) {
			delete(o.keys, k)
			continue
		}
		o.keys[k] = d
	}
}

func (o *peerDemand) all() map[place.Key]place.Demand {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[place.Key]place.Demand, len(o.keys))
	for k, d := range o.keys {
		out[k] = d
	}
	return out
}

// plannedKeys returns the models and adapters of the pools that this host plans.
func (s *Server) plannedKeys() []place.Key {
	pools := s.plannedPools()
	st, ok := s.config.Current()
	if !ok || len(pools) == 0 {
		return nil
	}
	var out []place.Key
	planned := map[string]bool{}
	for _, m := range st.Index.Models {
		if pools[m.Pool] != nil {
			planned[m.Name] = true
			out = append(out, place.Key{Model: m.Name})
		}
	}
	for _, a := range st.Index.Adapters {
		if planned[a.Model] {
			out = append(out, place.Key{Model: a.Model, Adapter: a.Name})
		}
	}
	return out
}

// Polling intervals and limits where the upstreams are divided among the hosts.
const (
	// watchedPollsPerSecond is how often one host polls the upstreams that it watches,
	// all of them together; about 450 bytes each. maxWatchedInterval comes first: with
	// 19 to maxWatchedUpstreams upstreams there are more polls, 14.3 a second at most.
	watchedPollsPerSecond = 4
	// maxWatchedInterval is the longest time between two polls of an upstream:
	// a draining upstream must get no new work after five seconds, and notifying
	// all hosts takes some tenths of a second.
	maxWatchedInterval = 4500 * time.Millisecond
	// maxWatchedUpstreams is the largest share of upstreams that one host has
	// in a fleet sized for its upstreams. A host with more knows hardly any other
	// host, as when the platform's list is empty. It must then stay within
	// watchedPollsPerSecond, without maxWatchedInterval: all hosts may be in the
	// same state.
	maxWatchedUpstreams = 64
	// plannedInterval is the polling interval in pools that the host plans.
	plannedInterval = 5 * time.Second
)

// assignUpstreams chooses the upstreams that this host polls: all of them in a
// small site, otherwise those that it watches and those of the pools it plans.
func (s *Server) assignUpstreams(c *config.Config, live []member.Host) {
	interval := s.cfg.Settings.Bounds.ReportEvery()
	var out []poll.Target
	if len(c.Upstreams) <= maxDirectUpstreams || s.cfg.Policy.DirectPolling {
		for _, u := range c.Upstreams {
			out = append(out, poll.Target{Upstream: u, Interval: interval, CacheEvents: true})
		}
		s.poller.Assign(out)
		return
	}
	planned, watchers := s.plannedPools(), member.NewAssignment(s.cfg.Settings.Host, live)
	watched := 0
	for _, u := range c.Upstreams {
		switch {
		case watchers.Watches(u.Name, u.DataCentre):
			watched++
			out = append(out, poll.Target{Upstream: u})
		case planned[u.Pool] != nil:
			out = append(out, poll.Target{Upstream: u, Interval: plannedInterval})
		}
	}
	for i := range out {
		if out[i].Interval == 0 {
			out[i].Interval = watchedInterval(interval, watched)
		}
	}
	s.poller.Assign(out)
}

// watchedInterval returns the polling interval of a host that watches a number of
// upstreams; shortest is that of a host with few.
func watchedInterval(shortest time.Duration, watched int) time.Duration {
	every := max(shortest, time.Duration(watched)*time.Second/watchedPollsPerSecond)
	if watched <= maxWatchedUpstreams {
		return min(every, maxWatchedInterval)
	}
	return every
}

// errNoConfig is the answer while no configuration is in force.
var errNoConfig = fault.NotRun(fault.StepConfig, "", fault.CodeNotFound, "no configuration is in force; apply one first")

func errNoPreset(name string) error {
	return fault.NotRun(fault.StepConfig, "", fault.CodeNotFound, "there is no preset %q", name)
}

// ownForecast returns the moves that a switch to a preset would make in the
// pools that this host plans; false if it plans none that can be forecast.
func (s *Server) ownForecast(preset string) (operatorapi.DryRun, bool) {
	st, ok := s.config.Current()
	if !ok {
		return operatorapi.DryRun{}, false
	}
	p, ok := st.Index.Preset(preset)
	if !ok {
		return operatorapi.DryRun{}, false
	}
	out, found := operatorapi.DryRun{Preset: preset}, false
	for _, pl := range s.plannedPools() {
		f, ok := pl.DryRun(*p)
		if !ok {
			continue
		}
		found = true
		out.Add(toDryRun(preset, f))
	}
	return out, found
}

func toDryRun(preset string, f place.Forecast) operatorapi.DryRun {
	d := operatorapi.DryRun{Preset: preset, Bound: f.Bound, Converged: f.Converged}
	for _, m := range f.Moves {
		d.Moves = append(d.Moves, operatorapi.Move{Kind: string(m.Change.Kind), Model: m.Change.Artifact.Model, Adapter: m.Change.Artifact.Adapter,
			Upstream: m.Upstream, Reason: string(m.Reason)})
	}
	return d
}
