package host

import (
	"context"
	"time"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/gate"
	"peridotpier.example/node/reach"
)

// newReachMonitor returns the part that notices that this host reaches no upstream.
func (h *Host) newReachMonitor() *reach.Monitor {
	return reach.NewMonitor(reach.Deps{Fleet: h.fleet, Accepts: h.deps.Client.Accepts, Answers: h.upstreamAnswers, Log: h.deps.Log, Metrics: h.deps.Metrics,
		OnChange: func(partitioned bool) { h.link.PartitionChanged(partitioned) }})
}

// upstreamAnswers reports whether the upstream at an address answers a trial.
func (h *Host) upstreamAnswers(ctx context.Context, address string) bool {
	return h.deps.Client.Answers(ctx, h.deps.Platform.Trial(address))
}

// detour returns this host's way to upstreams through other hosts.
func (h *Host) detour() gate.Detour {
	if h.deps.Detour != nil {
		return h.deps.Detour
	}
	return reach.Detour{Monitor: h.reach, Addresses: h.link.DetourHosts}
}

// hasTerminated reports whether the process at an upstream's address has terminated: it
// refuses connections, and not because this host reaches no upstream.
func (h *Host) hasTerminated(ctx context.Context, address string) bool {
	return h.deps.Client.NotListening(ctx, address) && !h.reach.MayBeOwnPath(ctx, address)
}

// recordCrash records that an upstream crashed while it ran requests of this host, and
// reports this to the acting coordinator without delay.
func (h *Host) recordCrash(upstream string, at time.Time, ran []poison.Fingerprint) {
	h.guard.RecordCrash(upstream, at, ran)
	h.link.ReportSoon()
}
