package peer

import (
	"context"
	"encoding/json"
	"sync"

	"golang.org/x/sync/errgroup"

	"peridotpier.example/core/member"
	"peridotpier.example/node/inflight"
	"peridotpier.example/node/peer/peerpb"
)

// maxConcurrentCalls bounds the concurrent calls when all hosts are called.
const maxConcurrentCalls = 32

// ConfigVersions asks every host that is alive or suspect for the configuration
// version that it has in force; 0 stands for no answer. Only requests of operators
// cause these calls: announcing the versions on the links at each change would cost
// each host more than all other messages together.
func (m *Mesh) ConfigVersions(ctx context.Context) map[string]uint64 {
	out := map[string]uint64{}
	var mu sync.Mutex
	m.forEachOther(func(h member.Host) {
		var version uint64
		if r, err := m.conns.probe(ctx, h); err == nil && r.Host == h.Name {
			version = r.ConfigVersion
		}
		mu.Lock()
		out[h.Name] = version
		mu.Unlock()
	})
	if st, ok := m.deps.Config.Current(); ok {
		out[m.Self().Name] = st.Version
	}
	return out
}

// forEachOther calls f for every other host that may be alive, for some of them
// concurrently, and returns when all calls have.
func (m *Mesh) forEachOther(f func(member.Host)) {
	hosts, _ := m.AllHosts()
	self := m.Self().Name
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for _, h := range hosts {
		if (h.State == member.Alive || h.State == member.Suspect) && h.Name != self && h.Address != "" {
			g.Go(func() error { f(h); return nil })
		}
	}
	_ = g.Wait() // f returns no error
}

// Forecasts asks the other hosts what a preset would move in the pools that they
// plan.
func (m *Mesh) Forecasts(ctx context.Context, preset string) [][]byte {
	var out [][]byte
	var mu sync.Mutex
	m.forEachOther(func(h member.Host) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = m.conns.call(ctx, h.Address, func(c peerpb.DRPCPeerClient) error { // a host that doesn't answer counts as planning nothing
			a, err := c.Forecast(ctx, &peerpb.ForecastQuery{Preset: preset})
			if err != nil || len(a.Forecast) == 0 {
				return err
			}
			mu.Lock()
			out = append(out, a.Forecast)
			mu.Unlock()
			return nil
		})
	})
	return out
}

// Request finds a caller's request that runs on a named host, and cancels it if
// cancel is set. It reports whether the request was found.
func (m *Mesh) Request(ctx context.Context, host, id string, cancel bool) (inflight.Request, bool, error) {
	var q inflight.Request
	m.mu.Lock()
	h, ok := m.hosts.Get(host)
	m.mu.Unlock()
	if !ok || h.Address == "" {
		return q, false, nil
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	found := false
	err := m.conns.call(ctx, h.Address, func(c peerpb.DRPCPeerClient) error {
		a, err := c.Request(ctx, &peerpb.RequestQuery{Id: id, Cancel: cancel})
		if err != nil || !a.Found {
			return err
		}
		found = true
		return json.Unmarshal(a.Request, &q)
	})
	return q, found, err
}
