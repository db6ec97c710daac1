package gate

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/quota"
	"peridotpier.example/node/metrics"
)

const (
	// limitWaitShare is the share of its objective that a request waits at most until its
	// team's limit allows it. The remainder is for an upstream and for the response.
	limitWaitShare = 0.4
	// callerReturnShare is the share of the time that they have left after which callers
	// return at the latest, whatever they were told.
	callerReturnShare = 1.0 / 3
	// maxRankLabels bounds the ranks that the metrics tell apart.
	maxRankLabels = 8
)

// overLimit is what the caller of a request over its team's limit is told, and why.
type overLimit struct {
	after    time.Duration
	promised bool // the account has room then: others were told other times
	exact    bool // the time is told as it is: another host has spread it
	level    float64
	known    bool // the coordinator has decided, so that level is known
}

// ask returns what the request asks of its team's account now.
func (q *request) ask() quota.Ask {
	now := q.g.deps.Now()
	inTime := q.objectiveLeft(now)
	return quota.Ask{Rank: q.table.RouteRank(q.route), Cost: q.caller.cost, MaxWait: q.limitWait(now),
		Overdue: q.route.Objective > 0 && inTime <= 0, InTime: inTime, ReturnWithin: q.returnWithin(now)}
}

// limitWait returns how long the request may still wait for its team's limit.
func (q *request) limitWait(now time.Time) time.Duration {
	if q.started {
		return 0
	}
	wait := min(time.Duration(float64(q.route.Objective)*limitWaitShare), time.Duration(float64(q.deadline.Sub(q.start))*permitWaitShare))
	return max(q.limitHold(wait)-now.Sub(q.start), 0)
}

// returnWithin returns how long after a refusal the caller may come back.
func (q *request) returnWithin(now time.Time) time.Duration {
	left := q.deadline.Sub(now)
	if q.info.TimeLeft > 0 {
		left = q.info.TimeLeft - now.Sub(q.start)
	}
	return time.Duration(float64(max(left, 0)) * callerReturnShare)
}

// charge charges a request without a permit to its team's limit, once. It may wait for
// the limit.
func (q *request) charge() (over selection, ok bool) {
	if !q.caller.owesCharge() {
		return selection{}, true
	}
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	defer q.cancelWithHoldLimit(cancel)()
	answer := q.g.deps.TeamLimits.Charge(ctx, q.caller.team, q.ask())
	if !answer.OK {
		return selection{overLimit: &overLimit{after: answer.RetryAfter, promised: answer.Promised, level: answer.Level, known: answer.Known}}, false
	}
	q.caller.markCharged()
	return selection{}, true
}

// refuseOverLimit refuses a request that is over its team's limit. It has not run.
func (q *request) refuseOverLimit(o *overLimit) {
	if q.deliverFailed != nil { // a failed response is better than none
		q.deliverFailed()
		return
	}
	rank := q.table.RouteRank(q.route)
	q.g.deps.Metrics.CountKind(metrics.OverLimit, strconv.Itoa(min(rank, maxRankLabels-1)), 1)
	fields := []zap.Field{zap.Float64("cost", q.caller.cost), zap.Int("route_rank", rank), zap.Bool("promised", o.promised)}
	if o.known {
		fields = append(fields, zap.Int64("level", int64(o.level)))
	}
	after := o.after
	if !o.promised && !o.exact {
		after += q.retrySpread(after)
	}
	q.refuseAfter(http.StatusTooManyRequests, "over_limit", after, fields...)
}
