package moves

import (
	"fmt"
	"testing"
	"time"

	"peridotpier.example/core/replica"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/coordtest"
	"peridotpier.example/node/coordinator/demand"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
)

// plannerSize is the size of a deployment with one planner.
type plannerSize struct{ hosts, upstreams, models int }

// planner returns a planner over upstreams that have three models each resident, and that
// knows the demand of all hosts.
func (s plannerSize) planner() *Planner {
	now := time.Unix(1_700_000_000, 0)
	f, config := fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return now }}), follow.NewActiveConfig(event.NewLog(nil))
	config.ApplyIfNewer(coordtest.Config(s.models), "test")
	f.Apply(coordtest.Upstreams(s.upstreams, s.models), nil, 1)
	wanted, speeds := demand.New(), demand.NewSpeeds()
	p := New(Deps{Fleet: f, Config: config, Term: &testTerm{}, Demand: wanted, StoreLoads: NewStoreLoads(0, 0), Log: event.NewLog(nil), Now: func() time.Time { return now }})
	p.Refresh(now)
	now = now.Add(time.Minute)
	for i := range s.hosts {
		r := coordtest.DemandOf(i, s.models)
		wanted.Add(r, fmt.Sprint("d", i%5), func(k demand.Key, prompt, output int) time.Duration { return speeds.EngineTime(k, prompt, output, 32) }, now)
		p.RecordUse(r, now)
	}
	return p
}

// answer returns the holdings that a host is sent that has those up to a revision.
func (p *Planner) answer(revision uint64) *coordpb.SiteState {
	out := &coordpb.SiteState{Hosts: 7, PeriodMs: 200}
	p.AddHoldings(&coordpb.HostReport{Host: "h", Revision: revision}, out, p.deps.Now())
	return out
}

// BenchmarkPlan measures one plan of where models should be.
func BenchmarkPlan(b *testing.B) {
	for _, s := range []plannerSize{{7, 12, 26}, {81, 60, 131}, {195, 156, 340}, {301, 3000, 698}, {420, 2500, 720}, {986, 4000, 698}, {2000, 8000, 698}} {
		b.Run(fmt.Sprintf("%d hosts, %d upstreams, %d models", s.hosts, s.upstreams, s.models), func(b *testing.B) {
			p := s.planner()
			b.ReportAllocs()
			for b.Loop() {
				now := p.deps.Now()
				table := p.deps.Config.Current()
				in := p.planInput(table.Config, &table.Config.Services[0], p.allUpstreams(), now)
				replica.DefaultPolicy.Plan(in)
			}
		})
	}
}
