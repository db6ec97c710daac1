package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/bytebudget"
	"peridotpier.example/node/drain"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

// result is the outcome of an attempt.
type result struct {
	done         bool // the caller has its final response
	notRun       bool // the upstream did not run the request and will not run it
	why          string
	retryAfter   time.Duration // requested by the upstream
	notListening bool          // nothing listens at the upstream's address
	charged      *charge       // of another attempt, made while this one ran; nil: there is none
	withdrawn    bool          // this host withdrew the attempt before it was sent
	unsent       bool          // nothing of the attempt left this host
	hostRefused  bool          // another host did not take the request, or was not reached
	hostAnswered bool          // another host forwarded an upstream's answer
}

// attempt sends the request to one upstream and forwards its response.
func (q *request) attempt(e *fleet.Entry, p selection) result {
	d := &q.g.deps
	ctx, cancel := context.WithCancelCause(q.ctx)
	defer cancel(nil)
	a := e.Begin(&q.needs, q.cost)
	if p.permit != nil {
		a.RecordPendingPrompts(p.pendingPromptTokens)
		if q.needs.Model != "" || p.permit.IsProbe { // for other calls only the end counts
			a.OnFirstByte(p.permit.Began)
		}
		defer func() { p.permit.end(a.MayStillRun(), a.IsComplete()) }()
	}
	q.tried[e.ID()] = true
	q.sends++
	q.lastUpstream, q.responseSince, q.statedSlowdown, q.exchangeErr, q.lastRefusal = e.ID(), time.Time{}, 0, nil, refusal{}
	fo := &failover{q: q, at: e, ctx: ctx, cancel: cancel}
	defer fo.close()
	if q.mayRunAgain() && q.sends < q.maxSends() {
		a.OnUnresponsive(fo.onUnresponsive)
		if q.route.Repeatable() && q.route.Objective > 0 {
			defer time.AfterFunc(hedgeFactor*q.route.Objective, fo.onSlow).Stop()
		}
	}
	now := d.Now()
	q.sentAt = now
	d.Log.Emit(event.RequestSent, q.id(), q.routeName(), q.teamName(), zap.String(event.FieldPeer, e.ID()), zap.Int("among", p.candidates),
		zap.Int("load", p.inFlight), zap.Int("prompt", q.cost.PromptTokens), zap.Int("cached", p.cachedTokens), zap.Int("waiting", p.pendingPromptTokens), zap.Int64("predicted_ms", p.PredictedWait.Milliseconds()), zap.Uint64("version", q.configVersion),
		zap.Int64("held_ms", now.Sub(q.start).Milliseconds()), zap.String("model", q.needs.Model), zap.String("adapter", q.needs.Adapter),
		zap.Bool("by_turn", p.permit != nil), limitField(e))
	d.Metrics.Add(metrics.Attempts, q.service.Name, e.ID(), 1)
	q.countDataCentre(e)
	q.beginSend(cancel)
	defer q.endHold()
	resp, err := d.Client.Do(ctx, q.outgoing(e))
	if err != nil {
		fo.close() // its search reads what noResponse changes
		res := q.noResponse(ctx, a, err)
		if res.notListening && p.permit != nil {
			p.permit.NotListening()
		}
		return res
	}
	fo.pieces.Add(1)
	return q.checkResponse(ctx, fo, e, a, p, resp)
}

// hedgeFactor is how long a retryable request waits for the head of its response before
// another upstream is sought, as a multiple of the route's objective.
const hedgeFactor = 2

// outgoing builds the request of an attempt. It forwards what the caller sent,
// except for hop-by-hop headers and the headers that this host sets.
func (q *request) outgoing(e *fleet.Entry) *conn.Request {
	h := q.r.Header.Clone()
	stripHopByHop(h)
	stripHop(h)
	wanted := func() bool {
		if !q.stillWanted(e) {
			return false
		}
		q.setAttempt(h, e)
		return true
	}
	return &conn.Request{ID: q.info.AttemptID, Address: e.Address(), Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: h, Body: q.body,
		StillWanted: wanted,
		Owner:       q.ownerOf, OnForeign: func(a conn.ForeignAnswer) { q.recordForeign(e.ID(), q.g.deps.Codec.AnsweredAttempt(a.Header), a) }}
}

