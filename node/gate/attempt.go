package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

// result is how an attempt ended.
type result struct {
	done       bool // the caller has its final answer
	notRun     bool // the upstream did not run the request, and will not
	why        string
	retryAfter time.Duration // that the upstream asked for
	absent     bool          // nothing listens at the upstream's address
	allowed    bool          // one more send was already taken from what repeats are allowed
}

// attempt sends the request to one upstream and relays its answer.
func (q *request) attempt(e *fleet.Entry, p picked) result {
	d := &q.g.deps
	ctx, cancel := context.WithCancelCause(q.ctx)
	defer cancel(nil)
	x := e.Begin(&q.ask, q.cost)
	if p.turn != nil {
		x.RecordPendingPrompts(p.waiting)
		if q.ask.Model != "" || p.turn.IsProbe { // of other calls the end is what counts
			x.OnFirstByte(p.turn.Began)
		}
		defer p.turn.Release()
	}
	q.tried[e.ID()] = true
	q.sends++
	q.last, q.ranSince = e.ID(), time.Time{}
	l := &elsewhere{q: q, ctx: ctx, cancel: cancel}
	defer l.end()
	if q.mayRunAgain() && q.sends < q.route.Attempts {
		x.OnUnresponsive(l.silent)
		if q.route.Repeatable() && q.route.Objective > 0 {
			defer time.AfterFunc(hedgeShare*q.route.Objective, l.slow).Stop()
		}
	}
	now := d.Now()
	q.sentAt = now
	d.Log.Emit(event.RequestSent, q.id(), q.routeName(), q.teamName(), zap.String(event.FieldPeer, e.ID()), zap.Int("among", p.among),
		zap.Int("load", p.load), zap.Int("prompt", q.cost.PromptTokens), zap.Int("cached", p.cached), zap.Int("waiting", p.waiting), zap.Int64("predicted_ms", p.PredictedWait.Milliseconds()), zap.Uint64("version", q.version),
		zap.Int64("held_ms", now.Sub(q.start).Milliseconds()), zap.String("model", q.ask.Model), zap.String("adapter", q.ask.Adapter),
		zap.Bool("by_turn", p.turn != nil), limitOf(e))
	d.Metrics.Add(metrics.Attempts, q.service.Name, e.ID(), 1)
	resp, err := d.Client.Do(ctx, q.outgoing(e, now))
	if err != nil {
		res := q.unanswered(ctx, x, err)
		if res.absent && p.turn != nil {
			p.turn.NotListening()
		}
		return res
	}
	l.heard.Add(1)
	return q.answered(ctx, l, e, x, resp)
}

// hedgeShare is how many objectives a call that may be repeated waits for the
// head of its answer before it looks for another upstream.
const hedgeShare = 2

// outgoing builds the attempt. The caller's bytes go on as they are; what
// concerns only its connection, and what is ours to set, does not.
func (q *request) outgoing(e *fleet.Entry, now time.Time) *conn.Request {
	h := q.r.Header.Clone()
	stripConnection(h)
	s := AttemptInfo{TimeLeft: q.deadline.Sub(now), Upstream: e.ID(), LastEventID: q.after, Team: q.caller.name()}
	if q.service.Engine != nil {
		s.Urgency, s.UrgencyLevels = q.table.UrgencyRank(q.caller.team, q.route)
		s.HasUrgency = true
	}
	q.g.deps.Codec.SetAttempt(h, s)
	return &conn.Request{Address: e.Address(), Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: h, Body: q.body, StillWanted: e.AcceptsRequests}
}

