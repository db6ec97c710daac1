package host

import (
	"peridotpier.example/node/coordinator/moves"
	"peridotpier.example/node/metrics"
)

// Places shows where models are and why, and how much of the traffic stays in its data
// centre.
type Places struct {
	// Models are the models with most demand; only of the acting coordinator.
	Models []moves.Placement `json:"models"`
	// Moves counts moves of models by reason, and Returns those of them that brought a model
	// back to where it had been within ten seconds; only of the acting coordinator.
	Moves   map[string]int64 `json:"moves"`
	Returns map[string]int64 `json:"moves_back"`
	// Requests counts this host's requests for models by the upstream's data centre: own,
	// other. Empty where all upstreams are in one.
	Requests map[string]int64 `json:"requests"`
}

// places returns what the status page shows of places.
func (h *Host) places() Places {
	m := h.deps.Metrics
	out := Places{Moves: m.CountsByKind(metrics.ModelMoves), Returns: m.CountsByKind(metrics.ModelReturns), Requests: m.CountsByKind(metrics.ModelRequests)}
	if h.coord.Acting() {
		out.Models = h.coord.Placements()
	}
	return out
}