// setAttempt sets the headers that this host sets, right before they are written: the time
// that is left passes while a connection opens.
func (q *request) setAttempt(h http.Header, e *fleet.Entry) {
	s := AttemptInfo{TimeLeft: q.deadline.Sub(q.g.deps.Now()), Upstream: e.ID(), LastEventID: q.lastEventID, Team: q.caller.name()}
	if q.service.Engine != nil {
		s.Urgency, s.UrgencyLevels = q.table.UrgencyRank(q.caller.team, q.route)
		s.HasUrgency = true
	}
	q.g.deps.Codec.SetAttempt(h, s)
}

// stillWanted reports whether an attempt whose connection is open should be sent. From
// then on it cannot be diverted.
func (q *request) stillWanted(e *fleet.Entry) bool {
	if q.endHold() || !e.AcceptsRequests() {
		return false
	}
	if q.lapsedUnsent = q.chargeLapsed(); q.lapsedUnsent { // while the connection was opened
		return false
	}
	q.followSend(e)
	q.recordSend()
	return true
}

// noResponse ends an attempt that failed before the head of a response arrived.
func (q *request) noResponse(ctx context.Context, a *fleet.Attempt, err error) result {
	diverted := q.endHold()
	notRun := fault.From(fault.StepDispatch, err).Outcome == outcome.NotRun
	if !notRun {
		q.possibleRuns++
		q.giveUpSend(a.Entry())
	}
	q.exchangeErr = err
	if q.ctx.Err() != nil {
		a.Cancelled()
		return result{notRun: notRun, why: "time_up"}
	}
	why := "broken"
	switch {
	case diverted && notRun:
		q.sends--
		delete(q.tried, a.Entry().ID())
		a.Cancelled()
		return result{notRun: true, why: "cut_off", withdrawn: true}
	case failoverReason(ctx) != "":
		a.Cancelled() // an unresponsive upstream was already recorded as such
		return result{notRun: notRun, why: failoverReason(ctx), charged: failoverCharge(ctx)}
	case notRun && errors.Is(err, syscall.ECONNREFUSED): // of an open connection it says nothing: the kernel reports a filter's rejection of what was sent, too
		q.sends--
		a.NotListening()
		return result{notRun: true, why: "absent", notListening: true}
	case notRun && errors.Is(err, conn.ErrNoLongerWanted):
		if q.lapsedUnsent {
			q.sends--
			delete(q.tried, a.Entry().ID())
		}
		a.Cancelled()
		return result{notRun: true, why: "asked_meanwhile", withdrawn: true}
	case errors.Is(err, conn.ErrForeignAnswer):
		a.Interrupted(whyForeign)
		return result{why: whyForeign}
	case notRun:
		why = fleet.WhyUnconnected
		a.Interrupted(why)
	case errors.Is(err, conn.ErrMalformedHead):
		why = "malformed_head"
		q.recordBroken(a, why)
	case errors.Is(err, conn.ErrNewConnectionEnded):
		why = fleet.WhyNewConn
		q.recordBroken(a, why)
	default:
		q.recordBroken(a, why)
	}
	return result{notRun: notRun, why: why, unsent: notRun}
}

// checkResponse checks the head of the request's own response and decides how it is handled.
func (q *request) checkResponse(ctx context.Context, fo *failover, e *fleet.Entry, a *fleet.Attempt, p selection, resp *conn.Response) result {
	if q.newestSend != nil {
		q.newestSend.recordRead(q.g.deps.Now())
	}
	info := q.decodeFrom(e, resp)
	if info.Said != nil {
		q.applyLoad(a, p.permit, info.Said.Load)
		q.applySignals(e, resp.Status, &info)
	}
	if info.NotRun {
		q.recordNoRoom(e, p.permit, resp.Status, info.Said)
		return q.refused(e, a, resp, info)
	}
	q.possibleRuns++
	q.beginResponse(resp)
	switch {
	case info.AttemptID == "", resp.Status < 300 && !info.Sealed:
		return q.rejectResponse(a, resp, "unsealed") // another process may listen at the upstream's address
	case resp.Status >= 300 && resp.Status < 400:
		return q.rejectResponse(a, resp, "redirect")
	}
	if p.permit != nil {
		p.permit.Success = resp.Status < 300
	}
	a.ReceivedBytes()
	if q.route.Kind == deploy.Stream && resp.Status < 300 {
		return q.forwardStream(ctx, fo, a, resp)
	}
	return q.forwardBuffered(ctx, fo, a, resp)
}

