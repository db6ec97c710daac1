package gate

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/balance"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/core/replica"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

// Detour is the way to upstreams through other hosts.
type Detour interface {
	// Needed reports whether this host reaches no upstream.
	Needed() bool
	// BySilence reports, while Needed, that this is concluded from silence alone, which the
	// upstreams' own may be.
	BySilence() bool
	// Hosts lists the addresses at which other hosts forward requests, in order of preference.
	Hosts() []string
	// OnNeeded registers f, which is called each time Needed has become true. It is used
	// before requests are served.
	OnNeeded(f func())
}

const (
	// maxDetourTries bounds the hosts that a request is offered to: with a third of the
	// hosts left, each at its limit, more tries would only load them.
	maxDetourTries = 4
	// hopConnectTimeout is how long a connection to another host may take to open: hosts
	// are milliseconds apart, and there are others.
	hopConnectTimeout = 250 * time.Millisecond
	// hostRefusedRest is how long a host that took no request comes after the others.
	hostRefusedRest = 100 * time.Millisecond
	// hostLostRest is the same for a host that was not reached or was lost.
	hostLostRest = time.Second
	// hopSilence is how long nothing arrives from another host until a request that may run
	// again is moved to a third one: a sound upstream may fall silent for a second, and the
	// other host needs some time to leave one that is lost. Before the first byte hopHold is
	// added.
	hopSilence = 2 * time.Second
)

// errHopUnreachable is the cause of the context of a request whose connection to another
// host does not open in time.
var errHopUnreachable = errors.New("host not reached in time")

// cutOff reports whether this host reaches no upstream.
func (q *request) cutOff() bool {
	d := q.g.deps.Detour
	return d != nil && d.Needed()
}

// mayDetour reports whether another host may take the request.
func (q *request) mayDetour() bool {
	_, ok := q.nextHost()
	return ok
}

// detour sends the request through another host. It returns false when the caller has
// its final response.
func (q *request) detour() bool {
	switch {
	case q.r.Context().Err() != nil:
		q.callerLeft()
	case q.ctx.Err() != nil:
		q.endTime()
		return false
	case q.hop != nil: // one hop only
		q.endUnserved(http.StatusBadGateway, whyCutOff, stopRetry)
		return false
	case q.keyRevoked():
		q.endRevoked(selection{})
		return false
	case q.refuseBarred(selection{}):
		return false
	}
	address, ok := q.nextHost()
	if !ok {
		return q.noDetour()
	}
	if over, ok := q.charge(); !ok {
		q.refuseOverLimit(over.overLimit)
		return false
	}
	if !q.maySend() {
		return q.retryOrEnd(result{notRun: true, why: whyUncharged})
	}
	q.countFirstSend()
	res := q.sendThrough(address)
	switch {
	case res.done:
		return false
	case res.hostRefused:
		return true
	case res.hostAnswered: // it may be asked again
		q.triedHosts = slices.DeleteFunc(q.triedHosts, func(a string) bool { return a == address })
	}
	return q.retryOrEnd(res)
}

// endTime ends a request whose time is up.
func (q *request) endTime() {
	if q.deliverFailed != nil {
		q.deliverFailed()
		return
	}
	q.timeUp()
}

// nextHost returns the host to offer the request to.
func (q *request) nextHost() (address string, ok bool) {
	if len(q.triedHosts) >= maxDetourTries {
		return "", false
	}
	return q.g.hopHosts.next(q.g.deps.Detour.Hosts(), q.triedHosts, q.g.deps.Now())
}

// noDetour ends a request that no other host takes. A stream that has started tries
// again after a delay, and any request while all upstreams may merely be silent.
func (q *request) noDetour() bool {
	if q.started && q.backOffResume() || !q.started && q.awaitUpstreams() {
		q.triedHosts = nil
		return true
	}
	if !q.isAnswered() {
		q.g.deps.Metrics.CountKind(metrics.DetoursSent, "no_host", 1)
	}
	q.endUnlessAnswered("no_detour", upstreamRetry)
	return false
}

