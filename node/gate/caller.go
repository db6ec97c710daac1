package gate

import (
	"net/http"

	"go.uber.org/zap"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
)

// caller is the team that a request belongs to and its cost to the team's limit.
type caller struct {
	team               *deploy.Team // nil: none, on a public route or in a configuration without teams
	cost               float64      // in the unit of the team's limit
	charged            bool         // the cost was charged to the team's limit
	chargedByForwarder bool         // the forwarding host has charged it
}

// name returns the team's name; "": none.
func (c *caller) name() string {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}

// owesCharge reports whether the team's limit has yet to be charged.
func (c *caller) owesCharge() bool {
	return c.team != nil && c.team.Limit.Limited() && !c.charged && !c.chargedByForwarder
}

// identify finds the caller's team. It returns false when the route needs a key and
// the request's key belongs to no team.
func (q *request) identify() bool {
	if !q.table.NeedsKey(q.route) {
		return true
	}
	team, ok := q.table.Team(q.info.Key)
	if !ok {
		return false
	}
	q.caller = caller{chargedByForwarder: q.hop != nil && q.hop.charged, team: team, cost: team.Limit.Cost(q.info.PromptTokens+q.info.MaxOutputTokens, q.info.DeclaresTokens)}
	return true
}

// urgency returns the request's rank among all urgencies; 0 is the most urgent.
func (q *request) urgency() int {
	rank, _ := q.table.UrgencyRank(q.caller.team, q.route)
	return rank
}

// markCharged records that the team's limit was charged, if it applies.
func (c *caller) markCharged() { c.charged = c.charged || c.owesCharge() }

// refundCharge returns the charge of a request that has not run.
func (q *request) refundCharge() {
	if c := &q.caller; c.charged && q.possibleRuns == 0 {
		q.g.deps.TeamLimits.Refund(c.team, c.cost)
	}
}

// keyRevoked reports whether the caller's key was revoked since the request arrived.
// A request may wait for seconds before it is sent, or be retried.
func (q *request) keyRevoked() bool {
	if q.caller.team == nil {
		return false
	}
	now := q.g.deps.Config.Current()
	if now == q.table || !now.NeedsKey(q.route) {
		return false
	}
	team, ok := now.Team(q.info.Key)
	return !ok || team.Name != q.caller.team.Name
}

// endRevoked ends a request whose key was revoked. A request that may have run gets no
// status that means "not run".
func (q *request) endRevoked(p selection) {
	p.release()
	switch {
	case q.deliverFailed != nil:
		q.deliverFailed()
	case q.possibleRuns > 0:
		q.fail(http.StatusBadGateway, "key_revoked")
	default:
		q.decline(http.StatusUnauthorized, "key_revoked")
	}
}

func (q *request) teamName() zap.Field {
	if q.caller.team == nil {
		return zap.Skip()
	}
	return zap.String(event.FieldTeam, q.caller.team.Name)
}
