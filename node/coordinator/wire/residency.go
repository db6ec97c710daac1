package wire

import (
	"time"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

// DecodeResidency decodes the holdings of upstreams in an answer, whose times are counted
// from now.
func DecodeResidency(s *coordpb.SiteState, now time.Time) []fleet.Residency {
	out := make([]fleet.Residency, len(s.Holdings))
	for i, h := range s.Holdings {
		out[i] = fleet.Residency{Upstream: h.Upstream, StartedMs: h.Born, Residents: decodeResidents(h), Loading: decodeLoadingModels(h, now)}
	}
	return out
}

func decodeResidents(h *coordpb.Holding) []deploy.Resident {
	out := make([]deploy.Resident, len(h.Residents))
	for i, r := range h.Residents {
		out[i] = deploy.Resident{Model: r.Model, Adapters: r.Adapters}
	}
	return out
}

func decodeLoadingModels(h *coordpb.Holding, now time.Time) []fleet.LoadingModel {
	out := make([]fleet.LoadingModel, len(h.Coming))
	for i, m := range h.Coming {
		out[i] = fleet.LoadingModel{Model: m.Model, ReadyAt: now.Add(Milliseconds(m.ReadyMs))}
	}
	return out
}