// awaitUpstreams waits for a moment in which upstreams, or hosts that reach them, may be back:
// when nothing but silence says that this host reaches none, they most likely will be. It
// returns false if the request has been held for as long as it may wait for an upstream.
func (q *request) awaitUpstreams() bool {
	if !q.cutOff() {
		return true
	}
	left := q.start.Add(q.maxHold(balance.NoUpstream)).Sub(q.g.deps.Now())
	if left <= 0 || !q.g.deps.Detour.BySilence() {
		return false
	}
	q.logWait(selection{Decision: balance.Decision{Reason: balance.NoUpstream}}, left)
	ctx, cancel := context.WithTimeout(q.ctx, min(left, silenceRecheck))
	defer cancel()
	defer q.cancelWithHoldLimit(cancel)()
	select {
	case <-q.g.deps.Fleet.Changed():
	case <-ctx.Done():
	}
	return q.ctx.Err() == nil
}

// silenceRecheck is how often a request that waits for silent upstreams offers itself to
// other hosts again.
const silenceRecheck = 50 * time.Millisecond

// sendThrough forwards the request to another host, and its answer to the caller.
func (q *request) sendThrough(address string) result {
	d := &q.g.deps
	ctx, cancel := context.WithCancelCause(q.ctx)
	defer cancel(nil)
	q.triedHosts = append(q.triedHosts, address)
	defer q.g.hopHosts.begin(address)()
	q.lastUpstream, q.responseSince, q.lastRefusal = address, time.Time{}, refusal{}
	fo := &failover{q: q, ctx: ctx, cancel: cancel}
	defer fo.close()
	x := &hopExchange{}
	defer x.stop()
	now := d.Now()
	q.runsGranted = q.grantRuns()
	if q.mayRunAgain() && q.sends+1 < q.route.Attempts && q.possibleRuns+q.runsGranted < q.maxRuns() {
		x.silenceTimer = time.AfterFunc(hopSilence+q.hopHold(now), fo.onHostUnresponsive)
		if q.route.Repeatable() && q.route.Objective > 0 {
			defer time.AfterFunc(hedgeFactor*q.route.Objective, fo.onSlow).Stop()
		}
	}
	ended := "abandoned" // unless this function returns
	defer func() {
		d.Metrics.CountKind(metrics.DetoursSent, ended, 1)
		d.Metrics.Observe(metrics.DetourTime, ended, d.Now().Sub(now))
	}()
	d.Log.Emit(event.RequestDetoured, q.id(), q.routeName(), zap.String(event.FieldPeer, address), zap.Int("try", len(q.triedHosts)),
		zap.Int64("held_ms", now.Sub(q.start).Milliseconds()), zap.Int("sends", q.sends), zap.Uint64("version", q.configVersion))
	unreached := time.AfterFunc(hopConnectTimeout, func() { cancel(errHopUnreachable) })
	defer unreached.Stop()
	resp, err := d.Client.Do(ctx, q.forwarded(address, now, unreached.Stop))
	if err != nil {
		fo.close()
		res := q.hopFailed(ctx, address, err)
		ended = res.hopEnd()
		return res
	}
	fo.pieces.Add(1)
	x.ReceivedBytes()
	res := q.checkHop(ctx, fo, x, address, resp)
	if failoverReason(ctx) != "" {
		q.g.hopHosts.rest(address, d.Now().Add(hostLostRest))
	}
	ended = res.hopEnd()
	return res
}

