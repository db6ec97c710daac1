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

// actNeeds is the lease time that an act must have left when it begins: the
// bound of one order or commit.
const actNeeds = 3 * time.Second

// term lets a planner ask for its lease.
type term struct{ l *lease.Lease }

// Epoch implements planner.Lease.
func (t term) Epoch() uint64 {
	now, _ := t.l.Term()
	return now.Epoch
}

// Valid implements planner.Lease.
func (t term) Valid(epoch uint64) bool { return epoch != 0 && t.l.Check(epoch, actNeeds) == nil }

// plannerSite is what a planner reads of this host.
type plannerSite struct {
	s    *Server
	pool string
}

// Reports implements planner.Site.
func (p plannerSite) Reports() []planner.ObservedReport {
	var out []planner.ObservedReport
	for _, r := range p.s.view.Reports(p.pool) {
		out = append(out, planner.ObservedReport{Report: r.Report, Read: r.Read, Disconnected: r.Disconnected})
	}
	return out
}

// View implements planner.Site.
func (p plannerSite) View() planner.View {
	st, ok := p.s.config.Current()
	if !ok {
		return planner.View{Config: &config.Config{}}
	}
	return planner.View{Config: st.Index.Config, Preset: *st.Preset, Demand: p.s.siteDemand()}
}

// siteDemand is the demand on all hosts.
func (s *Server) siteDemand() map[place.Key]place.Demand {
	out := s.demand.Means()
	for k, d := range s.others.all() {
		own := out[k]
		out[k] = place.Demand{Short: own.Short + d.Short, Long: own.Long + d.Long}
	}
	return out
}

// othersDemand is the other hosts' demand as last heard.
type othersDemand struct {
	mu   sync.Mutex
	keys map[place.Key]place.Demand
}

func (o *othersDemand) merge(heard map[place.Key]place.Demand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.keys == nil {
		o.keys = map[place.Key]place.Demand{}
	}
	for k, d := range heard {
		if d == (place.Demand{}) {
			delete(o.keys, k)
			continue
		}
		o.keys[k] = d
	}
}

func (o *othersDemand) all() map[place.Key]place.Demand {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[place.Key]place.Demand, len(o.keys))
	for k, d := range o.keys {
		out[k] = d
	}
	return out
}

// plannedKeys are the models and adapters of the pools that this host plans.
func (s *Server) plannedKeys() []place.Key {
	pools := s.planned()
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

// The pace of questions where the hosts share the upstreams out.
const (
	// watchedPerSecond bounds one host's questions to upstreams that it
	// watches, about 450 bytes each.
	watchedPerSecond = 4
	// watchedMost is the longest time between two: an upstream that leaves
	// gets no new work after five seconds, of which spreading the word takes
	// some tenths.
	watchedMost = 4500 * time.Millisecond
	// watchedShare is the most upstreams that a host's share can come to in a
	// fleet that fits its upstreams. Above it the host takes itself for nearly
	// alone, as when the platform's list is empty, and must keep its pace all
	// the more: all hosts may be in the same case.
	watchedShare = 64
	// plannedEvery is the pace in pools that the host plans.
	plannedEvery = 5 * time.Second
)

// assignUpstreams chooses the upstreams that this host asks itself: all of a
// small site, else those that it watches and those of the pools that it plans.
func (s *Server) assignUpstreams(c *config.Config, live []member.Host) {
	every := s.cfg.Settings.Bounds.ReportEvery()
	var out []poll.Target
	if len(c.Upstreams) <= directMost || s.cfg.Policy.DirectPolling {
		for _, u := range c.Upstreams {
			out = append(out, poll.Target{Upstream: u, Interval: every, CacheEvents: true})
		}
		s.poller.Assign(out)
		return
	}
	planned, watchers := s.planned(), member.NewAssignment(s.cfg.Settings.Host, live)
	watched := 0
	for _, u := range c.Upstreams {
		switch {
		case watchers.Watches(u.Name, u.DataCentre):
			watched++
			out = append(out, poll.Target{Upstream: u})
		case planned[u.Pool] != nil:
			out = append(out, poll.Target{Upstream: u, Interval: plannedEvery})
		}
	}
	pace := max(every, time.Duration(watched)*time.Second/watchedPerSecond)
	if watched <= watchedShare {
		pace = min(pace, watchedMost)
	}
	for i := range out {
		if out[i].Interval == 0 {
			out[i].Interval = pace
		}
	}
	s.poller.Assign(out)
}

// errNoConfig is the answer while nothing is in force.
var errNoConfig = fault.NotRun(fault.StepConfig, "", fault.CodeNotFound, "no configuration is in force; apply one first")

func errNoPreset(name string) error {
	return fault.NotRun(fault.StepConfig, "", fault.CodeNotFound, "there is no preset %q", name)
}

// ownForecast tells what a preset would move in the pools that this host plans.
func (s *Server) ownForecast(preset string) (operatorapi.DryRun, bool) {
	st, ok := s.config.Current()
	if !ok {
		return operatorapi.DryRun{}, false
	}
	p, ok := st.Index.Preset(preset)
	if !ok {
		return operatorapi.DryRun{}, false
	}
	out, any := operatorapi.DryRun{Preset: preset}, false
	for _, pl := range s.planned() {
		f, ok := pl.DryRun(*p)
		if !ok {
			continue
		}
		any = true
		out.Add(toDryRun(preset, f))
	}
	return out, any
}

func toDryRun(preset string, f place.Forecast) operatorapi.DryRun {
	d := operatorapi.DryRun{Preset: preset, Bound: f.Bound, Converged: f.Converged}
	for _, m := range f.Moves {
		d.Moves = append(d.Moves, operatorapi.Move{Kind: string(m.Change.Kind), Model: m.Change.Artifact.Model, Adapter: m.Change.Artifact.Adapter,
			Upstream: m.Upstream, Reason: string(m.Reason)})
	}
	return d
}
