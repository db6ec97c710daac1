package gate

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
)

// caller is whose request it is, and what its team's limit counts for it.
type caller struct {
	team    *deploy.Team // nil: anybody's, on a public route or without teams
	cost    float64      // in what the team's limit counts
	charged bool         // to the team's limit
}

// name is the team's; "": none.
func (c *caller) name() string {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}

// owes says whether the team's limit has still to be charged.
func (c *caller) owes() bool { return c.team != nil && c.team.Limit.Limited() && !c.charged }

// identify finds the caller's team. It says no when the request needs one and
// its key names none.
func (q *request) identify() bool {
	if !q.table.NeedsKey(q.route) {
		return true
	}
	team, ok := q.table.Team(q.facts.Key)
	if !ok {
		return false
	}
	q.caller = caller{team: team, cost: team.Limit.Cost(q.facts.PromptTokens+q.facts.MaxOutputTokens, q.facts.DeclaresTokens)}
	return true
}

// urgency is the request's place among all, 0 the most urgent.
func (q *request) urgency() int {
	place, _ := q.table.UrgencyRank(q.caller.team, q.route)
	return place
}

// paid notes that the team's limit was charged, if it was to be.
func (c *caller) paid() { c.charged = c.charged || c.owes() }

// charge charges a request without a turn to its team's limit, once.
func (q *request) charge() (over picked, ok bool) {
	if !q.caller.owes() {
		return picked{}, true
	}
	wait, ok := q.g.deps.TeamLimits.Charge(q.ctx, q.caller.team, q.caller.cost)
	if !ok {
		return picked{over: true, after: wait}, false
	}
	q.caller.paid()
	return picked{}, true
}

// giveBack returns the charge of a request that has not run.
func (q *request) giveBack() {
	if c := &q.caller; c.charged && q.maybe == 0 {
		q.g.deps.TeamLimits.Refund(c.team, c.cost)
	}
}

// refuseOver refuses a request that is over its team's limit. It has not run.
func (q *request) refuseOver(after time.Duration) {
	if q.kept != nil { // an answer that is there is delivered
		q.kept()
		return
	}
	q.refuseWith(http.StatusTooManyRequests, "over_limit", after, zap.Float64("cost", q.caller.cost))
}

// revoked says whether the caller's key was taken away since the request came.
// A request may wait for seconds before it is sent, or is sent once more.
func (q *request) revoked() bool {
	if q.caller.team == nil {
		return false
	}
	now := q.g.deps.Config.Current()
	if now == q.table || !now.NeedsKey(q.route) {
		return false
	}
	team, ok := now.Team(q.facts.Key)
	return !ok || team.Name != q.caller.team.Name
}

// endRevoked ends a request whose key was taken away. What has run stays what it is.
func (q *request) endRevoked(p picked) {
	if p.turn != nil {
		p.turn.Release()
	}
	switch {
	case q.kept != nil:
		q.kept()
	case q.maybe > 0:
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