// hopHold returns how long nothing may arrive from another host because it holds the
// request as this one would, for a permit or for a model, or because the prompt is read.
func (q *request) hopHold(now time.Time) time.Duration {
	left := q.deadline.Sub(now)
	hold := q.permitWait(left)
	if q.needs.Model != "" {
		hold = max(hold, time.Duration(float64(q.route.Objective)*modelWaitShare))
		if at, loading := q.g.deps.Fleet.ExpectedReady(q.service.Name, q.needs.Model); loading {
			latest := time.Duration(float64(left) * replica.MaxWaitShare)
			hold = max(hold, min(at.Add(loadingSlack).Sub(now), latest))
		}
	}
	return hold + fleet.ReadingTime(q.cost.PromptTokens)
}

// hopEnd names how a hop ended, for metrics.
func (r *result) hopEnd() string {
	switch {
	case r.hostRefused:
		return "refused"
	case r.done && r.notRun:
		return "not_run"
	case r.done:
		return "served"
	case r.notRun:
		return "not_run"
	}
	return "lost"
}

// forwarded builds the request that the other host gets: what the caller sent, with the
// time that is left.
func (q *request) forwarded(address string, now time.Time, connected func() bool) *conn.Request {
	h := q.r.Header.Clone()
	stripHopByHop(h)
	q.g.deps.Codec.SetForwarded(h, hopTimeLeft(q.deadline.Sub(now)), q.lastEventID)
	q.setHop(h)
	return &conn.Request{ID: q.info.AttemptID, Address: address, Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: h, Body: q.body,
		StillWanted: connected, Owner: q.hopOwner,
		OnForeign: func(a conn.ForeignAnswer) { q.recordForeign(address, a.Header.Get(hopRequest), a) }}
}

// hopFailed ends a hop that failed before the head of an answer arrived. Once a byte was
// written, the other host may have had the request run.
func (q *request) hopFailed(ctx context.Context, address string, err error) result {
	notRun := fault.From(fault.StepDispatch, err).Outcome == outcome.NotRun
	if q.r.Context().Err() == nil { // else the caller left
		q.g.hopHosts.rest(address, q.g.deps.Now().Add(hostLostRest))
		q.g.deps.Log.Emit(event.DetourLost, q.id(), zap.String(event.FieldPeer, address), zap.Bool("not_run", notRun), zap.Error(err))
	}
	if notRun {
		return result{notRun: true, hostRefused: true, why: "host_unreachable"}
	}
	q.sends++
	q.recordWrites(1)
	q.mayHaveRun(q.runsGranted)
	if why := failoverReason(ctx); why != "" {
		return result{why: why, charged: failoverCharge(ctx)}
	}
	return result{why: "hop_lost"}
}

// mayHaveRun records that another host made n attempts.
func (q *request) mayHaveRun(n int) { q.possibleRuns += max(n, 1) }

// checkHop decides by the other host's word how its answer is handled.
func (q *request) checkHop(ctx context.Context, fo *failover, x *hopExchange, address string, resp *conn.Response) result {
	said := hopResult(resp.Header.Get(hopOutcome))
	sends, _ := strconv.Atoi(resp.Header.Get(hopSends)) // absent: none
	q.sends += max(sends, 0)
	q.recordWrites(sends)
	switch said {
	case hopAnswered:
		q.mayHaveRun(sends)
		res := q.forwardHop(ctx, fo, x, resp)
		res.hostAnswered = true
		return res
	case hopHostRefused:
		q.g.hopHosts.rest(address, q.g.deps.Now().Add(hostRefusedRest))
		why := readWhy(resp)
		q.g.deps.Log.Emit(event.DetourDeclined, q.id(), zap.String(event.FieldPeer, address), zap.String("why", why))
		return result{notRun: true, hostRefused: true, why: why}
	case hopNotRun:
		return q.hopNotRun(resp)
	case hopInvalid:
		return q.hopInvalid(resp)
	}
	if said != hopUnknown {
		q.mayHaveRun(max(sends, q.runsGranted))
		resp.Abort()
		return result{why: "hop_unmarked"}
	}
	q.mayHaveRun(sends)
	return result{why: readWhy(resp)}
}