// unanswered ends an attempt that brought no head of an answer.
func (q *request) unanswered(ctx context.Context, x *fleet.Attempt, err error) result {
	notRun := fault.From(fault.StepDispatch, err).Outcome == outcome.NotRun
	if !notRun {
		q.maybe++
	}
	if q.ctx.Err() != nil {
		x.Cancelled()
		return result{notRun: notRun, why: "time_up"}
	}
	why := "broken"
	switch {
	case leftBecause(ctx) != "":
		x.Cancelled() // silence was counted when it was found
		return result{notRun: notRun, why: leftBecause(ctx), allowed: true}
	case errors.Is(err, syscall.ECONNREFUSED):
		q.sends--
		x.NotListening()
		return result{notRun: true, why: "absent", absent: true}
	case errors.Is(err, conn.ErrNoLongerWanted):
		x.Cancelled()
		return result{notRun: true, why: "asked_meanwhile", allowed: true}
	case notRun:
		why = "no_connection"
		x.Interrupted(why)
	default:
		q.broken(x, why)
	}
	return result{notRun: notRun, why: why}
}

// answered checks the head of an answer and takes what it is for.
func (q *request) answered(ctx context.Context, l *elsewhere, e *fleet.Entry, x *fleet.Attempt, resp *conn.Response) result {
	facts := q.g.deps.Codec.DecodeResponse(resp.Status, resp.Header)
	if facts.Load != nil {
		x.RecordReportedLoad(*facts.Load)
	}
	q.heed(e, resp.Status, &facts)
	if facts.NotRun {
		return q.refused(e, x, resp, facts)
	}
	q.maybe++
	switch {
	case facts.AttemptID != "" && facts.AttemptID != q.facts.AttemptID:
		// Bytes of another request's answer: whatever follows is not ours either.
		q.g.deps.Log.Emit(event.AnswerMismatched, q.id(), zap.String(event.FieldPeer, e.ID()), zap.String("answers", facts.AttemptID))
		return q.distrust(x, resp, "crossed")
	case resp.Status < 300 && (!facts.Sealed || facts.AttemptID == ""):
		return q.distrust(x, resp, "unsealed")
	case resp.Status >= 300 && resp.Status < 400:
		return q.distrust(x, resp, "redirect")
	}
	x.ReceivedBytes()
	if q.route.Kind == deploy.Stream && resp.Status < 300 {
		return q.stream(ctx, l, x, resp)
	}
	return q.whole(ctx, l, x, resp)
}

// distrust ends an attempt whose answer cannot be passed on.
func (q *request) distrust(x *fleet.Attempt, resp *conn.Response, why string) result {
	resp.Abort()
	x.Interrupted(why)
	return result{why: why}
}

// refused takes an upstream's word that it did not run the request.
func (q *request) refused(e *fleet.Entry, x *fleet.Attempt, resp *conn.Response, facts ResponseInfo) result {
	x.Refused()
	after := retryAfter(resp.Header)
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, refusalMost)); err != nil {
		resp.Abort()
	} else {
		resp.Finish()
	}
	q.g.deps.Metrics.Add(metrics.Refused, q.service.Name, e.ID(), 1)
	if resp.Status == http.StatusMisdirectedRequest {
		if facts.Upstream != "" && facts.Upstream != e.ID() {
			e.MarkReplaced()
		} else {
			e.MarkNotResident(q.ask.Model, q.ask.Adapter)
		}
	}
	return result{notRun: true, why: "refused_" + strconv.Itoa(resp.Status), retryAfter: after}
}

// refusalMost bounds what is read of a refusal to keep its connection, in bytes.
const refusalMost = 16 << 10

// longestTold is the longest time to stay away that is passed on to a caller.
const longestTold = time.Hour

// retryAfter reads how long an upstream wants its caller to stay away; 0: it does
// not say, or longer than a caller can be told.
func retryAfter(h http.Header) time.Duration {
	after := backpressure.ParseRetryAfter(h.Get("Retry-After"))
	if after > longestTold {
		return 0
	}
	return after
}

// wholeMost is the largest answer, in bytes, that is taken in whole before its
// first byte goes to the caller. Until then a broken one can still be replaced.
const wholeMost = 1 << 20