// rejectResponse ends an attempt whose response cannot be forwarded.
func (q *request) rejectResponse(a exchange, resp *conn.Response, why string) result {
	resp.Abort()
	a.Interrupted(why)
	return result{why: why}
}

// maxBufferedBytes is the largest response that is buffered completely before its
// first byte goes to the caller, if there is memory for it. Until then a broken response can be
// replaced.
const maxBufferedBytes = 1 << 20

// forwardBuffered forwards a response that is not a stream.
func (q *request) forwardBuffered(ctx context.Context, fo *failover, a exchange, resp *conn.Response) result {
	if !q.mayForwardStatus(resp.Status) {
		return q.withholdStatus(a, resp)
	}
	replaceable := q.mayReplace(resp)
	if replaceable && resp.SetReadDeadline(time.Now().Add(failureBodyWait)) != nil {
		return q.responseBroken(ctx, a, resp)
	}
	body, err := q.g.deps.ResponseMemory.Read(resp.Body, resp.Length, maxBufferedBytes+1)
	q.heldResponses = append(q.heldResponses, body)
	if replaceable && ctx.Err() == nil && (errors.Is(err, os.ErrDeadlineExceeded) || err == nil && !body.Whole) {
		resp.Abort()
		a.Answered(true)
		return result{why: whyFailed(resp)}
	}
	if err != nil {
		return q.responseBroken(ctx, a, resp)
	}
	if !body.Whole {
		if q.started {
			return q.rejectResponse(a, resp, whyStatus(resp)) // cannot continue a stream
		}
		if !fo.stay() {
			return q.responseBroken(ctx, a, resp)
		}
		return q.forwardLarge(ctx, a, resp, body)
	}
	a.Answered(resp.Status >= 500)
	q.finish(resp)
	if replaceable {
		q.deliverFailed = func() { q.deliver(resp, body) }
		return result{why: whyFailed(resp)}
	}
	return q.deliver(resp, body)
}

// releaseResponses gives back the memory of responses that were held. The caller has them by
// then, or as much as it will get.
func (q *request) releaseResponses() {
	for _, body := range q.heldResponses {
		body.Release()
	}
	q.heldResponses = nil
}

// failureBodyWait is how long the body of a failed response is awaited that a retry may
// replace: its head says that it failed, and the body is needed only if there is no retry.
const failureBodyWait = 100 * time.Millisecond

// mayReplace reports whether a retry may replace a response, which is a failed one.
func (q *request) mayReplace(resp *conn.Response) bool {
	return resp.Status >= 500 && q.route.Repeatable() && q.possibleRuns < q.maxRuns() && q.deliverFailed == nil
}

// whyFailed is why an attempt is over whose response is a failure.
func whyFailed(resp *conn.Response) string { return "failed_" + strconv.Itoa(resp.Status) }

// forwardLarge forwards a response that is too large to buffer, or for which there is no memory
// left, as fast as its caller reads; head is what has been read of it.
func (q *request) forwardLarge(ctx context.Context, a exchange, resp *conn.Response, head *bytebudget.Body) result {
	q.copyHeaders(resp)
	q.setFraming(resp, resp.Length)
	q.writeHead(resp.Status)
	q.started, q.unresumable = true, true
	_, err := head.WriteTo(callerWriter{q})
	if err == nil {
		_, err = io.Copy(callerWriter{q}, resp.Body)
	}
	if err != nil {
		return q.responseBroken(ctx, a, resp)
	}
	a.Answered(resp.Status >= 500)
	q.finish(resp)
	return q.recordServed(resp.Status)
}

// responseBroken ends an attempt whose response broke off.
func (q *request) responseBroken(ctx context.Context, a exchange, resp *conn.Response) result {
	resp.Abort()
	q.countEnd(endBroken)
	switch {
	case failoverReason(ctx) != "":
		a.Cancelled()
		return result{why: failoverReason(ctx), charged: failoverCharge(ctx)}
	case q.ctx.Err() != nil:
		a.Cancelled()
		return result{why: "time_up"}
	}
	q.recordBroken(a, "cut")
	return result{why: "cut"}
}

// mayForwardStatus reports whether an upstream's status may be forwarded to the
// caller. Some statuses promise that the request did not run, which this upstream
// did not state.
func (q *request) mayForwardStatus(status int) bool {
	return q.route.Repeatable() || !outcome.PromisesNotRun(status)
}