// forwardHop forwards an upstream's answer that came through another host.
func (q *request) forwardHop(ctx context.Context, fo *failover, x *hopExchange, resp *conn.Response) result {
	q.beginResponse(resp)
	info, owner := q.g.deps.Codec.DecodeResponse(resp.Status, resp.Header), q.ownerOf(resp.Header)
	if owner == conn.OwnedByOther || resp.Status < 300 && (!info.Sealed || owner == conn.OwnerUnnamed) {
		return q.rejectResponse(x, resp, "crossed")
	}
	if q.route.Kind != deploy.Stream || resp.Status >= 300 {
		return q.forwardBuffered(ctx, fo, x, resp)
	}
	x.software = resp.Header.Get(hopBegan)
	if !balance.MayGoOn(x.software, q.began.get()) {
		return q.rejectResponse(x, resp, whyOtherSoftware) // a host of an earlier release asks for no version
	}
	return q.forwardStream(ctx, fo, x, resp)
}

// hopNotRun ends a request that no upstream takes in time by the other host's word.
func (q *request) hopNotRun(resp *conn.Response) result {
	after := min(backpressure.ParseRetryAfter(resp.Header.Get("Retry-After")), maxRetryAfter)
	why := readWhy(resp)
	switch {
	case q.started:
		return result{notRun: true, why: why, retryAfter: after}
	case q.deliverFailed != nil:
		q.deliverFailed()
	case resp.Status == http.StatusTooManyRequests && q.possibleRuns == 0:
		q.refuseOverLimit(&overLimit{after: after, exact: true})
	default:
		q.endUnserved(http.StatusBadGateway, why, max(after, stopRetry))
	}
	return result{done: true, notRun: true}
}

// hopInvalid ends a request that is invalid by the other host's configuration, which may
// be newer than this host's.
func (q *request) hopInvalid(resp *conn.Response) result {
	why := readWhy(resp)
	switch {
	case q.deliverFailed != nil:
		q.deliverFailed()
	case q.started || q.possibleRuns > 0:
		q.fail(http.StatusBadGateway, why)
	default:
		q.decline(resp.Status, why)
	}
	return result{done: true, notRun: true}
}

// Bounds of the reason that is read of another host's refusal, which comes with its head.
const (
	maxWhyBytes = 64
	whyWait     = 50 * time.Millisecond
)

// readWhy reads the reason that a host gives in the body of its own answer.
func readWhy(resp *conn.Response) string {
	body, err := resp.ReadAllWithin(maxWhyBytes, whyWait)
	if err != nil {
		return "hop_unreadable"
	}
	return strings.TrimSpace(string(body))
}

// exchange is the account of an attempt at an upstream.
type exchange interface {
	ReceivedBytes()
	Answered(failed bool)
	Cancelled()
	Interrupted(why string)
	Entry() *fleet.Entry
	Software() string // version of the upstream's software; "": not known
}

// hopExchange is the account of a hop: the other host keeps that of the upstream.
type hopExchange struct {
	silenceTimer *time.Timer // fires when nothing has arrived for hopSilence; nil: not watched
	software     string
}

// stop ends the watch for silence.
func (x *hopExchange) stop() {
	if x.silenceTimer != nil {
		x.silenceTimer.Stop()
	}
}

// ReceivedBytes implements exchange.
func (x *hopExchange) ReceivedBytes() {
	if x.silenceTimer != nil {
		x.silenceTimer.Reset(hopSilence)
	}
}

// Answered implements exchange.
func (*hopExchange) Answered(bool) {}

// Cancelled implements exchange.
func (*hopExchange) Cancelled() {}

// Interrupted implements exchange.
func (*hopExchange) Interrupted(string) {}

// Software implements exchange.
func (x *hopExchange) Software() string { return x.software }

// Entry implements exchange; a hop has none.
func (*hopExchange) Entry() *fleet.Entry { return nil }
