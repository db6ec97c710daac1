package host

import (
	"peridotpier.example/node/coordinator/link"
	"peridotpier.example/node/metrics"
)

// TeamLimits is what the status page shows of the teams' limits.
type TeamLimits struct {
	Binding       []link.LimitState `json:"binding"`         // teams whose limits may bind, as this host last received it
	RefusedByRank map[string]int64  `json:"refused_by_rank"` // requests that this host refused over limits, by rank of their routes
	Waiting       int               `json:"waiting"`         // requests of all hosts that wait here for their teams' limits
	PromisesMade  int               `json:"promises_made"`   // times that a coordinator here kept free for refused requests
	PromisesKept  int               `json:"promises_kept"`   // of these, at which the request came back
}

// teamLimits returns what the status page shows of the teams' limits.
func (h *Host) teamLimits() TeamLimits {
	out := TeamLimits{Binding: h.link.LimitStates(), RefusedByRank: h.deps.Metrics.CountsByKind(metrics.OverLimit)}
	out.Waiting = h.coord.LimitWaits()
	out.PromisesMade, out.PromisesKept = h.coord.LimitPromises()
	return out
}