// whole relays an answer that is not a stream.
func (q *request) whole(ctx context.Context, l *elsewhere, x *fleet.Attempt, resp *conn.Response) result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeMost+1))
	if err != nil {
		return q.cut(ctx, x, resp)
	}
	if len(body) > wholeMost {
		if !l.stay() {
			return q.cut(ctx, x, resp)
		}
		return q.large(ctx, x, resp, body)
	}
	failed := resp.Status >= 500
	x.Answered(failed)
	resp.Finish()
	if failed && q.route.Repeatable() && q.maybe < q.route.Attempts && q.kept == nil {
		q.kept = func() { q.deliver(resp, body) }
		return result{why: "failed_" + strconv.Itoa(resp.Status)}
	}
	return q.deliver(resp, body)
}

// large relays an answer that is too big to be taken in first.
func (q *request) large(ctx context.Context, x *fleet.Attempt, resp *conn.Response, head []byte) result {
	q.head(resp)
	if resp.Length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	q.w.WriteHeader(resp.Status)
	q.started, q.begun = true, true
	_, err := q.write(head)
	if err == nil {
		_, err = io.Copy(callerWriter{q}, resp.Body)
	}
	if err != nil {
		return q.cut(ctx, x, resp)
	}
	x.Answered(resp.Status >= 500)
	resp.Finish()
	return q.served(resp.Status)
}

// cut ends an attempt whose answer broke off.
func (q *request) cut(ctx context.Context, x *fleet.Attempt, resp *conn.Response) result {
	resp.Abort()
	switch {
	case leftBecause(ctx) != "":
		x.Cancelled()
		return result{why: leftBecause(ctx), allowed: true}
	case q.ctx.Err() != nil:
		x.Cancelled()
		return result{why: "time_up"}
	}
	q.broken(x, "cut")
	return result{why: "cut"}
}

// mayPromise says whether an upstream's status may go on to the caller. Some
// promise that the request did not run, which this upstream did not say.
func (q *request) mayPromise(status int) bool {
	if q.route.Repeatable() {
		return true
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	return true
}

// deliver passes an answer on as it is.
func (q *request) deliver(resp *conn.Response, body []byte) result {
	if !q.mayPromise(resp.Status) {
		q.fail(http.StatusBadGateway, "status_"+strconv.Itoa(resp.Status))
		return result{done: true}
	}
	if q.started {
		return result{why: "status_" + strconv.Itoa(resp.Status)} // a stream cannot go on with it
	}
	q.head(resp)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(resp.Status)
	if q.r.Method != http.MethodHead {
		if _, err := q.write(body); err != nil {
			q.left()
		}
	}
	return q.served(resp.Status)
}

// served notes an answer that is whole at the caller.
func (q *request) served(status int) result {
	d := &q.g.deps
	took := d.Now().Sub(q.start)
	q.completed()
	d.Log.Emit(event.RequestServed, q.id(), q.routeName(), zap.String(event.FieldPeer, q.last), zap.Int("status", status),
		zap.Int("sends", q.sends), zap.Int64("took_ms", took.Milliseconds()), zap.Int64("first_ms", q.first.Milliseconds()),
		zap.Int64("pause_ms", q.pause.Milliseconds()), zap.Int64("pause_at_ms", q.pauseAt.Milliseconds()),
		zap.Int64("relayed_bytes", q.relayed))
	d.Metrics.Count(metrics.Completed, 1)
	d.Metrics.Observe(metrics.ResponseTime, q.route.Kind.String(), took)
	return result{done: true}
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// stripConnection drops the headers that concern one connection.
func stripConnection(h http.Header) {
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

// head copies the upstream's headers to the answer.
func (q *request) head(resp *conn.Response) {
	own := q.w.Header()
	closing := own.Get("Connection")
	stripConnection(resp.Header)
	for name, values := range resp.Header {
		own[name] = values
	}
	if closing != "" {
		own.Set("Connection", closing)
	}
	if _, ok := own["Content-Type"]; !ok {
		own["Content-Type"] = nil // else net/http guesses one
	}
}
