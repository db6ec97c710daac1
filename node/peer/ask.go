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

// askAtOnce bounds the calls under way when every host is asked.
const askAtOnce = 32

// Versions asks every host that is alive or suspect which configuration
// version it has in force; 0 stands for no answer. It is asked for by
// operators only: telling it on the links at each change would cost each host
// more than all other news together.
func (m *Mesh) Versions(ctx context.Context) map[string]uint64 {
	hosts, _ := m.All()
	out := map[string]uint64{}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(askAtOnce)
	self := m.Self()
	for _, h := range hosts {
		if h.State != member.Alive && h.State != member.Suspect || h.Name == self.Name || h.Address == "" {
			continue
		}
		g.Go(func() error {
			var version uint64
			if r, err := m.pool.probe(ctx, h.Address); err == nil && r.Host == h.Name {
				version = r.ConfigVersion
			}
			mu.Lock()
			out[h.Name] = version
			mu.Unlock()
			return nil
		})
	}
	_ = g.Wait() // a host that does not answer stands with version 0
	if st, ok := m.deps.Config.Current(); ok {
		out[self.Name] = st.Version
	}
	return out
}

// Request finds a caller's request on a named host, and cancels it if asked to.
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
	err := m.pool.call(ctx, h.Address, func(c peerpb.DRPCPeerClient) error {
		a, err := c.Request(ctx, &peerpb.RequestQuery{Id: id, Cancel: cancel})
		if err != nil || !a.Found {
			return err
		}
		found = true
		return json.Unmarshal(a.Request, &q)
	})
	return q, found, err
}