// withholdStatus ends an attempt whose response has a status that may not be forwarded.
func (q *request) withholdStatus(a exchange, resp *conn.Response) result {
	a.Answered(resp.Status >= 500)
	resp.Discard(maxRefusalBytes, refusalBodyWait)
	why := whyStatus(resp)
	if q.started {
		return result{why: why}
	}
	q.fail(http.StatusBadGateway, why)
	return result{done: true}
}

// whyStatus is why a response cannot be forwarded whose status the caller may not get.
func whyStatus(resp *conn.Response) string { return "status_" + strconv.Itoa(resp.Status) }

// deliver forwards a buffered response unchanged.
func (q *request) deliver(resp *conn.Response, body *bytebudget.Body) result {
	if q.started {
		return result{why: whyStatus(resp)} // a stream cannot be continued with this response
	}
	q.copyHeaders(resp)
	q.setFraming(resp, int64(body.Len()))
	q.writeHead(resp.Status)
	if q.r.Method != http.MethodHead {
		if _, err := body.WriteTo(callerWriter{q}); err != nil {
			q.callerLeft()
		}
	}
	return q.recordServed(resp.Status)
}

// lengthUnknown as the length of a body means that it is not stated.
const lengthUnknown = -1

// setFraming states where a response ends, no more surely than its upstream did: if the
// upstream's connection just ended, the body may have been truncated. length is that of
// the body, or lengthUnknown.
func (q *request) setFraming(resp *conn.Response, length int64) {
	switch {
	case resp.Framing == conn.ByConnection:
		drain.StateNoEnd(q.w.Header())
	case length >= 0:
		q.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// writeHead writes the head of a response. The caller takes the end of the connection for
// the end of a response that states none, so until all of it is written, the connection
// ends with a reset.
func (q *request) writeHead(status int) {
	q.endsWithConn = drain.ResetUntilWhole(q.r, q.w.Header())
	q.w.WriteHeader(status)
}

// finishBody lets the connection of a response that states no end close in order, once all
// of the response is written. It panics if that fails.
func (q *request) finishBody() {
	if !q.endsWithConn {
		return
	}
	if q.recordWriteErr(http.NewResponseController(q.w).Flush()) != nil {
		q.callerLeft()
	}
	drain.SetResetOnClose(q.r.Context(), false)
}

// recordServed records that the complete response was written to the caller.
func (q *request) recordServed(status int) result {
	d := &q.g.deps
	took := d.Now().Sub(q.start)
	q.finishBody()
	if q.hasAnswer(status) {
		q.recordCompleted(status, true)
	}
	d.Log.Emit(event.RequestServed, q.id(), q.routeName(), zap.String(event.FieldPeer, q.lastUpstream), zap.Int("status", status),
		zap.Int("sends", q.sends), zap.Int64("took_ms", took.Milliseconds()), zap.Int64("first_ms", q.timeToFirst.Milliseconds()),
		zap.Int64("pause_ms", q.longestPause.Milliseconds()), zap.Int64("pause_at_ms", q.longestPauseAt.Milliseconds()),
		zap.Int64("relayed_bytes", q.forwardedBytes), zap.Inline(q.end), q.entryHost(), slowdownField(q.statedSlowdown))
	d.Metrics.Count(metrics.Completed, 1)
	q.countEnd(endComplete)
	d.Metrics.Observe(metrics.ResponseTime, q.route.Kind.String(), took)
	return result{done: true}
}

// hasAnswer reports whether a complete response with a status is an answer that its upstream
// wrote to the request. A failure may come before one was begun, and so may the end of a
// stream without data.
func (q *request) hasAnswer(status int) bool {
	return status < 300 && (q.route.Kind != deploy.Stream || !q.responseSince.IsZero())
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// stripHopByHop removes the headers that apply to a single connection.
func stripHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// copyHeaders copies the upstream's headers to the caller's response.
func (q *request) copyHeaders(resp *conn.Response) {
	header := q.w.Header()
	closing := header.Get("Connection")
	stripHopByHop(resp.Header)
	stripHop(resp.Header)
	for name, values := range resp.Header {
		header[name] = values
	}
	if closing != "" {
		header.Set("Connection", closing)
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // otherwise net/http guesses the type
	}
	q.markHop(hopAnswered)
}
