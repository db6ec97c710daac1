package link

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/relay"
)

// peers returns the addresses of the hosts to ask for the lease holder.
func (l *Link) peers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.deputies) > 0 {
		return l.deputies
	}
	return l.cfg.Seeds
}

// Candidate reports whether this host is among those that should campaign for the lease
// first. Campaigns of other hosts would only cost calls to the store.
func (l *Link) Candidate() bool { return slices.Contains(l.peers(), l.cfg.Address) }

// shouldYield reports whether this host has too little spare capacity to coordinate,
// and a host that reports to it has enough.
func (l *Link) shouldYield() bool {
	return !l.HasSpareCapacity() && l.own.OtherHasSpareCapacity()
}

// shouldYieldPartitioned reports whether this host reaches no upstream, so that it cannot
// give them orders, and another one that reports to it does and may take over.
func (l *Link) shouldYieldPartitioned() bool {
	return l.Partitioned() && l.own.OtherReachesUpstreams(!l.HasSpareCapacity())
}

// isFirstDeputy reports whether this host is the first of the deputies named by the
// last holder that answers.
func (l *Link) isFirstDeputy(ctx context.Context) bool {
	l.mu.Lock()
	deputies := l.deputies
	l.mu.Unlock()
	for _, address := range deputies {
		if address == l.cfg.Address {
			return true
		}
		if _, err := l.conns.State(ctx, address, &coordpb.StateCall{Brief: true}); err == nil {
			return false
		}
	}
	return false
}

// FindCoordinator asks another host for the coordinator that it uses, and links this
// host to that one. This is how a host finds the lease holder while the store refuses
// the host's calls.
func (l *Link) FindCoordinator(ctx context.Context) bool {
	peers := l.peers()
	if len(peers) == 0 {
		return false
	}
	peer := peers[rand.IntN(len(peers))]
	if peer == l.cfg.Address {
		return false
	}
	a, err := l.conns.State(ctx, peer, &coordpb.StateCall{Brief: true})
	if err != nil {
		return false
	}
	if t := l.deps.Config.Current(); t != nil {
		l.teams.adopt(a, t.Config.Teams, l.deps.Now())
	}
	l.mu.Lock()
	l.namedSelf = a.Coordinator == l.cfg.Address
	l.mu.Unlock()
	return l.TryLink(ctx, a.Coordinator)
}

// followSuccessor links this host to the coordinator that a former one uses now.
func (l *Link) followSuccessor(ctx context.Context, former string) {
	if a, err := l.conns.State(ctx, former, &coordpb.StateCall{Brief: true}); err == nil {
		l.TryLink(ctx, a.Coordinator)
	}
}

// takeNamedSelf reports whether the host that was asked last named this one as the
// lease holder. It reports each answer once.
func (l *Link) takeNamedSelf() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.namedSelf
	l.namedSelf = false
	return own
}

// FetchState asks the seeds for the configuration and the upstreams, which a host needs
// that starts while the store is unavailable. It adopts the first answer that has a
// configuration.
func (l *Link) FetchState(ctx context.Context) {
	for _, seed := range l.cfg.Seeds {
		if seed == l.cfg.Address {
			continue
		}
		a, err := l.conns.State(ctx, seed, &coordpb.StateCall{})
		if err == nil && l.adopt(a) {
			return
		}
	}
}

// adopt puts a peer's configuration and upstreams in force here.
func (l *Link) adopt(a *coordpb.StateAnswer) bool {
	var cfg deploy.Config
	if len(a.Config) == 0 || json.Unmarshal(a.Config, &cfg) != nil {
		return false
	}
	all, err := relay.DecodeUpstreams(a.Upstreams)
	if err != nil {
		return false
	}
	l.deps.Config.ApplyIfNewer(&cfg, "peer")
	l.deps.Fleet.Apply(all, nil, 0)
	return true
}
