package site

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/config"
	"peridotpier.example/node/store"
	"peridotpier.example/standin/engine"
	"peridotpier.example/standin/load"
	"peridotpier.example/standin/service"
	"peridotpier.example/standin/wire"
)

// StartOptions are the options of Site.Start.
type StartOptions struct {
	Seed    uint64
	Weights engine.Weights // admits loads from the weight store; nil: loads need no admission
	// Oracle makes every report current and immediate: what a policy reaches then is
	// an upper bound of what it can reach with reports that lag.
	Oracle bool
	// SkipPlacement omits the initial placement, for policies that load on demand.
	SkipPlacement bool
}

// Upstreams are the simulated engines and plain services of a site, which run on
// loopback.
type Upstreams struct {
	Site        *Site
	Config      config.Config // the deployment with the actual addresses
	Engines     []*engine.Engine
	Services    []*service.Service
	startedAt   time.Time
	dataCentres map[string]string // data centre by address
}

// Start starts all upstreams of the site and, unless skipped, places the initial
// replicas. On an error nothing is left running.
func (s *Site) Start(opt StartOptions) (*Upstreams, error) {
	u := &Upstreams{Site: s, Config: s.Deployment, startedAt: time.Now(), dataCentres: map[string]string{}}
	u.Config.Upstreams = slices.Clone(s.Deployment.Upstreams)
	kinds := map[string]config.PoolKind{}
	for _, p := range s.Deployment.Pools {
		kinds[p.Name] = p.Kind
	}
	for i := range u.Config.Upstreams {
		up := &u.Config.Upstreams[i]
		var err error
		if kinds[up.Pool] == config.KindEngine {
			err = u.startEngine(up, opt, uint64(i))
		} else {
			err = u.startService(up, opt, uint64(i))
		}
		if err != nil {
			u.Close()
			return nil, err
		}
		u.dataCentres[up.Address] = up.DataCentre
	}
	if opt.SkipPlacement {
		return u, nil
	}
	if err := u.placeInitialReplicas(); err != nil {
		u.Close()
		return nil, err
	}
	return u, nil
}

func (u *Upstreams) startEngine(up *config.Upstream, opt StartOptions, index uint64) error {
	c := u.Site.Engines
	cfg := engine.Config{Name: up.Name, MemoryMB: up.MemoryMB, MBPerSecond: c.MBPerSecond, Weights: opt.Weights,
		UnloadTime: ms(c.UnloadMs), Fencing: up.Fencing, MaxBatch: up.MaxBatch, MaxQueue: c.MaxQueue,
		TokenTimes: u.Site.tokenTimes(), BatchSlope: c.BatchSlope,
		PrefillPerToken: time.Duration(c.PrefillUsToken) * time.Microsecond, PrefixSlots: c.PrefixSlots, PrefixSavedShare: c.PrefixSavedShare,
		ReportInterval: ms(c.ReportIntervalMs), ReportLag: ms(c.ReportLagMs), EventLag: ms(c.EventLagMs), EventLoss: c.EventLoss,
		ResumeWindow: ms(c.ResumeWindowMs), FlushTokens: 1, Seed: opt.Seed*1000 + index}
	if opt.Oracle {
		cfg.ReportInterval, cfg.ReportLag, cfg.EventLag, cfg.EventLoss = 0, 0, 0, 0
	}
	e, err := engine.New(cfg)
	if err != nil {
		return err
	}
	u.Engines = append(u.Engines, e)
	if err := e.Start(); err != nil {
		return err
	}
	up.Address = e.Addr()
	return nil
}

// tokenTimes returns, by model and adapter, the time per token of a stream that runs
// alone.
func (s *Site) tokenTimes() map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, m := range s.Deployment.Models {
		if m.TokensPerSecond > 0 {
			out[m.Name] = time.Second / time.Duration(m.TokensPerSecond)
		}
	}
	for _, a := range s.Deployment.Adapters {
		out[a.Name] = out[a.Model]
	}
	return out
}

func (u *Upstreams) startService(up *config.Upstream, opt StartOptions, index uint64) error {
	cfg := service.Config{Name: up.Name, MaxConcurrent: up.MaxBatch, Seed: opt.Seed*1000 + index}
	for _, c := range u.Site.Services {
		if c.Name != u.serviceForPool(up.Pool) {
			continue
		}
		cfg.DefaultDuration, cfg.ReportInterval, cfg.ReportLag = ms(c.Ms), ms(c.ReportIntervalMs), ms(c.ReportLagMs)
		for _, r := range c.Routes {
			cfg.Routes = append(cfg.Routes, service.Route{Method: r.Method, Prefix: r.Prefix, Duration: ms(r.Ms)})
		}
	}
	if opt.Oracle {
		cfg.ReportInterval, cfg.ReportLag = 0, 0
	}
	svc, err := service.New(cfg)
	if err != nil {
		return err
	}
	u.Services = append(u.Services, svc)
	if err := svc.Start(); err != nil {
		return err
	}
	up.Address = svc.Addr()
	return nil
}

func (u *Upstreams) serviceForPool(pool string) string {
	for _, s := range u.Config.Services {
		if s.Pool == pool {
			return s.Name
		}
	}
	return ""
}

// Close stops all engines and services.
func (u *Upstreams) Close() {
	for _, e := range u.Engines {
		e.Close()
	}
	for _, s := range u.Services {
		s.Close()
	}
}

// Hosts returns the upstreams as entries of the platform's host list.
func (u *Upstreams) Hosts() []store.Host {
	var out []store.Host
	for _, up := range u.Config.Upstreams {
		out = append(out, store.Host{Name: up.Name, Address: up.Address, DataCentre: up.DataCentre, Role: "upstream", State: store.HostLive})
	}
	return out
}

// Dialer returns a dialer from a data centre to the upstreams that imitates the
// round-trip times.
func (u *Upstreams) Dialer(from string) *wire.Dialer {
	return &wire.Dialer{RoundTrip: func(address string) time.Duration { return u.Site.RoundTrip(from, u.dataCentres[address]) }}
}

// Engine returns the engine of the given name; an unknown name is an error.
func (u *Upstreams) Engine(name string) (*engine.Engine, error) {
	for _, e := range u.Engines {
		if e.Name() == name {
			return e, nil
		}
	}
	return nil, eris.Errorf("no engine %q", name)
}

// Effects returns all executions that the upstreams recorded.
func (u *Upstreams) Effects() []load.Effect {
	var out []load.Effect
	for _, e := range u.Engines {
		out = append(out, load.EngineEffects(e.Name(), e.Records())...)
	}
	for _, s := range u.Services {
		out = append(out, load.ServiceEffects(s.Name(), s.Executions())...)
	}
	return out
}
